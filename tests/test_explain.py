from pathlib import Path

import pytest

from hickorylever.cli import main
from hickorylever.fleet.explain import Explainer, Question

REYKJANES = Path(__file__).parent.parent / "examples" / "reykjanes"
MODEL = "malthjonn-7b"

CASES = [
    (("nobody", MODEL), ["no client account 'nobody'", "unauthenticated (401)"]),
    (("harbour", "none"), ["no line serves model none", "not_found (404)"]),
    (("harbour", MODEL), ["client_accounts.csv:11: client account harbour", "malthjonn-6"]),
    (
        ("vogar-counter", MODEL),
        ["weight 2, priority 1", "rules.toml:5: no endpoint takes it above 1.25"],
    ),
    (("harbour", "", "/bokhald/x"), ["no [[allow]] rule gives harbour bokhald", "forbidden"]),
    (("town-office", "", "/bokhald/postings"), ["rules.toml:18", "must never repeat"]),
    (("town-office", "", "/bokhald/postings", "GET"), ["no [[never_repeat]] rule covers it"]),
    (("town-office", "", "/nowhere"), ["no path is a prefix of /nowhere"]),
]


@pytest.mark.parametrize("question, texts", CASES)
def test_explanation_contains_outcome_and_location(question, texts):
    explanation = "\n".join(Explainer(REYKJANES).explain(Question(*question)))
    for text in texts:
        assert text in explanation, explanation


def test_named_lines_exist():
    for question, _ in CASES:
        for sentence in Explainer(REYKJANES).explain(Question(*question)):
            file, _, rest = sentence.partition(":")
            number = rest.partition(":")[0]
            if number.isdecimal():
                lines = (REYKJANES / file).read_text().splitlines()
                assert lines[int(number) - 1].strip(), sentence


def test_explain_command(capsys):
    assert not main(["explain", str(REYKJANES), "--account", "harbour", "--model", MODEL])
    assert "may use malthjonn-7b" in capsys.readouterr().out
