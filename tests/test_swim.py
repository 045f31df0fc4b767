import random
from collections import Counter

import pytest

from hickorylever import defaults, packets
from hickorylever.bench.mesh import Links, Mesh
from hickorylever.bench.scheduler import EventScheduler
from hickorylever.decisions.dissemination import TokenBucket
from hickorylever.decisions.swim import Swim
from hickorylever.decisions.topics import SampleGroup
from hickorylever.packets import Health, Packet, PacketKind, Phase, Update
from hickorylever.records import MemberState


def mesh(routers=3, sidecars=9, loss=0.0, seed=1, warm=True):
    made = Mesh(EventScheduler(seed), routers, sidecars, Links(loss=loss))
    if warm:
        made.converge()
    return made


def states(world, about, nodes=None):
    seen = [n.swim.members.state(about) for n in nodes or world.live() if n.swim.local_id != about]
    return Counter(seen)


def test_all_members_become_ready_after_a_cold_start():
    world = mesh(loss=0.05, warm=False)
    world.scheduler.run(10.0)
    for node in world.live():
        assert node.swim.members.established
        assert set(states(world, node.swim.local_id)) == {MemberState.READY}


def test_a_killed_member_is_gone_and_its_next_run_is_ready():
    world = mesh(loss=0.05)
    victim = world.sidecars[0]
    world.kill(world.nodes[victim])
    world.scheduler.run(12.0)
    assert set(states(world, victim)) == {MemberState.GONE}
    world.start("engine-0", 0)
    world.scheduler.run(30.0)
    assert set(states(world, victim)) == {MemberState.READY}
    assert world.nodes[victim].swim.local_update().generation > 1


def test_draining_reaches_routers_within_two_seconds():
    world = mesh(routers=20, sidecars=40, loss=0.05)
    world.scheduler.run(1.0)
    leaving = world.sidecars[3]
    world.drain(world.nodes[leaving])
    world.scheduler.run(3.0)
    routers = [world.nodes[member] for member in world.routers]
    assert set(states(world, leaving, routers)) == {MemberState.DRAINING}


def test_a_paused_member_does_not_declare_the_others_gone():
    world = mesh()
    paused = world.nodes[world.routers[0]]
    world.scheduler.run(1.0)
    paused.paused = True
    world.scheduler.run(31.0)
    paused.paused = False
    world.scheduler.run(31.5)
    others = [paused.swim.members.state(n.swim.local_id) for n in world.live() if n is not paused]
    assert set(others) == {MemberState.READY}
    world.scheduler.run(45.0)
    assert set(states(world, paused.swim.local_id)) == {MemberState.READY}


def test_two_sides_of_a_partition_find_each_other_again():
    world = mesh(loss=0.02)
    for member in world.ids[::2]:
        world.nodes[member].partition = 1
    world.scheduler.run(30.0)
    assert states(world, world.ids[0])[MemberState.GONE] == 6
    for node in world.live():
        node.partition = 0
    world.scheduler.run(60.0)
    for member in world.ids:
        assert set(states(world, member)) == {MemberState.READY}


def test_an_isolated_router_keeps_its_endpoints():
    world = mesh()
    router = world.nodes[world.routers[0]]
    router.partition = 1
    world.scheduler.run(60.0)
    swim = router.swim
    assert swim.isolated(60.0)
    assert all(swim.members.usable(member, 60.0, True) for member in world.sidecars)


@pytest.mark.parametrize("loss", [0.01, 0.2])
def test_the_highest_revision_reaches_all_members(loss):
    world = mesh(loss=loss)
    for member, number in zip(world.ids, (3, 9, 4), strict=False):
        world.adopt_revision(world.nodes[member], number)
    world.scheduler.run(3.0)
    assert {node.revision for node in world.live()} == {9}


def test_a_member_missed_by_dissemination_learns_the_revision_from_probes():
    world = mesh()
    laggard = world.nodes[world.ids[4]]
    laggard.partition = 1
    world.adopt_revision(world.nodes[world.ids[0]], 5)
    world.scheduler.run(2.9)
    assert laggard.revision == 0
    for node in world.live():
        node.swim.dissemination.pending.clear()
    laggard.partition = 0
    world.scheduler.run(6.0)
    assert laggard.revision == 5


def test_low_priority_topics_are_dropped_first_when_the_budget_is_short():
    swim = Swim(1, 1, random.Random(1))
    swim.members.set_inventory([2])
    swim.budget = TokenBucket(0.0, 2.5 * defaults.CONTROL_RESERVE_BYTES)
    swim.groups = {name: (SampleGroup((2,), 1),) for name in ("use", "load")}
    swim.publish("load", "x" * 1000)
    swim.publish("use", "x" * 1000)
    kinds = [send.kind for send in swim.send_samples(0.0)]
    assert kinds == ["use"] and swim.dropped == {"load": 1}


def test_sent_bytes_keep_to_the_budget_when_a_failure_domain_drops_out():
    world = mesh(routers=10, sidecars=50)
    for member in world.ids[::5]:
        world.kill(world.nodes[member])
    world.reset()
    world.scheduler.run(20.0)
    most = max(node.sent["bytes"] for node in world.live())
    assert most <= 20 * defaults.CONTROL_BYTES_PER_SECOND + defaults.CONTROL_BURST_BYTES


def test_datagrams_stay_small_and_malformed_or_unknown_ones_change_nothing():
    updates = [Update(2**64 - i, 2**41, 9, Phase.READY, Health.GONE) for i in range(1, 41)]
    packet = Packet(PacketKind.UPDATES, 7, updates=updates)
    assert len(packets.encode(packet)) <= defaults.MAX_DATAGRAM_BYTES
    swim = Swim(1, 1, random.Random(1))
    assert swim.receive(packets.encode(packet), 0.0) == [] and swim.isolated(0.0)
