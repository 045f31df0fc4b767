import itertools

import pytest

from hickorylever.decisions.members import Members, VMListing, merge
from hickorylever.packets import Health, Phase, Update
from hickorylever.records import MemberState

ME, OTHER = 1, 2


def update(generation=5, serial=0, phase=Phase.READY, health=Health.ALIVE, member=OTHER):
    return Update(member, generation, serial, phase, health)


def members_with(*updates, now=0.0):
    members = Members(ME, 5)
    members.set_inventory([ME, OTHER])
    for news in updates:
        members.apply_update(news, now)
    return members


MERGES = [
    (
        update(serial=1),
        update(serial=2, phase=Phase.JOINING),
        update(serial=2, phase=Phase.JOINING),
    ),
    (update(phase=Phase.DRAINING), update(serial=3), update(serial=3, phase=Phase.DRAINING)),
    (update(health=Health.GONE), update(serial=1), update(serial=1)),
    (update(health=Health.GONE), update(), update(health=Health.GONE)),
    (update(phase=Phase.DRAINING), update(generation=6), update(generation=6)),
]


@pytest.mark.parametrize("first, second, merged", MERGES)
def test_newest_knowledge_wins_in_any_order(first, second, merged):
    assert merge(first, second) == merge(second, first) == merged
    assert merge(merged, first) == merge(merged, second) == merged


RECEIVED_UPDATES = [
    (None, "joining draining gone"),
    (update(phase=Phase.JOINING), "joining draining joining"),
    (update(), "ready draining ready"),
    (update(phase=Phase.DRAINING), "draining draining draining"),
    (update(health=Health.SUSPECT), "suspect draining gone"),
    (update(health=Health.GONE), "gone gone gone"),
]


@pytest.mark.parametrize("received, states", RECEIVED_UPDATES)
def test_a_state_combines_updates_and_the_vm_list(received, states):
    members = members_with(*([received] if received else []))
    for vm_listing, state in zip(VMListing, states.split(), strict=True):
        members.set_vm_list({OTHER: vm_listing})
        assert members.state(OTHER) is MemberState(state)


def test_a_suspicion_is_refuted_with_a_higher_serial():
    members = Members(ME, 5)
    members.declare(Phase.READY)
    assert members.apply_update(update(member=ME, serial=1, health=Health.SUSPECT), 0.0)
    own = members.entries[ME].update
    assert (own.serial, own.health, own.phase) == (2, Health.ALIVE, Phase.READY)


def test_a_starting_run_raises_its_generation_and_an_established_one_is_superseded():
    fresh = Members(ME, 3)
    fresh.apply_update(update(member=ME, generation=9), 0.0)
    assert fresh.entries[ME].update.generation == 10
    old = Members(ME, 3)
    old.established = True
    old.apply_update(update(member=ME, generation=9), 0.0)
    assert old.superseded and old.entries[ME].update.generation == 3


def test_draining_is_never_undone_within_a_generation():
    members = Members(ME, 5)
    assert members.declare(Phase.DRAINING)
    assert not members.declare(Phase.READY)
    members.apply_update(update(member=ME, serial=1, health=Health.SUSPECT), 0.0)
    assert members.entries[ME].update.phase is Phase.DRAINING


def test_a_suspicion_expires_only_after_its_timeout():
    members = members_with(update(), update(health=Health.SUSPECT), now=10.0)
    timeout_at = 10.0 + members.suspicion_timeout()
    assert not members.expire(timeout_at - 0.01)
    members.extend_suspicions(5.0)
    assert not members.expire(timeout_at + 4.9)
    assert members.expire(timeout_at + 5.0) == [OTHER]
    assert members.state(OTHER) is MemberState.GONE


def test_a_flapping_member_is_suppressed_for_a_growing_time():
    members = members_with()
    suppressions = []
    for flap, now in zip(range(5), itertools.count(0.0, 1.0), strict=False):
        members.apply_update(update(serial=2 * flap), now)
        members.apply_update(update(serial=2 * flap, health=Health.GONE), now)
        members.apply_update(update(serial=2 * flap + 1), now)
        assert members.state(OTHER) is MemberState.READY
        suppressions.append(max(0.0, members.entries[OTHER].suppressed_until - now))
        assert members.usable(OTHER, now) is (flap == 0)
    assert suppressions[0] == 0 and suppressions == sorted(set(suppressions))
    assert members.usable(OTHER, 1000.0)


@pytest.mark.parametrize(
    "received, usable",
    [
        (update(health=Health.GONE), True),
        (update(health=Health.SUSPECT), True),
        (update(phase=Phase.DRAINING), False),
    ],
)
def test_an_isolated_member_uses_whatever_did_not_leave(received, usable):
    members = members_with(received)
    assert members.usable(OTHER, 0.0, isolated=True) is usable
    assert not members.usable(OTHER, 0.0)
