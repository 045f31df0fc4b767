import random

import pytest
from models import assert_holds, refuted

from hickorylever.direct.position import (
    NO_CONFIGURATION,
    ConfigurationState,
    Decision,
    Position,
    decide,
)
from spec.positions import NOTHING, Offer, State, positions, read_offer, receive, transitions

WALK_COUNT = 2000
MAX_STATES = 2_000_000


def test_invariants_hold():
    assert_holds(positions(), max_states=MAX_STATES)


@pytest.mark.parametrize(
    "variant", ["revision_only", "arrival_order", "no_hold", "hold_forgotten"]
)
def test_broken_variant_has_a_counterexample(variant):
    assert refuted(positions(variant), max_states=MAX_STATES)


def to_state(offer):
    return ConfigurationState(offer.version, Position(*offer.written), Position(*offer.seen))


def receive_by_program(current, offered):
    """Return what the program has in force after an offer."""
    decision = decide(current, offered)
    if decision is Decision.HOLD:
        return ConfigurationState(current.version, current.written, offered.seen)
    return offered if decision is Decision.APPLY else current


def test_the_program_decides_like_the_model():
    """Random walks; each offer that a router meets is decided by both."""
    rng = random.Random(1)
    decided = 0
    for _ in range(WALK_COUNT):
        state = State()
        for _ in range(rng.randrange(5, 25)):
            offers = [read_offer(state), state.delayed, *state.routers]
            for current in state.routers:
                for offered in offers:
                    if offered == NOTHING:
                        continue
                    expected = receive(current, offered)
                    known = NO_CONFIGURATION if current == NOTHING else to_state(current)
                    assert receive_by_program(known, to_state(offered)) == to_state(expected)
                    decided += 1
            state = State(*rng.choice(transitions(tuple(state)))[1])
            state = state._replace(
                delayed=Offer(*state.delayed), routers=tuple(Offer(*o) for o in state.routers)
            )
    assert decided > WALK_COUNT
