import dataclasses
from collections import Counter

import pytest

from hickorylever.bench import routing
from hickorylever.bench.serving import Ways
from hickorylever.bench.workloads import REYKJANES, STOYANOV, add_surge, make_requests

SMALL = dataclasses.replace(REYKJANES, seconds=20.0)


def run_bench(policy, shape=SMALL, seed=1, **more):
    requests = make_requests(shape, seed, routing.LENGTHS)
    return routing.run(shape, Ways(policy, policy, **more), requests, seed)


@pytest.mark.parametrize(
    "policy, bounded, holds", [("bounded", True, True), ("consistent", False, False)]
)
def test_load_bound_holds_only_if_enforced(policy, bounded, holds):
    assert (run_bench(policy, bounded=bounded).broken == 0) is holds


def test_same_seed_gives_same_result():
    assert run_bench("bounded") == run_bench("bounded")


def chat_and_prefix(request):
    return request.identity.chat, request.identity.prefixes


def test_workload_shape():
    requests = make_requests(SMALL, 1, routing.LENGTHS)
    assert 0.7 < len(requests) / (SMALL.rate * SMALL.seconds) < 1.3
    dossiers = make_requests(dataclasses.replace(STOYANOV, seconds=900.0), 1, routing.LENGTHS)
    sharing = Counter(prefix for _, prefix in {chat_and_prefix(entry) for entry in dossiers})
    assert max(sharing.values()) == STOYANOV.sharers
    with_surge = add_surge(SMALL, requests, 20.0)
    assert len(with_surge) > len(requests)
    assert {request.account for request in with_surge} == {request.account for request in requests}
