import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from models import assert_holds, failing

from hickorylever.bench.mesh import Links, Mesh
from hickorylever.bench.scheduler import EventScheduler
from hickorylever.decisions.members import FINAL_PHASES, Members
from hickorylever.records import MemberState
from spec.members import members

SIZES = [(1, 2, 0), (1, 1, 1), (2, 1, 0)]


@pytest.mark.parametrize("size", SIZES)
def test_draining_is_final_and_suspicions_are_refuted(size):
    assert_holds(members("", *size))


BROKEN = [
    ("highest_serial", "draining_is_final"),
    ("ready_again", "draining_is_final"),
    ("no_refutation", "received_suspicions_are_refuted"),
]


@pytest.mark.parametrize("variant, caught", BROKEN)
def test_broken_protocols_are_caught(variant, caught):
    assert failing(members(variant, 1, 2, 0)) == {caught}


@pytest.mark.parametrize("seed", range(20))
def test_traces_of_the_model_hold_for_the_code(seed):
    protocol = members("", 1, 3, 1)
    rng = random.Random(seed)
    state = protocol.initial
    observer = Members(2, 1)
    observer.set_inventory([1])
    for _ in range(40):
        steps = protocol.transitions(state)
        if not steps:
            return
        label, after = rng.choice(steps)
        action, _, rest = label.partition(" ")
        if action == "suspect":
            observer.suspect(1, 0.0)
        elif action == "expire":
            assert observer.expire(1e9) == [1]
        elif action == "mark_draining" or (action == "apply_update" and rest.startswith("0 ")):
            (news,) = (
                [n for n in state[1] if str(n) == rest[2:]]
                if action == "apply_update"
                else after[2]
            )
            observer.apply_update(news, 0.0)
        state = after
        assert observer.entries[1].update == state[2][0]


class Fleet(RuleBasedStateMachine):
    """Members over simulated links with loss, delay, partitions, pauses and restarts."""

    def __init__(self):
        super().__init__()
        self.world = Mesh(EventScheduler(7), 3, 5, Links(loss=0.05))
        self.world.converge()
        self.number = 0
        self.drained = set()
        self.seen = {}

    node = st.integers(0, 7)

    def pick(self, index):
        return self.world.nodes[self.world.ids[index]]

    @rule(seconds=st.floats(0.1, 10), loss=st.sampled_from([0.0, 0.05, 0.3]))
    def run(self, seconds, loss):
        self.world.links.loss = loss
        self.world.scheduler.run(self.world.scheduler.now + seconds)

    @rule(index=node)
    def kill(self, index):
        self.world.kill(self.pick(index))

    @rule(index=node, behind=st.booleans())
    def restart(self, index, behind):
        node = self.pick(index)
        if not node.alive:
            generation = node.swim.local_update().generation
            self.drained.discard(index)
            fresh = self.world.start(node.name, generation - 1 if behind else generation + 1)
            fresh.partition = node.partition

    @rule(index=node, side=st.integers(0, 1))
    def move(self, index, side):
        self.pick(index).partition = side

    @rule(index=node, paused=st.booleans())
    def pause(self, index, paused):
        self.pick(index).paused = paused

    @rule(index=node)
    def drain(self, index):
        if self.pick(index).alive:
            self.world.drain(self.pick(index))
            self.drained.add(index)

    @rule(index=node)
    def apply_revision(self, index):
        if self.pick(index).alive:
            self.number += 1
            self.world.adopt_revision(self.pick(index), self.number)

    @invariant()
    def no_member_regresses(self):
        for node in self.world.live():
            for member, entry in node.swim.members.entries.items():
                key = (node.swim.local_id, id(node), member)
                now = (entry.update.generation, entry.update.phase in FINAL_PHASES)
                assert now >= self.seen.get(key, (0, False))
                self.seen[key] = now
            key = (id(node), "revision")
            assert node.revision >= self.seen.get(key, 0)
            self.seen[key] = node.revision

    def expected(self, index):
        node = self.pick(index)
        if not node.alive:
            return {MemberState.GONE}
        return {MemberState.DRAINING} if index in self.drained else {MemberState.READY}

    def teardown(self):
        self.world.links.loss = 0.02
        for node in self.world.nodes.values():
            node.paused = False
            node.partition = 0
        self.world.scheduler.run(self.world.scheduler.now + 60.0)
        highest = max((node.revision for node in self.world.live()), default=0)
        for node in self.world.live():
            for index, member in enumerate(self.world.ids):
                update = node.swim.members.entries[member].update
                silent = not self.pick(index).alive and update.generation == 0
                if member != node.swim.local_id and not silent:
                    state = node.swim.members.state(member)
                    assert state in self.expected(index), (node.name, index, update)
            if highest:
                assert node.revision in (0, highest)


Fleet.TestCase.settings = settings(max_examples=8, stateful_step_count=10)
TestFleet = Fleet.TestCase


def test_a_fleet_that_does_not_refute_is_caught(monkeypatch):
    monkeypatch.setattr(Members, "refute", lambda self, news: None)
    fleet = Fleet()
    fleet.pause(4, True)
    fleet.run(15.0, 0.0)
    with pytest.raises(AssertionError):
        fleet.teardown()
