"""Tests of the request scheduler of a zone leader."""

from samphirestack import configuration as configurations
from samphirestack.internal.decisions import fairshare
from samphirestack.internal.decisions import limits
from samphirestack.internal.leader import holds
from samphirestack.internal.leader import outgoing
from samphirestack.internal.leader import reports
from samphirestack.internal.leader import requests
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestack import verdict as verdicts

ZONE = model.ZoneId('z')
ENTRY, OTHER = model.VmId('e1'), model.VmId('e2')
U1 = model.UpstreamId('u1')
TEAM = model.TeamId('a')
RAN = verdicts.Verdict.RAN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


def _configuration(limit: int | None = None) -> configurations.Configuration:
    profile = configurations.Profile(model.ProfileId('p'))
    service = configurations.Service(model.ServiceId('s'), profile.name)
    queue = configurations.Queue(model.QueueId('q'), service.name)
    team = configurations.Team(TEAM, limit=configurations.Limit(limit))
    member = configurations.Member(ENTRY, ZONE, 'e1:1')
    return configurations.Configuration(
        profiles_by_id={profile.name: profile},
        services_by_id={service.name: service},
        queues_by_id={queue.name: queue},
        teams_by_id={team.name: team},
        members_by_id={member.vm_id: member},
    )


def _upstream(slots: int) -> model.Vm:
    return model.Vm(
        model.VmId(U1),
        'u1:1',
        model.VmRole.UPSTREAM,
        ZONE,
        service=model.ServiceId('s'),
        slots=slots,
    )


def _slot(name: str, attempt: int = 1) -> messages.RequestSlot:
    return messages.RequestSlot(
        model.RequestId(name),
        model.QueueId('q'),
        TEAM,
        waited_s=0.0,
        deadline_in_s=30.0,
        attempt=attempt,
        idempotent=True,
    )


class _Zone:
    """A scheduler with one upstream and a simulated clock."""

    def __init__(self, slots: int = 1, limit: int | None = None) -> None:
        self.now = 100.0
        self.slots = slots
        self.ledger = limits.TeamLedger()
        self.shares = fairshare.ShareTracker()
        self.scheduler = requests.RequestScheduler(
            OTHER, ZONE, self.ledger, self.shares
        )
        self.scheduler.configure(self.now, _configuration(limit))
        self.scheduler.set_upstreams(self.now, [_upstream(slots)])

    def start_term(self, epoch: int = 1, grant_in_s: float = 0.0) -> None:
        self.scheduler.start_term(
            self.now, model.Epoch(epoch), self.now + grant_in_s
        )

    def start_ready(self, epoch: int = 1) -> '_Zone':
        self.start_term(epoch)
        self.send(messages.HeldReport(model.Epoch(epoch), ()))
        self.status()
        return self

    def send(
        self, message: messages.AnyMessage, sender: model.VmId = ENTRY
    ) -> list[messages.AnyMessage]:
        return _messages(self.scheduler.handle(self.now, sender, message))

    def status(self, *active: str, leaving: bool = False) -> None:
        listed = tuple(
            platform.ActiveRequest(model.RequestId(name), TEAM)
            for name in active
        )
        self.scheduler.upstream_status(
            self.now,
            U1,
            platform.UpstreamStatus(self.slots, listed, leaving),
        )

    def tick_after(self, seconds: float) -> list[messages.AnyMessage]:
        self.now += seconds
        return _messages(self.scheduler.tick(self.now))

    def release(
        self, grant: messages.Grant, verdict: verdicts.Verdict = RAN
    ) -> list[messages.AnyMessage]:
        return self.send(
            messages.Release(
                grant.grant_id, grant.request_id, verdict, False, 0.1
            )
        )


def _messages(items: list[outgoing.Outgoing]) -> list[messages.AnyMessage]:
    return [item.message for item in items]


def _grants(items: list[messages.AnyMessage]) -> list[messages.Grant]:
    return [item for item in items if isinstance(item, messages.Grant)]


