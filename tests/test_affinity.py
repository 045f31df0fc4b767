import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickorylever import defaults
from hickorylever.decisions.affinity import Ask, Places, View, policies
from hickorylever.decisions.pools import Pool
from hickorylever.records import Endpoint, Load

CHATS = [f"chat-{number}" for number in range(1500)]
PLACING = ("bounded", "hinted", "rendezvous", "consistent")
ELSEWHERE = ("random", "round_robin", "least_load")


def endpoint(number, domain="a", capacity=8):
    name = f"e{number}"
    return Endpoint(name, f"vm-{name}", "127.0.0.1", 1, 1, "llm", "r", domain, capacity)


def pool(count, **more):
    return Pool("model m", [endpoint(number, **more) for number in range(count)])


def first(policy, members, view=None, chats=CHATS, **more):
    view = view or View(chance=random.Random(1))
    return {chat: next(policies[policy](Ask(chat, **more), members, view)).name for chat in chats}


def moved_against_unavoidable(policy, small, large):
    view = View(chance=random.Random(1))
    before = first(policy, large, view)
    after = first(policy, small, view)
    gone = {member.name for member in large} - {member.name for member in small}
    moved = sum(before[chat] != after[chat] for chat in CHATS)
    unavoidable = sum(before[chat] in gone for chat in CHATS)
    return moved / unavoidable


@pytest.mark.parametrize("count", (6, 19, 76))
@pytest.mark.parametrize("policy", PLACING)
def test_join_and_leave_move_only_what_they_must(policy, count):
    large = pool(count)
    for left in range(0, count, max(1, count // 4)):
        small = Pool(large.name, [*large[:left], *large[left + 1 :]])
        assert moved_against_unavoidable(policy, small, large) <= 1.2


@pytest.mark.parametrize("policy", ELSEWHERE)
def test_baselines_move_more_than_they_must(policy):
    large = pool(19)
    assert moved_against_unavoidable(policy, Pool(large.name, large[1:]), large) > 1.2


def disagreement(policy, apart):
    large = pool(40)
    views = [View(chance=random.Random(seed)) for seed in (1, 2)]
    views[1].turn = 7
    one = first(policy, Pool(large.name, large[apart:]), views[0])
    two = first(policy, Pool(large.name, large[: len(large) - apart]), views[1])
    return sum(one[chat] != two[chat] for chat in CHATS) / len(CHATS)


@pytest.mark.parametrize("apart", (0, 1, 3))
@pytest.mark.parametrize("policy", PLACING)
def test_routers_with_different_lists_agree_on_all_but_the_difference(policy, apart):
    assert disagreement(policy, apart) <= 1.2 * 2 * apart / 40 + 0.02 * bool(apart)


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
    view = View(chance=random.Random(1), usable=lambda name: int(name[1:]) not in gone)
    view.loads.arrange({members.name: members.names})
    for member, work in zip(members, works, strict=False):
        view.loads.note(Load(member.name, work, 1, member.capacity, time=1.0))
    names = [e.name for e in policies[policy](Ask("c", prefix, 500.0, 1.0), members, view)]
    left = {member.name for member in members if view.usable(member.name)}
    assert len(names) == len(set(names))
    assert set(names) <= left and bool(names) == bool(left)


def full(view, members, names, work=1e6):
    view.loads.arrange({members.name: members.names})
    for member in members:
        held = work if member.name in names else 1000.0
        view.loads.note(Load(member.name, held, 1, member.capacity, time=1.0))


@pytest.mark.parametrize(
    "policy, passes", [("bounded", True), ("rendezvous", True), ("consistent", False)]
)
def test_an_endpoint_over_its_bound_is_passed(policy, passes):
    members, view = pool(10), View()
    home = next(policies["consistent"](Ask("c"), members, view)).name
    home = next(policies[policy](Ask("c"), members, view)).name
    full(view, members, {home})
    chosen = next(policies[policy](Ask("c", now=1.0), members, view)).name
    assert (chosen != home) is passes


def test_chats_with_a_shared_prefix_keep_to_a_few_endpoints():
    places = set(first("bounded", pool(40), prefix="dossier").values())
    assert len(places) == defaults.ENDPOINTS_PER_PREFIX


def test_a_hint_brings_a_chat_back_to_where_it_was():
    places = Places(limit=2)
    for chat, name in (("old", "e1"), ("c", "e3"), ("c", "e7"), ("d", "e2")):
        places.note(chat, name)
    assert places.get("old") == "" and len(places.entries) == 2
    members, view = pool(10), View(places=places)
    assert next(policies["hinted"](Ask("c"), members, view)).name == "e7"


@pytest.mark.parametrize("policy, all_near", [("zoned", True), ("near", True), ("bounded", False)])
def test_own_failure_domain_first(policy, all_near):
    members = Pool("m", [endpoint(n, domain="ab"[n % 2]) for n in range(12)])
    names = first(policy, members, View(failure_domain="b"), CHATS[:200]).values()
    assert all(members.names[name].failure_domain == "b" for name in names) is all_near
