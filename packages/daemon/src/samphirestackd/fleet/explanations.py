"""Answers to operators who ask where a job would start now."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from samphirestack import errors
from samphirestack.fleet import explaining
from samphirestack.fleet import records
from samphirestack.fleet import scheduler as schedulers
from samphirestack.fleet import specs
from samphirestack import model
from samphirestackd.fleet import clock
from samphirestackd.fleet import edge

JOB_ID = model.JobId('0' * 16)
"""Id of the job that is explained; it is stored nowhere."""


class Node(Protocol):
    """What the process knows about the term."""

    def deciding_scheduler(
        self, now: float
    ) -> schedulers.FleetScheduler | None:
        """Return the scheduler while this process decides by it."""

    def known_holder(self) -> records.TermRecord | None:
        """Return the last known row of the term."""


class Refused(msgspec.Struct, frozen=True):
    """Why a job is not explained."""

    status: int
    """Of the HTTP answer."""
    code: str
    error: str
    holder: str = ''
    """VM of the holder of the term, if another entry holds it."""
    address: str = ''
    """Address of the holder for other entries."""


class Explanations:
    """Explains jobs at the holder of the term, without any effect.

    :param configuration: returns the operator's configuration, if known.
    """

    def __init__(
        self,
        node: Node,
        configuration: Callable[[], specs.FleetConfiguration | None],
        decode_job: edge.JobDecoder,
    ) -> None:
        self._node = node
        self._configuration = configuration
        self._decode_job = decode_job

    @property
    def max_body_bytes(self) -> int:
        """Return the size of the largest body that is read."""
        configuration = self._configuration()
        return configuration.max_body_bytes if configuration else 0

    def answer(
        self, queue_id: str, customer: str, body: bytes
    ) -> explaining.Explanation | Refused:
        """Return where the job in a body would start now.

        :param body: of a body that is too large, only the first bytes.
        """
        now = clock.now()
        fleet = self._node.deciding_scheduler(now)
        if fleet is None:
            return self._refer_to_holder()
        configuration = fleet.configuration
        queue = configuration.queues_by_id.get(model.QueueId(queue_id))
        if queue is None:
            return Refused(404, 'no_queue', f'there is no queue {queue_id!r}')
        customer_id = model.TeamId(customer)
        if customer and not _is_known(configuration, customer_id):
            return Refused(
                404, 'no_customer', f'there is no customer {customer!r}'
            )
        if len(body) > configuration.max_body_bytes:
            return Refused(
                413,
                'too_large',
                'the body is larger than the configuration allows',
            )
        try:
            spec = self._decode_job(body)
        except errors.BadRequest as error:
            return Refused(400, 'bad_request', error.message)
        unix_now = clock.unix_now()
        record = records.JobRecord(JOB_ID, queue, customer_id, unix_now, spec)
        return explaining.explain(now, unix_now, fleet, record)

    def _refer_to_holder(self) -> Refused:
        record = self._node.known_holder()
        if record is None or record.released or not record.holder:
            return Refused(
                503, 'no_holder', 'no holder of the term is known now'
            )
        return Refused(
            421,
            'not_holder',
            'this entry does not hold the term',
            record.holder,
            record.address,
        )


def _is_known(
    configuration: specs.FleetConfiguration, customer_id: model.TeamId
) -> bool:
    return (
        customer_id in configuration.customers_by_id
        or customer_id in configuration.customer_ids_by_key.values()
    )