class TestGrants:
    """Each request gets at most one slot, and each slot one request."""

    def test_repeated_request_gets_the_same_grant_again(self) -> None:
        """Fails if a lost grant is never resent, or is granted twice."""
        zone = _Zone(slots=2).start_ready()
        (first,) = _grants(zone.send(_slot('r')))
        (second,) = _grants(zone.send(_slot('r')))
        assert first == second
        assert first.address == 'u1:1'
        assert zone.ledger.usage(TEAM).running == 1

    def test_repeated_release_frees_one_slot_once(self) -> None:
        """Fails if a duplicated release frees a slot that is in use."""
        zone = _Zone(slots=1).start_ready()
        (first,) = _grants(zone.send(_slot('1')))
        assert not _grants(zone.send(_slot('2')))
        (second,) = _grants(zone.release(first))
        assert second.request_id == '2'
        assert not _grants(zone.send(_slot('3')))
        assert not _grants(zone.release(first))

    def test_late_request_for_an_ended_attempt_is_ignored(self) -> None:
        """Fails if a delayed duplicate starts an ended request again."""
        zone = _Zone(slots=1).start_ready()
        (grant,) = _grants(zone.send(_slot('r')))
        zone.release(grant)
        assert not _grants(zone.send(_slot('r')))
        assert _grants(zone.send(_slot('r', attempt=2)))

    def test_slot_of_a_request_that_may_have_run_stays_used(self) -> None:
        """Fails if the slot of a request that may still run is granted."""
        zone = _Zone(slots=1).start_ready()
        (grant,) = _grants(zone.send(_slot('r')))
        zone.send(_slot('next'))
        assert not _grants(zone.release(grant, MAY_HAVE_RUN))
        zone.now += 1.0
        zone.status('r')
        assert not _grants(zone.tick_after(0.5))
        zone.status()
        assert _grants(zone.tick_after(0.1))

    def test_status_older_than_a_hold_frees_nothing(self) -> None:
        """Fails if a status frees a slot that was granted after it."""
        zone = _Zone(slots=1).start_ready()
        asked_at = zone.now
        zone.now += 0.1
        (grant,) = _grants(zone.send(_slot('r')))
        zone.now += 0.1
        zone.release(grant, MAY_HAVE_RUN)
        empty_status = platform.UpstreamStatus(1, (), False)
        for _ in range(holds.UNLISTED_COUNT_TO_FREE):
            zone.scheduler.upstream_status(
                zone.now, U1, empty_status, asked_at
            )
        assert not _grants(zone.send(_slot('next')))
        assert zone.ledger.usage(TEAM).running == 1

    def test_unlisted_grant_is_sent_again(self) -> None:
        """Fails if a lost release keeps a slot in use for ever."""
        zone = _Zone(slots=1).start_ready()
        (grant,) = _grants(zone.send(_slot('r')))
        resent = []
        for _ in range(holds.UNLISTED_COUNT_TO_FREE):
            zone.now += 1.0
            zone.status()
            resent += _grants(zone.tick_after(0.0))
        assert resent == [grant]

    def test_listed_request_without_a_grant_uses_slot_and_limit(self) -> None:
        """Fails if slots that an earlier leader granted are granted again."""
        zone = _Zone(slots=2, limit=2)
        zone.ledger.set_slice(TEAM, configurations.Limit(2))
        zone.start_term()
        zone.send(messages.HeldReport(model.Epoch(1), ()))
        zone.status('foreign')
        assert len(_grants(zone.send(_slot('1')))) == 1
        assert not _grants(zone.send(_slot('2')))
        zone.now += 1.0
        zone.status('1')
        assert len(_grants(zone.tick_after(0.1))) == 1

    def test_status_older_than_a_release_occupies_no_slot(self) -> None:
        """Fails if a released slot stays in use until the next status."""
        zone = _Zone(slots=1).start_ready()
        (grant,) = _grants(zone.send(_slot('r')))
        zone.now += 1.0
        zone.release(grant)
        listed = platform.ActiveRequest(model.RequestId('r'), TEAM)
        zone.scheduler.upstream_status(
            zone.now,
            U1,
            platform.UpstreamStatus(1, (listed,), False),
            zone.now - 0.5,
        )
        assert _grants(zone.send(_slot('next')))


class TestLimitsAndRefusals:
    """Requests that can't start are refused in time with a reason."""

    def test_team_at_its_slice_waits_and_gets_the_reason(self) -> None:
        """Fails if a slice is exceeded or the refusal lacks the reason."""
        zone = _Zone(slots=5, limit=5)
        zone.ledger.set_slice(TEAM, configurations.Limit(1))
        zone.start_ready()
        assert _grants(zone.send(_slot('1')))
        assert not _grants(zone.send(_slot('2')))
        (refusal,) = zone.tick_after(30.0)
        assert isinstance(refusal, messages.Refuse)
        assert refusal.code == 'deadline_exceeded'
        assert 'limit' in refusal.reason
        record = zone.shares.explain(zone.now, TEAM).records[-1]
        assert not record.granted

    def test_leaving_upstream_gets_nothing(self) -> None:
        """Fails if ``leaving`` in the status is ignored."""
        zone = _Zone().start_ready()
        zone.status(leaving=True)
        assert not _grants(zone.send(_slot('r')))

    def test_cancelled_request_is_not_granted(self) -> None:
        """Fails if a cancelled request gets a slot."""
        zone = _Zone(slots=1).start_ready()
        (grant,) = _grants(zone.send(_slot('1')))
        zone.send(_slot('2'))
        zone.send(messages.CancelSlots((model.RequestId('2'),)))
        assert not _grants(zone.release(grant))

    def test_unknown_and_retired_queues_are_refused(self) -> None:
        """Fails if requests wait for a queue that does not exist."""
        zone = _Zone(slots=1).start_ready()
        zone.send(_slot('1'))
        zone.send(_slot('2'))
        empty = configurations.Configuration()
        zone.scheduler.configure(zone.now, empty)
        (refusal,) = zone.tick_after(0.0)
        assert isinstance(refusal, messages.Refuse)
        assert (refusal.request_id, refusal.code) == ('2', 'not_found')
        assert not zone.send(_slot('3'))
        refusals = zone.tick_after(5.0)
        assert [item.code for item in refusals] == ['not_found']  # type: ignore[union-attr]

    def test_service_without_upstream_is_refused_at_once(self) -> None:
        """Fails if a request waits in a zone that can never serve it."""
        zone = _Zone().start_ready()
        zone.scheduler.set_upstreams(zone.now, [])
        (refusal,) = zone.send(_slot('r'))
        assert isinstance(refusal, messages.Refuse)
        assert refusal.code == 'no_capacity'


