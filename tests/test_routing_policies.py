import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickorylever import defaults
from hickorylever.decisions.pools import Pool
from hickorylever.decisions.routing_policies import LastEndpoints, RoutingRequest, View, policies
from hickorylever.records import Endpoint, Load

CHATS = [f"chat-{number}" for number in range(1500)]
AFFINITY_POLICIES = ("bounded", "hinted", "rendezvous", "consistent")
BASELINE_POLICIES = ("random", "round_robin", "least_load")


def endpoint(number, domain="a", capacity=8):
    name = f"e{number}"
    return Endpoint(name, f"vm-{name}", "127.0.0.1", 1, 1, "llm", "r", domain, capacity)


def pool(count, **more):
    return Pool("model m", [endpoint(number, **more) for number in range(count)])


def first(policy, members, view=None, chats=CHATS, **more):
    view = view or View(rng=random.Random(1))
    return {
        chat: next(policies[policy](RoutingRequest(chat, **more), members, view)).name
        for chat in chats
    }


def moved_per_unavoidable(policy, small, large):
    view = View(rng=random.Random(1))
    before = first(policy, large, view)
    after = first(policy, small, view)
    gone = {member.name for member in large} - {member.name for member in small}
    moved = sum(before[chat] != after[chat] for chat in CHATS)
    unavoidable = sum(before[chat] in gone for chat in CHATS)
    return moved / unavoidable


@pytest.mark.parametrize("count", (6, 19, 76))
@pytest.mark.parametrize("policy", AFFINITY_POLICIES)
def test_membership_changes_move_few_chats_that_need_not_move(policy, count):
    large = pool(count)
    for left in range(0, count, max(1, count // 4)):
        small = Pool(large.name, [*large[:left], *large[left + 1 :]])
        assert moved_per_unavoidable(policy, small, large) <= 1.2


@pytest.mark.parametrize("policy", BASELINE_POLICIES)
def test_baselines_move_chats_that_need_not_move(policy):
    large = pool(19)
    assert moved_per_unavoidable(policy, Pool(large.name, large[1:]), large) > 1.2


def disagreement(policy, difference):
    large = pool(40)
    views = [View(rng=random.Random(seed)) for seed in (1, 2)]
    views[1].round_robin_count = 7
    one = first(policy, Pool(large.name, large[difference:]), views[0])
    two = first(policy, Pool(large.name, large[: len(large) - difference]), views[1])
    return sum(one[chat] != two[chat] for chat in CHATS) / len(CHATS)


@pytest.mark.parametrize("difference", (0, 1, 3))
@pytest.mark.parametrize("policy", AFFINITY_POLICIES)
def test_routers_with_different_lists_disagree_in_proportion_to_the_difference(policy, difference):
    assert disagreement(policy, difference) <= 1.2 * 2 * difference / 40 + 0.02 * bool(difference)


@pytest.mark.parametrize("policy", ("random", "round_robin"))
def test_baselines_disagree(policy):
    assert disagreement(policy, 1) > 0.5


@given(
    st.sampled_from(tuple(policies)),
    st.integers(1, 30),
    st.lists(st.floats(0, 50000), min_size=30, max_size=30),
    st.sets(st.integers(0, 29)),
    st.sampled_from(("", "dossier")),
)
def test_every_policy_yields_usable_endpoints_once(policy, count, works, gone, prefix):
    members = pool(count)
    view = View(rng=random.Random(1), usable=lambda name: int(name[1:]) not in gone)
    view.loads.replace_groups({members.name: members.by_name})
    for member, work in zip(members, works, strict=False):
        view.loads.update(Load(member.name, work, 1, member.capacity, time=1.0))
    names = [
        e.name for e in policies[policy](RoutingRequest("c", prefix, 500.0, 1.0), members, view)
    ]
    left = {member.name for member in members if view.usable(member.name)}
    assert len(names) == len(set(names))
    assert set(names) <= left and bool(names) == bool(left)


def set_loads(view, members, names, work=1e6):
    view.loads.replace_groups({members.name: members.by_name})
    for member in members:
        held = work if member.name in names else 1000.0
        view.loads.update(Load(member.name, held, 1, member.capacity, time=1.0))


@pytest.mark.parametrize(
    "policy, skips", [("bounded", True), ("rendezvous", True), ("consistent", False)]
)
def test_bounded_policies_skip_an_overloaded_endpoint(policy, skips):
    members, view = pool(10), View()
    home = next(policies["consistent"](RoutingRequest("c"), members, view)).name
    home = next(policies[policy](RoutingRequest("c"), members, view)).name
    set_loads(view, members, {home})
    chosen = next(policies[policy](RoutingRequest("c", now=1.0), members, view)).name
    assert (chosen != home) is skips


def test_chats_with_a_shared_prefix_share_a_few_endpoints():
    used = set(first("bounded", pool(40), prefix="dossier").values())
    assert len(used) == defaults.ENDPOINTS_PER_PREFIX


def test_hinted_policy_returns_to_the_last_endpoint():
    last_endpoints = LastEndpoints(limit=2)
    for chat, name in (("old", "e1"), ("c", "e3"), ("c", "e7"), ("d", "e2")):
        last_endpoints.record(chat, name)
    assert last_endpoints.get("old") == "" and len(last_endpoints.entries) == 2
    members, view = pool(10), View(last_endpoints=last_endpoints)
    assert next(policies["hinted"](RoutingRequest("c"), members, view)).name == "e7"


@pytest.mark.parametrize("policy, all_near", [("zoned", True), ("near", True), ("bounded", False)])
def test_own_failure_domain_first(policy, all_near):
    members = Pool("m", [endpoint(n, domain="ab"[n % 2]) for n in range(12)])
    names = first(policy, members, View(failure_domain="b"), CHATS[:200]).values()
    assert all(members.by_name[name].failure_domain == "b" for name in names) is all_near
