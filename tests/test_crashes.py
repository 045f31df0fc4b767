import pytest
from minicheck import check_safety

from spec.crashes import crashes


def holds(variant, *more):
    return check_safety(crashes(variant, *more))["properties"]["at_most_two_endpoints"]["holds"]


@pytest.mark.parametrize("outages, sends", [(False, 4), (True, 3)])
def test_crashing_request_reaches_at_most_two_endpoints(outages, sends):
    assert holds("", outages, sends) is True


@pytest.mark.parametrize(
    "variant", ["never_read", "unlimited_trials", "no_sidecar_marks", "trial_anywhere"]
)
def test_model_detects_broken_protocols(variant):
    assert holds(variant) is False
