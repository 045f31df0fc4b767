"""Reads ``rules.toml`` and validates its sections and keys against a schema."""

import math
import re
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from ..decisions.routing_policies import policies
from .inventory import COLUMNS, Faults, readers

FILE = "rules.toml"
METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")


@dataclass(frozen=True, slots=True)
class Key:
    """The validation of a key's value, and what to say if it fails (``must be ...``)."""

    test: Callable[[object], bool]
    words: str


def is_number(value: object) -> bool:
    """Return whether a value is a finite number."""
    kinds = (int, float)
    return isinstance(value, kinds) and not isinstance(value, bool) and math.isfinite(value)


def is_whole(value: object) -> bool:
    """Return whether a value is an integer; booleans are not."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_names(value: object) -> bool:
    """Return whether a value is a non-empty list of strings."""
    return isinstance(value, list) and bool(value) and all(isinstance(e, str) for e in value)


def is_columns(value: object) -> bool:
    """Return whether a value maps files to tables of column names."""
    return isinstance(value, dict) and all(
        isinstance(table, dict) and all(isinstance(name, str) for name in table.values())
        for table in value.values()
    )


TEXT = Key(lambda value: isinstance(value, str) and value != "", "a string")
NAMES = Key(is_names, "a non-empty list of strings")
POSITIVE = Key(lambda value: is_number(value) and value > 0, "a number greater than 0")
NOT_NEGATIVE = Key(lambda value: is_number(value) and value >= 0, "a number of at least 0")
OVER_ONE = Key(lambda value: is_number(value) and value > 1, "a number greater than 1")
WHOLE = Key(is_whole, "an integer")
PORT = Key(lambda value: is_whole(value) and 0 < value < 65536, "a port number from 1 to 65535")
PATH = Key(
    lambda value: isinstance(value, str) and value.startswith("/"), "a path that starts with /"
)
POLICY = Key(
    lambda value: isinstance(value, str) and value in policies,
    f"one of {', '.join(sorted(policies))}",
)
READER = Key(
    lambda value: isinstance(value, str) and value in readers,
    f"one of {', '.join(sorted(readers))}",
)
METHOD_NAMES = Key(
    lambda value: is_names(value) and set(value) <= set(METHODS),
    f"a non-empty list of methods out of {', '.join(METHODS)}",
)
FILE_COLUMNS = Key(is_columns, "a table of columns for each file")


@dataclass(frozen=True, slots=True)
class Section:
    """The schema of a section.

    :param many: whether it is an array of tables (``[[section]]``).
    """

    many: bool
    keys: dict[str, Key]
    required: tuple[str, ...] = ()


SECTIONS = {
    "fleet": Section(
        False,
        {
            "name": TEXT,
            "load_multiple": OVER_ONE,
            "load_floor": NOT_NEGATIVE,
            "policy": POLICY,
            "drain_grace": NOT_NEGATIVE,
            "sidecar_port": PORT,
        },
    ),
    "register": Section(False, {"reader": READER, "columns": FILE_COLUMNS}),
    "allow": Section(
        True,
        {"client_accounts": NAMES, "applications": NAMES, "models": NAMES},
        ("client_accounts",),
    ),
    "never_repeat": Section(
        True,
        {
            "application": TEXT,
            "methods": METHOD_NAMES,
            "path": PATH,
            "model": TEXT,
            "retention": POSITIVE,
        },
    ),
    "share": Section(
        True,
        {"client_accounts": NAMES, "weight": POSITIVE, "priority": WHOLE},
        ("client_accounts",),
    ),
}


@dataclass(frozen=True, slots=True)
class Rule:
    """One table of the rules.

    :param index: position among the tables of its section, from 0.
    """

    section: str
    index: int
    table: dict

    def get(self, key: str, default: object = None) -> object:
        """Return the value of a key, or `default`."""
        return self.table.get(key, default)


class Rules:
    """The validated rules, without values that are at fault.

    :param text: text of the file, from which positions of faults are taken.
    """

    def __init__(self, text: str, faults: Faults):
        self.text = text.splitlines()
        self.faults = faults
        self.sections: dict[str, list[Rule]] = {name: [] for name in SECTIONS}

    def one(self, section: str) -> Rule:
        """Return the table of a section that has at most one, or an empty table."""
        return (self.sections[section] or [Rule(section, 0, {})])[0]

    def fault(self, rule: Rule, key: str, text: str, word: str = "") -> None:
        """Add a fault of one key.

        :param word: list item that is at fault, if it is one.
        """
        place = self.place(rule, key, word)
        self.faults.add_file(f"{FILE}{place}", f"{rule.section}.{key}: {text}")

    def place(self, rule: Rule, key: str, word: str) -> str:
        """Return ``:line:column`` of a key or of a string in its value, each from 1.

        The TOML parser gives no positions, so the text is searched. A key that is not found gives
        the position of its table, a table that is not found an empty string.
        """
        head = re.compile(rf"\s*\[\[?\s*{rule.section}\s*[\].]")
        heads = [number for number, line in enumerate(self.text) if head.match(line)]
        if rule.index >= len(heads):
            return ""
        start = heads[rule.index]
        found = re.compile(rf"\s*[\"']?{re.escape(key)}[\"']?\s*=")
        for number in range(start + 1, len(self.text)):
            line = self.text[number]
            if line.lstrip().startswith("[") and (
                SECTIONS[rule.section].many or not head.match(line)
            ):
                break
            if found.match(self.text[number]):
                return self.word_place(number, word)
        return f":{start + 1}:1"

    def word_place(self, number: int, word: str) -> str:
        """Return the position of a quoted string from a line on, or of the start of that line."""
        for later in range(number, len(self.text) if word else number):
            for quote in "\"'":
                column = self.text[later].find(f"{quote}{word}{quote}")
                if column >= 0:
                    return f":{later + 1}:{column + 1}"
        line = self.text[number]
        return f":{number + 1}:{len(line) - len(line.lstrip()) + 1}"


def read_rules(directory: Path, faults: Faults) -> Rules:
    """Read and validate ``rules.toml``; faults are added to `faults`."""
    try:
        text = (directory / FILE).read_text(encoding="utf-8")
        tables = tomllib.loads(text)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as error:
        faults.add_file(FILE, str(error) or repr(error))
        return Rules("", faults)
    rules = Rules(text, faults)
    for name, content in tables.items():
        read_section(rules, name, content)
    check_columns(rules)
    return rules


def read_section(rules: Rules, name: str, content: object) -> None:
    """Validate one section and add its tables to the rules."""
    section = SECTIONS.get(name)
    if section is None:
        known = ", ".join(SECTIONS)
        rules.faults.add_file(FILE, f"{name}: unknown section; known: {known}")
        return
    tables = content if section.many else [content]
    if not isinstance(tables, list) or not all(isinstance(table, dict) for table in tables):
        form = f"[[{name}]]" if section.many else f"[{name}]"
        rules.faults.add_file(FILE, f"{name}: must be written as {form}")
        return
    for index, table in enumerate(tables):
        rules.sections[name].append(read_table(rules, Rule(name, index, table), section))


def read_table(rules: Rules, rule: Rule, section: Section) -> Rule:
    """Validate one table and return it without the keys that are at fault."""
    good = {}
    for key, value in rule.table.items():
        if key not in section.keys:
            rules.fault(rule, key, f"unknown key; known: {', '.join(section.keys)}")
        elif not section.keys[key].test(value):
            rules.fault(rule, key, f"must be {section.keys[key].words}")
        else:
            good[key] = value
    for key in section.required:
        if key not in rule.table:
            rules.fault(rule, key, "is required")
    return Rule(rule.section, rule.index, good)


def check_columns(rules: Rules) -> None:
    """Add faults for mapped files and columns that do not exist."""
    register = rules.one("register")
    for file, columns in register.get("columns", {}).items():
        if file not in COLUMNS:
            rules.fault(register, "columns", f"{file!r} must be one of {', '.join(COLUMNS)}")
            continue
        for column in columns:
            if column not in COLUMNS[file].all:
                known = ", ".join(COLUMNS[file].all)
                rules.fault(register, column, f"{file} has no column {column!r}; known: {known}")


def matching(rules: Rules, rule: Rule, key: str, known: set[str], noun: str) -> set[str]:
    """Return the names that a rule lists; ``*`` stands for all known ones.

    Names that are not known are added to the faults.
    """
    found: set[str] = set()
    for name in rule.get(key, []):
        if name == "*":
            found |= known
        elif name in known:
            found.add(name)
        else:
            rules.fault(rule, key, f"{noun} {name!r} is not in the inventory", name)
    return found
