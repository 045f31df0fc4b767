from collections import Counter

from test_routing_policies import CHATS, endpoint, pool

from hickorylever.decisions.pools import Pool, load_groups, make_pools, peer_group
from hickorylever.records import Endpoint


def test_shares_follow_capacity():
    members = Pool("m", [endpoint(n, capacity=4 if n % 2 else 8) for n in range(8)])
    chosen = Counter(next(members.walk(chat)).capacity for chat in CHATS)
    assert 1.6 < chosen[8] / chosen[4] < 2.5


def test_unchanged_pools_keep_their_ring():
    existing = make_pools("model", {"m": pool(3).endpoints, "n": pool(2).endpoints}, {})
    again = make_pools("model", {"m": pool(3).endpoints, "n": pool(4).endpoints}, existing)
    assert again["m"] is existing["m"] and again["n"] is not existing["n"]


def test_a_sidecar_tracks_the_mean_of_endpoints_that_share_its_models():
    def serving(name, *models):
        return Endpoint(name, f"vm-{name}", "", 1, 1, "llm", "r", "a", 1, models)

    listed = (serving("one", "a", "b"), serving("two", "b"), serving("three", "c"))
    groups = load_groups([Pool("application llm", listed)], "vm-two")
    assert groups == {
        "application llm": ("one", "two", "three"),
        peer_group(listed[1]): ("one", "two"),
    }
