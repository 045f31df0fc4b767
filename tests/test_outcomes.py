import pytest

from hickorylever.decisions.outcomes import Facts
from hickorylever.exceptions import Ran

CASES = [
    (Facts(), Ran.NO),
    (Facts(addressed=True), Ran.NO),
    (Facts(handed_over=True), Ran.NO),
    (Facts(addressed=True, handed_over=True), Ran.UNKNOWN),
    (Facts(True, True, Ran.NO), Ran.NO),
    (Facts(True, True, Ran.YES), Ran.YES),
    (Facts(True, True, Ran.UNKNOWN), Ran.UNKNOWN),
]


@pytest.mark.parametrize("facts, ran", CASES)
def test_no_is_claimed_only_as_a_fact(facts, ran):
    assert facts.ran() is ran
