"""Readers of the asset register's files, and the faults found in a fleet directory."""

import csv
import io
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from ..exceptions import FleetError
from ..registry import Registry

Row = dict[str, str]
Reader = Callable[[str], Iterator[tuple[int, Row]]]
readers: Registry[Reader] = Registry("inventory reader")

SURPLUS = "\0surplus"
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
TRUTHS = {"": False, "no": False, "false": False, "0": False, "yes": True, "true": True, "1": True}


@dataclass(frozen=True, slots=True)
class Columns:
    """Columns of one file: those that it must have, and those that it may have."""

    required: tuple[str, ...]
    optional: tuple[str, ...] = ()

    @property
    def all(self) -> tuple[str, ...]:
        """Return every column."""
        return self.required + self.optional


COLUMNS = {
    "vms.csv": Columns(("vm", "address", "region", "failure_domain", "role")),
    "model_servers.csv": Columns(
        ("server", "vm", "port", "application", "models"),
        ("accelerators", "version", "adapters", "engine_role", "obeys_fencing"),
    ),
    "applications.csv": Columns(("application", "kind", "path", "vms", "port")),
    "client_accounts.csv": Columns(("client_account", "key_sha256")),
}


@dataclass(frozen=True, slots=True)
class Line:
    """One row of a file with the number of its last line."""

    file: str
    number: int
    row: Row

    def __getitem__(self, column: str) -> str:
        return (self.row.get(column) or "").strip()


@dataclass(slots=True)
class Faults:
    """Collects every fault, so that they are reported together."""

    lines: list[str] = field(default_factory=list)

    def add(self, line: Line, column: str, text: str) -> None:
        """Note a fault of one cell."""
        self.lines.append(f"{line.file}:{line.number}: {column}: {text}")

    def add_file(self, file: str, text: str) -> None:
        """Note a fault of a whole file or of a place within it."""
        self.lines.append(f"{file}: {text}")

    def check(self) -> None:
        """Raise :exc:`FleetError` when there is any fault."""
        if self.lines:
            raise FleetError(self.lines)


def read_delimited(text: str, delimiter: str) -> Iterator[tuple[int, Row]]:
    """Yield line number and row of delimited values with a head line.

    :raises csv.Error: when the text is malformed.
    """
    source = io.StringIO(text, newline="")
    reader = csv.DictReader(source, restkey=SURPLUS, restval="", delimiter=delimiter, strict=True)
    for row in reader:
        yield reader.line_num, row


@readers.register("csv")
def read_csv(text: str) -> Iterator[tuple[int, Row]]:
    """Read comma-separated values."""
    return read_delimited(text, ",")


@readers.register("semicolon")
def read_semicolon(text: str) -> Iterator[tuple[int, Row]]:
    """Read values separated by semicolons, as some registers export them."""
    return read_delimited(text, ";")


@readers.register("tab")
def read_tab(text: str) -> Iterator[tuple[int, Row]]:
    """Read values separated by tabs."""
    return read_delimited(text, "\t")


def read_file(directory: Path, file: str, register: dict, faults: Faults) -> list[Line]:
    """Read one file of the inventory.

    :param register: the rules' ``[register]`` table: ``reader`` and ``columns`` (ours -> theirs).
    """
    try:
        text = (directory / file).read_text(encoding="utf-8-sig")
        rows = list(readers[register.get("reader", "csv")](text))
    except (OSError, UnicodeDecodeError, csv.Error) as error:
        faults.add_file(file, str(error))
        return []
    theirs = register.get("columns", {}).get(file, {})
    check_head(file, text, rows, theirs, faults)
    lines = []
    for number, row in rows:
        line = Line(file, number, rename(row, theirs))
        if SURPLUS in row:
            faults.add(line, "row", "has more cells than the head line")
        lines.append(line)
    return lines


def rename(row: Row, theirs: dict[str, str]) -> Row:
    """Return a row under our column names."""
    return {**row, **{ours: row.get(name, "") for ours, name in theirs.items()}}


def check_head(file: str, text: str, rows: list, theirs: dict[str, str], faults: Faults) -> None:
    """Note columns that are missing or stand twice."""
    if not text.strip():
        faults.add_file(f"{file}:1", "is empty; it needs a head line")
        return
    if not rows:
        return
    present = set(rows[0][1])
    for column in COLUMNS[file].required:
        name = theirs.get(column, column)
        if name not in present:
            mapped = "" if name == column else f" (for {column}, by register.columns)"
            faults.add_file(f"{file}:1", f"column {name} is missing{mapped}")
    for column, name in theirs.items():
        if column not in COLUMNS[file].required and name not in present:
            faults.add_file(f"{file}:1", f"column {name} is missing (for {column})")


def split(text: str) -> tuple[str, ...]:
    """Return the words of a cell that are separated by ``;``."""
    return tuple(word.strip() for word in text.split(";") if word.strip())


def read_name(line: Line, column: str, taken: dict, faults: Faults) -> str:
    """Return a cell as the name of a new object."""
    name = line[column]
    if not name:
        faults.add(line, column, "is empty")
    elif not NAME.fullmatch(name):
        faults.add(line, column, f"{name!r} must be 1 to 64 of A-Z a-z 0-9 . _ -")
    elif name in taken:
        faults.add(line, column, f"{name!r} stands twice")
    return name


def read_choice(line: Line, column: str, choices: tuple[str, ...], faults: Faults) -> str:
    """Return a cell as one of several words."""
    word = line[column]
    if word not in choices:
        faults.add(line, column, f"{word!r} must be one of {', '.join(filter(None, choices))}")
    return word


def read_truth(line: Line, column: str, faults: Faults) -> bool:
    """Return a cell as yes or no; empty is no."""
    word = line[column].lower()
    if word not in TRUTHS:
        faults.add(line, column, f"{word!r} must be yes or no")
    return TRUTHS.get(word, False)


def read_count(line: Line, column: str, highest: int, faults: Faults, empty: str = "") -> int:
    """Return a cell as a whole number from 1 to `highest`."""
    text = line[column] or empty
    if text.isascii() and text.isdecimal() and 1 <= int(text[:10]) <= highest:
        return int(text)
    faults.add(line, column, f"{text!r} must be a whole number from 1 to {highest}")
    return 1
