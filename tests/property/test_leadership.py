"""Leader election under pauses, partitions, restarts and lost answers.

A state machine test runs three nodes and five arbiters over a simulated
network that delays, loses and cuts off calls and heartbeats.
"""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from samphirestack.internal import leadership
from samphirestack import model

STEP_S = 0.05
NODES = [model.VmId(name) for name in 'abc']
ARBITERS = tuple(model.WorkerId(f'w{n}') for n in range(5))
TIMING = leadership.Timing()
node_ids = st.sampled_from(NODES)
arbiter_ids = st.sampled_from(ARBITERS)


class Agent:
    """A worker agent that grants leases by the rules of the platform."""

    def __init__(self):
        self.owner = ''
        self.epoch = 0
        self.expires_at = 0.0

    def lease(self, now, owner, epoch):
        renews = (owner, epoch) == (self.owner, self.epoch)
        if epoch > self.epoch or (renews and now < self.expires_at):
            self.owner, self.epoch = owner, epoch
            self.expires_at = now + TIMING.worker_ttl_s
            return True
        return False


class LeadershipMachine(stateful.RuleBasedStateMachine):
    """Guards against two leaders that act at once, and reuse of epochs."""

    @stateful.initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.now = 100.0
        self.rng = random.Random(seed)
        self.agents = {worker: Agent() for worker in ARBITERS}
        self.nodes = {}
        self.run_of = dict.fromkeys(NODES, 0)
        self.down, self.paused = set(), set()
        self.cut = set()
        self.in_flight = []
        self.loss = 0.0
        self.delay = 0.2
        self.acted = (0, None)
        for node in NODES:
            self.boot(node)
        self.run(3.0)

    def boot(self, node):
        self.run_of[node] += 1
        self.nodes[node] = leadership.Leadership(
            node, self.now, TIMING, random.Random(self.rng.random())
        )
        self.nodes[node].set_arbiters(ARBITERS)

    def post(self, source, target, action):
        """Queue an action at ``target``, unless it is lost; add a delay."""
        if self.rng.random() >= self.loss:
            due = self.now + self.rng.random() * self.delay
            self.in_flight.append((due, source, target, action))

    def deliver(self):
        due = [entry for entry in self.in_flight if entry[0] <= self.now]
        for entry in due:
            _, source, target, action = entry
            if target in self.paused:
                continue
            self.in_flight.remove(entry)
            if target not in self.down and (source, target) not in self.cut:
                action()
                self.check()

    def call(self, node, call):
        run, sent_at = self.run_of[node], self.now
        for worker in call.workers:
            self.post(
                node,
                worker,
                lambda worker=worker: self.answer(
                    node, run, worker, call.epoch, sent_at
                ),
            )

    def answer(self, node, run, worker, epoch, sent_at):
        agent = self.agents[worker]
        granted, held = agent.lease(self.now, node, epoch), agent.epoch

        def receive():
            if self.run_of[node] != run:
                return
            if granted:
                self.nodes[node].record_granted_lease(
                    self.now, worker, epoch, sent_at
                )
            else:
                self.nodes[node].record_rejected_lease(
                    self.now, worker, held, epoch
                )

        self.post(worker, node, receive)

    def heartbeat(self, node):
        state = self.nodes[node]
        leader, epoch = state.leader(self.now) or ('', state.highest_epoch)
        for peer in NODES:
            if peer != node:
                self.post(
                    node,
                    peer,
                    lambda peer=peer: self.receive_heartbeat(
                        peer, node, leader, epoch
                    ),
                )

    def receive_heartbeat(self, node, peer, leader, epoch):
        state = self.nodes[node]
        state.record_heartbeat(self.now, peer, leader, epoch, False)
        if leader == peer and state.term is None:
            self.post(
                node,
                peer,
                lambda: self.nodes[peer].record_held_report(
                    self.now, node, epoch
                ),
            )

    @stateful.rule(duration=st.sampled_from([0.1, 0.4, 1.1, 2.0, 5.0, 12.0]))
    def run(self, duration):
        for step in range(round(duration / STEP_S)):
            self.now += STEP_S
            self.deliver()
            for node in NODES:
                if node in self.down or node in self.paused:
                    continue
                call = self.nodes[node].tick(self.now)
                if call is not None:
                    self.call(node, call)
                if step % 5 == 0:
                    self.heartbeat(node)
                silent = self.nodes[node].silent_leader(self.now)
                if silent in self.down:
                    self.nodes[node].record_refused_connection(silent)
            self.deliver()
            self.check()

    @stateful.rule(node=node_ids)
    def pause_or_wake(self, node):
        self.paused ^= {node}

    @stateful.rule(node=node_ids)
    def kill_or_restart(self, node):
        if node in self.down:
            self.down.remove(node)
            self.boot(node)
        else:
            self.down.add(node)
            self.paused.discard(node)

    @stateful.rule(node=node_ids)
    def restart_at_once(self, node):
        self.paused.discard(node)
        self.boot(node)

    @stateful.rule(node=node_ids, others=st.sets(arbiter_ids | node_ids))
    def cut_off(self, node, others):
        for other in others:
            self.cut ^= {(node, other), (other, node)}

    @stateful.rule(node=node_ids, kept=st.sets(arbiter_ids, max_size=3))
    def isolate(self, node, kept):
        for other in {*NODES, *ARBITERS} - {node} - kept:
            self.cut |= {(node, other), (other, node)}

    @stateful.rule(node=node_ids, worker=arbiter_ids)
    def lose_answers(self, node, worker):
        self.cut ^= {(worker, node)}

    @stateful.rule()
    def heal(self):
        self.cut.clear()

    @stateful.rule(
        loss=st.sampled_from([0.0, 0.1, 0.4]),
        delay=st.sampled_from([0.0, 0.2, 0.9, 3.0]),
    )
    def degrade(self, loss, delay):
        self.loss, self.delay = loss, delay

    def check(self):
        acting = [
            (self.nodes[node].term.epoch, (node, self.run_of[node]))
            for node in NODES
            if node not in self.down and self.nodes[node].may_act(self.now)
        ]
        assert len(acting) <= 1, acting
        for epoch, run in acting:
            last, last_run = self.acted
            assert epoch > last or (epoch, run) == (last, last_run)
            self.acted = (epoch, run)

    def teardown(self):
        """Check that a leader is elected once all faults have ended.

        Without this, a zone that never has a leader would pass.
        """
        if not hasattr(self, 'nodes'):
            return
        self.cut.clear()
        self.paused.clear()
        self.loss = self.delay = 0.0
        for node in set(self.down):
            self.kill_or_restart(node)
        for _ in range(40):
            self.run(1.0)
            if any(n.may_act(self.now) for n in self.nodes.values()):
                return
        raise AssertionError('no leader 40 s after all faults ended')


TestLeadership = LeadershipMachine.TestCase
TestLeadership.settings = hypothesis.settings(
    max_examples=300,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
