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
class KeySchema:
    """The validation of a key's value, and what to say if it fails (``must be ...``)."""

    is_valid: Callable[[object], bool]
    expected: str


def is_number(value: object) -> bool:
    """Return whether a value is a finite number."""
    types = (int, float)
    return isinstance(value, types) and not isinstance(value, bool) and math.isfinite(value)


def is_integer(value: object) -> bool:
    """Return whether a value is an integer; booleans are not."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_string_list(value: object) -> bool:
    """Return whether a value is a non-empty list of strings."""
    return isinstance(value, list) and bool(value) and all(isinstance(e, str) for e in value)


def is_column_map(value: object) -> bool:
    """Return whether a value maps files to tables of column names."""
    return isinstance(value, dict) and all(
        isinstance(table, dict) and all(isinstance(name, str) for name in table.values())
        for table in value.values()
    )


TEXT = KeySchema(lambda value: isinstance(value, str) and value != "", "a string")
STRING_LIST = KeySchema(is_string_list, "a non-empty list of strings")
POSITIVE = KeySchema(lambda value: is_number(value) and value > 0, "a number greater than 0")
NOT_NEGATIVE = KeySchema(lambda value: is_number(value) and value >= 0, "a number of at least 0")
GREATER_THAN_ONE = KeySchema(
    lambda value: is_number(value) and value > 1, "a number greater than 1"
)
INTEGER = KeySchema(is_integer, "an integer")
PORT = KeySchema(
    lambda value: is_integer(value) and 0 < value < 65536, "a port number from 1 to 65535"
)
PATH = KeySchema(
    lambda value: isinstance(value, str) and value.startswith("/"), "a path that starts with /"
)
POLICY = KeySchema(
    lambda value: isinstance(value, str) and value in policies,
    f"one of {', '.join(sorted(policies))}",
)
READER = KeySchema(
    lambda value: isinstance(value, str) and value in readers,
    f"one of {', '.join(sorted(readers))}",
)
METHOD_LIST = KeySchema(
    lambda value: is_string_list(value) and set(value) <= set(METHODS),
    f"a non-empty list of methods out of {', '.join(METHODS)}",
)
COLUMN_MAP = KeySchema(is_column_map, "a table of columns for each file")


@dataclass(frozen=True, slots=True)
class SectionSchema:
    """The schema of a section.

    :param is_array: whether it is an array of tables (``[[section]]``).
    """

    is_array: bool
    keys: dict[str, KeySchema]
    required: tuple[str, ...] = ()


SECTIONS = {
    "fleet": SectionSchema(
        False,
        {
            "name": TEXT,
            "load_multiple": GREATER_THAN_ONE,
            "load_floor": NOT_NEGATIVE,
            "policy": POLICY,
            "drain_grace": NOT_NEGATIVE,
            "sidecar_port": PORT,
        },
    ),
    "register": SectionSchema(False, {"reader": READER, "columns": COLUMN_MAP}),
    "allow": SectionSchema(
        True,
        {"client_accounts": STRING_LIST, "applications": STRING_LIST, "models": STRING_LIST},
        ("client_accounts",),
    ),
    "never_repeat": SectionSchema(
        True,
        {
            "application": TEXT,
            "methods": METHOD_LIST,
            "path": PATH,
            "model": TEXT,
            "retention": POSITIVE,
        },
    ),
    "share": SectionSchema(
        True,
        {"client_accounts": STRING_LIST, "weight": POSITIVE, "priority": INTEGER},
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

    :param text: text of the file, in which positions of faults are searched.
    """

    def __init__(self, text: str, faults: Faults):
        self.lines = text.splitlines()
        self.faults = faults
        self.sections: dict[str, list[Rule]] = {name: [] for name in SECTIONS}

    def single(self, section: str) -> Rule:
        """Return the table of a section that has at most one, or an empty table."""
        return (self.sections[section] or [Rule(section, 0, {})])[0]

    def add_fault(self, rule: Rule, key: str, text: str, item: str = "") -> None:
        """Add a fault of one key.

        :param item: list item that is at fault, if it is one.
        """
        position = self.position(rule, key, item)
        self.faults.add_file(f"{FILE}{position}", f"{rule.section}.{key}: {text}")

    def position(self, rule: Rule, key: str, item: str) -> str:
        """Return ``:line:column`` of a key or of a string in its value, each from 1.

        The TOML parser gives no positions, so the text is searched. A key that is not found gives
        the position of its table, a table that is not found an empty string.
        """
        header = re.compile(rf"\s*\[\[?\s*{rule.section}\s*[\].]")
        headers = [number for number, line in enumerate(self.lines) if header.match(line)]
        if rule.index >= len(headers):
            return ""
        start = headers[rule.index]
        pattern = re.compile(rf"\s*[\"']?{re.escape(key)}[\"']?\s*=")
        for number in range(start + 1, len(self.lines)):
            line = self.lines[number]
            if line.lstrip().startswith("[") and (
                SECTIONS[rule.section].is_array or not header.match(line)
            ):
                break
            if pattern.match(self.lines[number]):
                return self.item_position(number, item)
        return f":{start + 1}:1"

    def item_position(self, number: int, item: str) -> str:
        """Return the position of a quoted string from a line on, or of the start of that line."""
        for line_index in range(number, len(self.lines) if item else number):
            for quote in "\"'":
                column = self.lines[line_index].find(f"{quote}{item}{quote}")
                if column >= 0:
                    return f":{line_index + 1}:{column + 1}"
        line = self.lines[number]
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
    tables = content if section.is_array else [content]
    if not isinstance(tables, list) or not all(isinstance(table, dict) for table in tables):
        form = f"[[{name}]]" if section.is_array else f"[{name}]"
        rules.faults.add_file(FILE, f"{name}: must be written as {form}")
        return
    for index, table in enumerate(tables):
        rules.sections[name].append(read_table(rules, Rule(name, index, table), section))


def read_table(rules: Rules, rule: Rule, section: SectionSchema) -> Rule:
    """Validate one table and return it without the keys that are at fault."""
    valid = {}
    for key, value in rule.table.items():
        if key not in section.keys:
            rules.add_fault(rule, key, f"unknown key; known: {', '.join(section.keys)}")
        elif not section.keys[key].is_valid(value):
            rules.add_fault(rule, key, f"must be {section.keys[key].expected}")
        else:
            valid[key] = value
    for key in section.required:
        if key not in rule.table:
            rules.add_fault(rule, key, "is required")
    return Rule(rule.section, rule.index, valid)


def check_columns(rules: Rules) -> None:
    """Add faults for mapped files and columns that do not exist."""
    register = rules.single("register")
    for file, columns in register.get("columns", {}).items():
        if file not in COLUMNS:
            rules.add_fault(register, "columns", f"{file!r} must be one of {', '.join(COLUMNS)}")
            continue
        for column in columns:
            if column not in COLUMNS[file].all:
                known = ", ".join(COLUMNS[file].all)
                rules.add_fault(
                    register, column, f"{file} has no column {column!r}; known: {known}"
                )


def match_names(rules: Rules, rule: Rule, key: str, known: set[str], noun: str) -> set[str]:
    """Return the names that a rule lists; ``*`` stands for all known ones.

    Names that are not known are added to the faults.
    """
    names: set[str] = set()
    for name in rule.get(key, []):
        if name == "*":
            names |= known
        elif name in known:
            names.add(name)
        else:
            rules.add_fault(rule, key, f"{noun} {name!r} is not in the inventory", name)
    return names
