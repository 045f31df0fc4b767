import functools
from types import SimpleNamespace

import pytest
from test_affinity import pool

from hickorylever import admission
from hickorylever.decisions.affinity import View
from hickorylever.decisions.loads import Loads
from hickorylever.decisions.pools import load_groups
from hickorylever.records import VM, Attempt, Load

MEMBERS = pool(4, capacity=1)
make = functools.partial(Attempt, "id", "e0", "i", 1.0)


def environment(*works, now=1.0):
    loads = Loads(5.0)
    loads.arrange(load_groups([MEMBERS], "vm-e0"))
    for member, work in zip(MEMBERS[1:], works, strict=False):
        loads.note(Load(member.name, work, 1, 1, time=0.0))
    return SimpleNamespace(
        clock=lambda: now,
        loads=loads,
        view=View(multiple=1.25, floor=100.0),
        usable=lambda name: True,
        fleet=SimpleNamespace(vms=[VM("r", "", "", "", "entry")] * 2),
    )


CAPS = [
    ((1000.0,) * 3, 1000.0, make(10.0), 1250.0),
    ((1000.0,) * 3, 1100.0, make(10.0), 1281.25),
    ((1000.0,) * 3, 1000.0, make(900.0), 1900.0),
    ((1000.0,) * 3, 1100.0, make(900.0), 1281.25),
    ((1000.0,) * 3, 1000.0, make(10.0, borrowed=True), 1100.0),
    ((1000.0,) * 3, 1000.0, make(900.0, borrowed=True), 1100.0),
    ((0.0,) * 3, 0.0, make(10.0), 100.0),
    ((), 50.0, make(10.0), 100.0),
    ((1000.0,) * 3, 2100.0, make(10.0, mean=2000.0, mean_age=0.1, members=4), 2500.0),
    ((1000.0,) * 3, 2100.0, make(10.0, mean=2000.0, mean_age=9.0, members=4), 1593.75),
]


@pytest.mark.parametrize("peers, work, attempt, cap", CAPS)
def test_cap(peers, work, attempt, cap):
    assert admission.cap(environment(*peers), MEMBERS[0], work, 1, attempt) == pytest.approx(cap)


def test_reports_that_are_too_old_are_left_out():
    env = environment(now=10.0)
    admission.take_load(env, Load("e1", 5000.0, 1, 1, time=4.9))
    assert env.loads.get("e1") is None


def test_room_is_this_routers_part_or_what_the_others_leave():
    env = environment(300.0, 0.0, 0.0)
    room = admission.room(env, MEMBERS, 100.0)
    assert (room.limit, room.part) == (1600.0 - 200.0, 800.0)
