import pytest

from hickorylever.decisions.placement import Assignment, Loaded, LoadState, plan_orders
from hickorylever.records import Endpoint


def endpoint(name, models=("m",), version="2"):
    return Endpoint(name, f"vm-{name}", "", 0, 0, "pool", "r", "d", models=models, version=version)


OLD = Loaded(LoadState.READY, Assignment(("m",), "1"))
NEW = Loaded(LoadState.READY, Assignment(("m",), "2"))
EMPTY = Loaded(LoadState.EMPTY)
LOADING = Loaded(LoadState.LOADING)
FIXED = Loaded(LoadState.FIXED)

PLANS = [
    ("nothing to do", {"a": NEW, "b": NEW}, "ab", 4, ""),
    ("the last ready copy stays", {"a": OLD, "b": EMPTY}, "a", 4, "b"),
    ("one of two is replaced", {"a": OLD, "b": OLD}, "ab", 4, "a"),
    ("a copy that is not usable is not counted", {"a": OLD, "b": NEW}, "a", 4, ""),
    ("with another usable copy it is replaced", {"a": OLD, "b": NEW}, "ab", 4, "a"),
    ("the limit of concurrent loads", {"a": EMPTY, "b": LOADING, "c": EMPTY}, "", 2, "a"),
    ("endpoints without a report get no order", {"a": EMPTY}, "", 4, "a"),
    ("endpoints that take no orders get none", {"a": FIXED, "b": FIXED}, "ab", 4, ""),
]


@pytest.mark.parametrize("what, loaded, usable, max_loading, ordered", PLANS)
def test_plan(what, loaded, usable, max_loading, ordered):
    endpoints = tuple(endpoint(name) for name in "abc")
    orders = plan_orders(endpoints, loaded, set(usable), {}, 9, max_loading)
    assert "".join(order.endpoint for order in orders) == ordered
    assert all(order.number == 9 and order.assignment.version == "2" for order in orders)


def test_the_model_with_most_demand_for_a_copy_comes_first():
    endpoints = (endpoint("a", ("x",)), endpoint("b", ("y",)))
    loaded = {"a": EMPTY, "b": EMPTY}
    (order,) = plan_orders(endpoints, loaded, set(), {"y": 500.0}, 1, 1)
    assert order.endpoint == "b"


def test_adapters_and_role_are_ordered_too():
    wanted = Endpoint(
        "a", "v", "", 0, 0, "p", "r", "d", models=("m",), adapters=("x",), engine_role="decode"
    )
    loaded = {"a": Loaded(LoadState.READY, Assignment(("m",))), "b": NEW}
    (order,) = plan_orders((wanted, endpoint("b")), loaded, {"a", "b"}, {}, 1)
    assert order.assignment == Assignment(("m",), "", ("x",), "decode")


def test_a_whole_roll_out_never_takes_the_last_copy():
    endpoints = tuple(endpoint(name) for name in "abcde")
    loaded = dict.fromkeys("abcde", OLD)
    for _ in range(20):
        usable = {name for name, entry in loaded.items() if entry.state is LoadState.READY}
        assert usable
        for name, entry in loaded.items():
            if entry is LOADING:
                loaded[name] = NEW
        for order in plan_orders(endpoints, loaded, usable, {}, 1):
            loaded[order.endpoint] = LOADING
    assert set(loaded.values()) == {NEW}
