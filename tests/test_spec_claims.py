import pytest
from minicheck import check_safety

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
    result = check_safety(model())
    print(f"{model.__name__}: {result['reachable_states']} states")
    assert result["exhaustive"]
    assert all(entry["holds"] is True for entry in result["properties"].values())


@pytest.mark.parametrize("model, variant", BROKEN_VARIANTS)
def test_broken_variant_has_a_counterexample(model, variant):
    properties = check_safety(model(variant), max_states=15_000)["properties"].values()
    assert any(entry["holds"] is False for entry in properties)
