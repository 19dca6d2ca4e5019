"""Choice of an entry for each call, as the platform's balancer makes it."""

import asyncio

import aiohttp

PROBE_EVERY_S = 0.25
PROBE_TIMEOUT_S = 1.0


class Balancer:
    """Spreads calls over the entries that say that they are ready.

    If no entry is ready, all of them are tried.
    """

    def __init__(
        self, urls_by_id: dict[str, str], session: aiohttp.ClientSession
    ) -> None:
        self.urls_by_id = urls_by_id
        self._session = session
        self._ready = list(urls_by_id)
        self._next = 0

    def pick(self, avoid: str = '') -> str:
        """Return the id of the next entry.

        :param avoid: an entry to avoid if there is another one.
        """
        choices = self._ready or list(self.urls_by_id)
        others = [entry for entry in choices if entry != avoid] or choices
        self._next += 1
        return others[self._next % len(others)]

    def take_out(self, entry: str) -> None:
        """Stop using an entry until it answers a probe again."""
        self._ready = [other for other in self._ready if other != entry]

    async def run(self) -> None:
        """Probe all entries until cancelled."""
        while True:
            entries = list(self.urls_by_id)
            results = await asyncio.gather(*map(self._probe, entries))
            self._ready = [
                entry
                for entry, ready in zip(entries, results, strict=True)
                if ready
            ]
            await asyncio.sleep(PROBE_EVERY_S)

    async def _probe(self, entry: str) -> bool:
        url = self.urls_by_id[entry] + '/readyz'
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
