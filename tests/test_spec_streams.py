import random

import pytest
from models import assert_holds, refuted

from hickorylever.direct.versions import VersionHistory, VersionUpdate
from spec.streams import Router, State, possible, streams, transitions

WALK_COUNT = 1000
MAX_STATES = 2_000_000


@pytest.mark.parametrize("together", [False, True])
def test_invariants_hold(together):
    assert_holds(streams(together=together), max_states=MAX_STATES)


@pytest.mark.parametrize(
    "variant",
    [
        "any_version",
        "only_present",
        "no_contact",
        "no_completeness",
        "no_facts",
        "mixed_only",
        "trust_empty_store",
        "no_store_wait",
        "no_gap",
        "no_wait",
        "told_at_dispatch",
    ],
)
def test_broken_variant_has_a_counterexample(variant):
    assert "one_version" in refuted(streams(variant), max_states=MAX_STATES)


@pytest.mark.parametrize(
    ("variant", "invariant"),
    [
        ("mixed_only", "one_version"),
        ("trust_empty_store", "one_version"),
        ("stored_at_dispatch", "one_version"),
        ("stored_present", "one_version"),
        ("complete_before_load", "none_needlessly_rejected"),
    ],
)
def test_broken_record_has_a_counterexample_after_the_end_of_all_routers(variant, invariant):
    broken = streams(variant, together=True)
    assert invariant in refuted(broken, max_states=MAX_STATES)


def named(versions):
    return frozenset(f"v{version}" for version in versions)


def test_the_program_remembers_versions_like_the_model():
    """Random walks; a router's history of versions learns what the model's router learns."""
    rng = random.Random(1)
    compared = 0
    for _ in range(WALK_COUNT):
        values = tuple(State())
        history = VersionHistory()
        history.observe({"s": frozenset({"v1"})}, 0.0)
        for now in range(rng.randrange(5, 30)):
            facts = State(*values).facts
            label, values = rng.choice(transitions(values))
            router = Router(*State(*values).routers[0])
            if label == "start 0":
                history = VersionHistory()
            if label in ("start 0", "learn 0"):
                history.observe({"s": named(router.present)}, float(now))
            if label == "list 0":
                history.add([VersionUpdate("s", name) for name in named(facts)], float(now))
            if router.alive:
                assert history.possible("s", float(now)) == named(possible(router))
                compared += 1
    assert compared > WALK_COUNT