class TestTakeover:
    """A new leader knows which slots are in use before it grants any."""

    def test_nothing_is_granted_before_the_former_term_has_ended(self) -> None:
        """Fails if two leaders grant the same slot."""
        zone = _Zone()
        zone.start_term(grant_in_s=1.5)
        zone.send(messages.HeldReport(model.Epoch(1), ()))
        zone.status()
        assert not _grants(zone.send(_slot('r')))
        zone.now += 1.5
        assert not _grants(zone.tick_after(0.0))
        zone.status()
        assert _grants(zone.tick_after(0.0))

    def test_entry_reports_before_its_requests_are_queued(self) -> None:
        """Fails if a request with a grant of a former leader gets another."""
        zone = _Zone(slots=2)
        zone.start_term(epoch=2)
        zone.status()
        assert not _grants(zone.send(_slot('r')))
        assert messages.LeaderChanged(
            OTHER, model.Epoch(2)
        ) in zone.tick_after(0)
        held = messages.HeldGrant(
            model.GrantId('old'),
            model.RequestId('r'),
            U1,
            model.QueueId('q'),
            TEAM,
            model.Epoch(1),
            1,
        )
        (grant,) = _grants(
            zone.send(messages.HeldReport(model.Epoch(2), (held,)))
        )
        assert grant.grant_id == 'old'
        assert zone.ledger.usage(TEAM).running == 1

    def test_silent_entry_blocks_grants_for_a_bounded_time(self) -> None:
        """Fails if one entry without a report blocks the zone for ever."""
        zone = _Zone()
        zone.start_term()
        zone.status()
        zone.send(messages.HeldReport(model.Epoch(1), ()), OTHER)
        assert not _grants(zone.send(_slot('r'), OTHER))
        assert not _grants(zone.tick_after(reports.REPORT_GRACE_S))
        zone.status()
        assert _grants(zone.tick_after(0.0))

    def test_reports_of_other_terms_and_released_grants_are_ignored(
        self,
    ) -> None:
        """Fails if a late report keeps a slot in use for ever."""
        zone = _Zone(slots=1)
        zone.start_term(epoch=3)
        zone.status()
        grant = messages.Grant(
            model.RequestId('r'), model.GrantId('g'), U1, '', model.Epoch(2)
        )
        zone.release(grant)
        held = messages.HeldGrant(
            grant.grant_id,
            grant.request_id,
            U1,
            model.QueueId('q'),
            TEAM,
            model.Epoch(3),
        )
        for epoch in (2, 3):
            zone.send(messages.HeldReport(model.Epoch(epoch), (held,)))
        assert zone.ledger.usage(TEAM).running == 0

    def test_slot_of_a_lost_entry_is_freed_by_the_status_only(self) -> None:
        """Fails if the slot of a lost entry is granted while it is in use."""
        zone = _Zone(slots=1).start_ready()
        zone.send(_slot('r'))
        zone.send(messages.HeldReport(model.Epoch(1), ()), OTHER)
        zone.scheduler.entry_lost(zone.now, ENTRY)
        assert not _grants(zone.send(_slot('next'), OTHER))
        zone.now += 10.0
        zone.status('r')
        assert not _grants(zone.tick_after(0.0))
        zone.now += 1.0
        zone.status()
        assert _grants(zone.tick_after(0.0))

    def test_end_of_term_returns_everything(self) -> None:
        """Fails if a former leader still charges teams."""
        zone = _Zone(slots=1).start_ready()
        zone.send(_slot('1'))
        zone.send(_slot('2'))
        zone.scheduler.end_term(zone.now)
        assert zone.send(_slot('3')) == []
        assert zone.ledger.usages() == []
        assert zone.scheduler.zone_state(zone.now).teams == ()
