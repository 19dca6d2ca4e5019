"""Freshness under partitions, outages, pauses, restarts and late writes.

A state machine test runs five nodes that ask each other for confirmations,
read the table and propose revisions.  Answers and writes can be delayed, and
nodes can restart or be removed.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from samphirestack.internal import freshness
from samphirestack import model

BOUND_S = 3.0
NODES = [model.VmId(name) for name in 'abcde']
node_ids = st.sampled_from(NODES)
some_nodes = st.sets(node_ids)


class FreshnessMachine(stateful.RuleBasedStateMachine):
    """Guards against a node that is fresh at a superseded revision.

    It may be so for at most the bound after the next revision was committed.
    """

    @stateful.initialize()
    def start(self):
        self.now = 50.0
        self.head = 1
        self.roster_of = {0: frozenset(), 1: frozenset(NODES)}
        self.committed_at = {1: self.now}
        self.table_up = True
        self.nodes = {}
        self.removed, self.pending_answers, self.writes = set(), [], []
        for node in NODES:
            self.nodes[node] = self.boot(node)
            self.adopt(node, 1)
            self.nodes[node].record_table_read(self.now, 0)

    def boot(self, node):
        return freshness.Freshness(node, BOUND_S)

    def adopt(self, node, revision):
        state = self.nodes[node]
        if revision >= state.revision:
            state.set_revision(revision)
            state.set_roster(self.roster_of[revision])

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 1.4, 2.9, 3.1]))
    def pass_time(self, seconds):
        self.now += seconds

    @stateful.rule(node=node_ids, reached=some_nodes, late=st.booleans())
    def ask_peers(self, node, reached, late):
        state, sent_at = self.nodes[node], self.now
        for peer in reached - {node} - self.removed:
            answer = (state, peer, sent_at, self.nodes[peer].promised)
            self.pending_answers.append(answer)
        if not late:
            self.answers_arrive()

    @stateful.rule(everyone=st.just(True))
    def ask_all_peers(self, everyone):
        for node in NODES:
            self.ask_peers(node, set(NODES), True)
        self.answers_arrive()

    @stateful.rule()
    def answers_arrive(self):
        for state, peer, sent_at, promised in self.pending_answers:
            state.record_answer(peer, sent_at, promised)
        self.pending_answers.clear()

    @stateful.rule(node=node_ids, takes=st.booleans())
    def read_table(self, node, takes):
        if self.table_up and node not in self.removed:
            self.nodes[node].record_table_read(self.now, self.head)
            if takes:
                self.adopt(node, self.head)

    @stateful.rule(node=node_ids, peer=node_ids)
    def fetch(self, node, peer):
        self.adopt(node, self.nodes[peer].revision)

    @stateful.rule()
    def switch_table(self):
        self.table_up = not self.table_up

    @stateful.rule(
        node=node_ids,
        reached=some_nodes | st.just(set(NODES)),
        swapped=st.none() | node_ids,
        lands=st.booleans(),
    )
    def propose(self, node, reached, swapped, lands):
        if not self.table_up or node in self.removed:
            return
        self.read_table(node, True)
        revision, state = self.head + 1, self.nodes[node]
        promised = set(self.removed)
        for peer in (reached | {node}) - self.removed:
            if self.nodes[peer].promise(self.now, revision):
                promised.add(peer)
        if state.is_majority(promised):
            roster = self.roster_of[self.head] ^ ({swapped} - {None})
            self.writes.append((revision, frozenset(roster)))
        if lands and self.writes:
            self.late_write_lands(len(self.writes) - 1)

    @stateful.precondition(lambda self: self.writes)
    @stateful.rule(index=st.integers(0, 9))
    def late_write_lands(self, index):
        revision, roster = self.writes.pop(index % len(self.writes))
        if self.table_up and revision == self.head + 1:
            self.head = revision
            self.roster_of[revision] = roster
            self.committed_at[revision] = self.now

    @stateful.rule(node=node_ids)
    def restart(self, node):
        self.removed.discard(node)
        self.nodes[node] = self.boot(node)

    @stateful.rule(node=node_ids)
    def remove_vm(self, node):
        self.removed.add(node)

    @stateful.invariant()
    def no_node_trusts_a_superseded_revision(self):
        for node in set(NODES) - getattr(self, 'removed', set(NODES)):
            state = self.nodes[node]
            if state.revision < self.head and state.is_fresh(self.now):
                since = self.committed_at[state.revision + 1]
                assert self.now - since <= BOUND_S, (node, state.revision)


TestFreshness = FreshnessMachine.TestCase
TestFreshness.settings = hypothesis.settings(
    max_examples=1500,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
