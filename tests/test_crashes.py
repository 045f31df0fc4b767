import pytest
from minicheck import check_safety

from spec.crashes import crashes


def holds(variant, *more):
    return check_safety(crashes(variant, *more))["properties"]["at_most_two_endpoints"]["holds"]


@pytest.mark.parametrize("outages, sends", [(False, 4), (True, 3)])
def test_a_crashing_request_reaches_two_endpoints_in_any_order_of_resends(outages, sends):
    assert holds("", outages, sends) is True


@pytest.mark.parametrize("variant", ["never_read", "free_trial", "forgetful", "trial_anywhere"])
def test_broken_protocols_are_caught(variant):
    assert holds(variant) is False
