import pytest

from hickorylever.decisions.outcomes import ExecutionEvidence
from hickorylever.exceptions import Ran

CASES = [
    (ExecutionEvidence(), Ran.NO),
    (ExecutionEvidence(addressed=True), Ran.NO),
    (ExecutionEvidence(handed_over=True), Ran.NO),
    (ExecutionEvidence(addressed=True, handed_over=True), Ran.UNKNOWN),
    (ExecutionEvidence(True, True, Ran.NO), Ran.NO),
    (ExecutionEvidence(True, True, Ran.YES), Ran.YES),
    (ExecutionEvidence(True, True, Ran.UNKNOWN), Ran.UNKNOWN),
]


@pytest.mark.parametrize("facts, ran", CASES)
def test_not_run_is_reported_only_with_evidence(facts, ran):
    assert facts.ran() is ran
