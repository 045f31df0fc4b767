import pytest

from hickorylever.decisions.suspects import Suspects, SuspectStatus, fingerprint

CASES = [
    ([], (), False, SuspectStatus.CLEAR),
    (["x"], (), False, SuspectStatus.SUSPECT),
    (["x"], (), True, SuspectStatus.REFUSED),
    (["x", "y"], (), False, SuspectStatus.REFUSED),
    (["x", "x"], (), False, SuspectStatus.SUSPECT),
    (["x"], ("x",), False, SuspectStatus.CLEAR),
    (["x", "y"], ("x",), False, SuspectStatus.SUSPECT),
    ([], (), True, SuspectStatus.CLEAR),
]


@pytest.mark.parametrize("crashes, cleared, trial, status", CASES)
def test_standing(crashes, cleared, trial, status):
    suspects = Suspects(10.0)
    for name in crashes:
        suspects.record_crash(name, ["f"], 0.0)
    if cleared:
        suspects.clear("f", cleared)
    if trial:
        suspects.begin_trial("f", 0.0)
    assert suspects.status("f", 10.0) is status
    suspects.expire(10.1)
    assert suspects.status("f", 10.1) is SuspectStatus.CLEAR and not suspects.records


def test_fingerprint_depends_on_piece_boundaries():
    assert fingerprint([b"ab", b"c"]) != fingerprint([b"a", b"bc"])
    assert fingerprint([b"ab", b"c"]) == fingerprint([b"ab", b"c"])
