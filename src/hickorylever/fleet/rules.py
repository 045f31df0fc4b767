"""Reads ``rules.toml``: every section and key is checked against a table."""

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
    """What a key's value must be, as a test and in words."""

    test: Callable[[object], bool]
    words: str


def is_number(value: object) -> bool:
    """Tell whether a value is a finite number."""
    kinds = (int, float)
    return isinstance(value, kinds) and not isinstance(value, bool) and math.isfinite(value)


def is_whole(value: object) -> bool:
    """Tell whether a value is a whole number."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_names(value: object) -> bool:
    """Tell whether a value is a list of strings with at least one."""
    return isinstance(value, list) and bool(value) and all(isinstance(e, str) for e in value)


def is_columns(value: object) -> bool:
    """Tell whether a value maps files to tables of columns."""
    return isinstance(value, dict) and all(
        isinstance(table, dict) and all(isinstance(name, str) for name in table.values())
        for table in value.values()
    )


TEXT = Key(lambda value: isinstance(value, str) and value != "", "a string")
NAMES = Key(is_names, "a list of strings")
POSITIVE = Key(lambda value: is_number(value) and value > 0, "a number over 0")
NOT_NEGATIVE = Key(lambda value: is_number(value) and value >= 0, "a number from 0")
OVER_ONE = Key(lambda value: is_number(value) and value > 1, "a number over 1")
WHOLE = Key(is_whole, "a whole number")
PORT = Key(lambda value: is_whole(value) and 0 < value < 65536, "a port number")
PATH = Key(lambda value: isinstance(value, str) and value.startswith("/"), "a path that starts /")
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
    f"a list of {', '.join(METHODS)}",
)
FILE_COLUMNS = Key(is_columns, "a table of columns for each file")


@dataclass(frozen=True, slots=True)
class Section:
    """Keys of a section; `many` sections are lists of tables."""

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
    """One table of the rules, with its place in the file."""

    section: str
    index: int
    table: dict

    def get(self, key: str, default: object = None) -> object:
        """Return a key's value."""
        return self.table.get(key, default)


class Rules:
    """The checked rules; values that are at fault are left out.

    :param text: the file's text, for the places of faults.
    """

    def __init__(self, text: str, faults: Faults):
        self.text = text.splitlines()
        self.faults = faults
        self.sections: dict[str, list[Rule]] = {name: [] for name in SECTIONS}

    def one(self, section: str) -> Rule:
        """Return the only table of a section, maybe an empty one."""
        return (self.sections[section] or [Rule(section, 0, {})])[0]

    def fault(self, rule: Rule, key: str, text: str, word: str = "") -> None:
        """Note a fault of one key.

        :param word: the item of a list that is at fault.
        """
        place = self.place(rule, key, word)
        self.faults.add_file(f"{FILE}{place}", f"{rule.section}.{key}: {text}")

    def place(self, rule: Rule, key: str, word: str) -> str:
        """Return ``:line:column`` of a key, or of a word of its value."""
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
        """Return the place of a quoted word from a line on, or of the line's first character."""
        for later in range(number, len(self.text) if word else number):
            for quote in "\"'":
                column = self.text[later].find(f"{quote}{word}{quote}")
                if column >= 0:
                    return f":{later + 1}:{column + 1}"
        line = self.text[number]
        return f":{number + 1}:{len(line) - len(line.lstrip()) + 1}"


def read_rules(directory: Path, faults: Faults) -> Rules:
    """Read and check ``rules.toml``."""
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
    """Check one section and keep its tables."""
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
    """Check one table and return it without the keys that are at fault."""
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
    """Note mapped files and columns that do not exist."""
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
    """Return the known names that a rule lists; ``*`` is all of them."""
    found: set[str] = set()
    for name in rule.get(key, []):
        if name == "*":
            found |= known
        elif name in known:
            found.add(name)
        else:
            rules.fault(rule, key, f"{noun} {name!r} is not in the inventory", name)
    return found
