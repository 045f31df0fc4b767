import re
from dataclasses import dataclass
from pathlib import Path

import hypothesis
import pytest

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, print_blob=True
)
hypothesis.settings.load_profile("ci")

ENTRY = re.compile(r"^(?P<test>[^|#]+)\|(?P<command>[^|]+)\|(?P<seen>[^|]+)\|(?P<issue>[^|]+)$")


@dataclass(frozen=True)
class KnownRed:
    """A test that fails because of a known bug.

    One whose `seen` begins with "flaky" fails in some runs only, and may pass.
    """

    test: str
    command: str
    seen: str
    issue: str

    @property
    def flaky(self):
        return self.seen.startswith("flaky")


def read_known_red(path):
    """Return the entries of KNOWN-RED.txt, lines ``test | command and seed | seen | issue``."""
    if not path.exists():
        return []
    entries = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        match = ENTRY.match(line)
        if match is None:
            raise pytest.UsageError(f"{path.name}:{number}: test | command | seen | issue")
        entries.append(KnownRed(**{key: text.strip() for key, text in match.groupdict().items()}))
    return entries


def pytest_configure(config):
    config.known_red = read_known_red(Path(config.rootpath) / "KNOWN-RED.txt")


def pytest_collection_modifyitems(config, items):
    by_name = {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    for entry in config.known_red:
        item = by_name.get(entry.test)
        if item is not None:
            reason = f"KNOWN-RED.txt, {entry.issue}: remove the entry when this test passes"
            item.add_marker(pytest.mark.xfail(strict=not entry.flaky, reason=reason))
        elif not selects_tests(config) and entry.test.partition("::")[0] in files:
            raise pytest.UsageError(f"KNOWN-RED.txt lists {entry.test}, which does not exist")


def selects_tests(config):
    """Return whether the command line selects individual tests."""
    picked = any("::" in argument for argument in config.args)
    return picked or config.option.keyword or config.option.markexpr


def pytest_terminal_summary(terminalreporter, config):
    if not config.known_red:
        return
    terminalreporter.section("known red")
    for entry in config.known_red:
        terminalreporter.line(f"{entry.test}: {entry.seen} ({entry.issue}; {entry.command})")
