"""Child processes that are always ended, by their id."""

import pathlib
import signal
import subprocess
import sys
import time

import msgspec

from samphirestack_testing.standins import serving
from samphirestack_testing import waiting

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0


class ProcessFailed(Exception):
    """A child process ended by itself; the message has its last output."""


class Process:
    """One child process with its output in a log file."""

    def __init__(self, name: str, command: list[str], log: pathlib.Path):
        self.name = name
        self._command = command
        self._log = log
        self._child: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Id of the process; 0 if it was never started."""
        return self._child.pid if self._child else 0

    @property
    def running(self) -> bool:
        """Whether the process exists and has not ended."""
        return self._child is not None and self._child.poll() is None

    @property
    def exit_status(self) -> int | None:
        """Exit status, negative after a signal; ``None`` while it runs."""
        return self._child.poll() if self._child else None

    def start(self) -> None:
        """Start the process, again if it has ended."""
        with self._log.open('ab') as output:
            self._child = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self._child is not None and self.running:
            self._child.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self._child is not None:
            self._child.wait()

    def check(self) -> None:
        """Raise if the process has ended.

        :raises ProcessFailed: it has ended.
        """
        if not self.running:
            raise ProcessFailed(f'{self.name} ended: {self.output()[-2000:]}')

    def output(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(errors='replace')


class Processes:
    """All child processes of a test cluster by name."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        self.by_name: dict[str, Process] = {}

    def start(self, name: str, command: list[str]) -> Process:
        """Start a process whose output goes to ``<name>.log``."""
        process = Process(name, command, self.directory / f'{name}.log')
        self.by_name[name] = process
        process.start()
        return process

    async def start_stand_in(
        self, name: str, module: str, settings: msgspec.Struct
    ) -> serving.Ready:
        """Start a module of this package and wait until it serves.

        :param settings: must have the field ``ready``.
        :raises ProcessFailed: it ended before it was ready.
        """
        path = self.directory / f'{name}.json'
        path.write_bytes(msgspec.json.encode(settings))
        ready_path = _prepare_ready(settings)
        module = f'samphirestack_testing.{module}'
        command = [sys.executable, '-m', module, '--settings', str(path)]
        process = self.start(name, command)
        found: list[serving.Ready] = []

        def serves() -> bool:
            process.check()
            found.extend(_read_ready(ready_path))
            return bool(found)

        await waiting.until(serves, READY_TIMEOUT_S, f'{name} serves')
        return found[0]

    def stop_all(self) -> None:
        """End all processes, with SIGKILL where SIGTERM does not do."""
        for process in self.by_name.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        running = list(self.by_name.values())
        while running and time.monotonic() < deadline:
            running = [process for process in running if process.running]
            time.sleep(waiting.POLL_S)
        for process in self.by_name.values():
            process.kill()


def _read_ready(path: pathlib.Path) -> list[serving.Ready]:
    """Return the content of a readiness file, nothing if it is missing."""
    if not path.exists():
        return []
    return [msgspec.json.decode(path.read_bytes(), type=serving.Ready)]


def _prepare_ready(settings: msgspec.Struct) -> pathlib.Path:
    """Return the path of the readiness file after removing an old one."""
    path = pathlib.Path(str(getattr(settings, 'ready', '')))
    path.unlink(missing_ok=True)
    return path
