import pytest

from hickorylever.decisions.suspects import Standing, Suspects, fingerprint

CASES = [
    ([], (), False, Standing.CLEAR),
    (["x"], (), False, Standing.SUSPECT),
    (["x"], (), True, Standing.REFUSED),
    (["x", "y"], (), False, Standing.REFUSED),
    (["x", "x"], (), False, Standing.SUSPECT),
    (["x"], ("x",), False, Standing.CLEAR),
    (["x", "y"], ("x",), False, Standing.SUSPECT),
    ([], (), True, Standing.CLEAR),
]


@pytest.mark.parametrize("crashes, cleared, trial, standing", CASES)
def test_standing(crashes, cleared, trial, standing):
    suspects = Suspects(10.0)
    for name in crashes:
        suspects.crash(name, ["f"], 0.0)
    if cleared:
        suspects.clear("f", cleared)
    if trial:
        suspects.begin_trial("f", 0.0)
    assert suspects.standing("f", 10.0) is standing
    suspects.expire(10.1)
    assert suspects.standing("f", 10.1) is Standing.CLEAR and not suspects.records


def test_fingerprints_tell_pieces_apart():
    assert fingerprint([b"ab", b"c"]) != fingerprint([b"a", b"bc"])
    assert fingerprint([b"ab", b"c"]) == fingerprint([b"ab", b"c"])
