import dataclasses
import re
from pathlib import Path

import msgspec
import pytest

from hickorylever.events import Event
from hickorylever.exceptions import PROBLEM_TYPES
from hickorylever.settings import TYPE_NAMES, Settings

ROOT = Path(__file__).parent.parent
LINK = re.compile(r"\]\(([^)#:]+)[^)]*\)")


def rows(page):
    """Return the cells of the last table of a page, without the header row."""
    lines = (ROOT / "docs" / page).read_text().splitlines()
    table = [line for line in lines if line.startswith("|")]
    rule = max(number for number, line in enumerate(table) if set(line) <= set("|-"))
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in table[rule + 1 :]]


def default(field):
    if field.default is dataclasses.MISSING:
        return "required"
    return msgspec.json.encode(field.default).decode()


EXPECTED = {
    "EVENTS.md": [[str(int(event)), event.name.lower()] for event in Event],
    "ERRORS.md": [
        [kind.value, str(a.status), a.title, a.advice.value, str(a.retry_after or "")]
        for kind, a in PROBLEM_TYPES.items()
    ],
    "SETTINGS.md": [
        [field.name, TYPE_NAMES[field.type], default(field)]
        for field in dataclasses.fields(Settings)
    ],
}


@pytest.mark.parametrize("page", EXPECTED)
def test_page_matches_the_code(page):
    found = rows(page)
    assert all(row[-1] for row in found) or page == "ERRORS.md"
    width = len(EXPECTED[page][0])
    assert sorted(row[:width] for row in found) == sorted(EXPECTED[page])


@pytest.mark.parametrize(
    "page", sorted(ROOT.glob("*.md")) + sorted(ROOT.glob("docs/*.md")), ids=str
)
def test_link_targets_exist(page):
    targets = LINK.findall(page.read_text())
    assert [target for target in targets if not (page.parent / target).exists()] == []
