import pytest
from models import assert_holds, refuted

from spec.claims import claims
from spec.drain import drain

BROKEN_VARIANTS = [
    (claims, "blind_write"),
    (claims, "reply_means_stored"),
    (claims, "no_tombstone"),
    (claims, "gone_is_not_run"),
    (drain, "no_wait"),
    (drain, "streams_only"),
    (drain, "admits_while_draining"),
]


@pytest.mark.parametrize("model", [claims, drain])
def test_invariants_hold(model):
    assert_holds(model())


@pytest.mark.parametrize("model, variant", BROKEN_VARIANTS)
def test_broken_variant_has_a_counterexample(model, variant):
    assert refuted(model(variant), max_states=15_000)
