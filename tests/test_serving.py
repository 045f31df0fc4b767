import dataclasses
from collections import Counter

import pytest

from hickorylever.bench import routing
from hickorylever.bench.serving import Variant
from hickorylever.bench.workloads import REYKJANES, STOYANOV, add_surge, make_requests

SMALL = dataclasses.replace(REYKJANES, seconds=20.0)


def run_bench(policy, workload=SMALL, seed=1, **options):
    requests = make_requests(workload, seed, routing.PREFIX_LENGTHS_BLOCKS)
    return routing.run(workload, Variant(policy, policy, **options), requests, seed)


@pytest.mark.parametrize(
    "policy, bounded, holds", [("bounded", True, True), ("consistent", False, False)]
)
def test_load_bound_holds_only_if_enforced(policy, bounded, holds):
    assert (run_bench(policy, bounded=bounded).bound_violations == 0) is holds


def test_same_seed_gives_same_result():
    assert run_bench("bounded") == run_bench("bounded")


def chat_and_prefix(request):
    return request.identity.chat, request.identity.prefixes


def test_workload_shape():
    requests = make_requests(SMALL, 1, routing.PREFIX_LENGTHS_BLOCKS)
    assert 0.7 < len(requests) / (SMALL.requests_per_second * SMALL.seconds) < 1.3
    with_documents = make_requests(
        dataclasses.replace(STOYANOV, seconds=900.0), 1, routing.PREFIX_LENGTHS_BLOCKS
    )
    sharing = Counter(prefix for _, prefix in {chat_and_prefix(entry) for entry in with_documents})
    assert max(sharing.values()) == STOYANOV.chats_per_document
    surged = add_surge(SMALL, requests, 20.0)
    assert len(surged) > len(requests)
    assert {request.account for request in surged} == {request.account for request in requests}
