"""Reads the inventory's files and collects the faults found in a fleet directory."""

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

EXTRA_CELLS = "\0surplus"
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
BOOLEANS = {
    "": False,
    "no": False,
    "false": False,
    "0": False,
    "yes": True,
    "true": True,
    "1": True,
}


@dataclass(frozen=True, slots=True)
class Columns:
    """Required and optional columns of one file."""

    required: tuple[str, ...]
    optional: tuple[str, ...] = ()

    @property
    def all(self) -> tuple[str, ...]:
        """Return the required columns, then the optional ones."""
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
    """One row of a file.

    Indexing by a column name gives the cell without surrounding blanks, or an empty string.

    :param number: line number from 1; the last line of a row with line breaks in a cell.
    """

    file: str
    number: int
    row: Row

    def __getitem__(self, column: str) -> str:
        return (self.row.get(column) or "").strip()


@dataclass(slots=True)
class Faults:
    """Collects faults, so that all of them are reported at once."""

    messages: list[str] = field(default_factory=list)

    def add(self, line: Line, column: str, text: str) -> None:
        """Add a fault of one cell."""
        self.messages.append(f"{line.file}:{line.number}: {column}: {text}")

    def add_file(self, file: str, text: str) -> None:
        """Add a fault of a file or of a position within it, as in ``vms.csv:1``."""
        self.messages.append(f"{file}: {text}")

    def raise_if_any(self) -> None:
        """Raise an error if any fault was added.

        :raises FleetError: with all faults.
        """
        if self.messages:
            raise FleetError(self.messages)


def read_delimited(text: str, delimiter: str) -> Iterator[tuple[int, Row]]:
    """Yield line number and row of delimited text with a header line.

    :raises csv.Error: if the text is malformed.
    """
    source = io.StringIO(text, newline="")
    reader = csv.DictReader(
        source, restkey=EXTRA_CELLS, restval="", delimiter=delimiter, strict=True
    )
    for row in reader:
        yield reader.line_num, row


@readers.register("csv")
def read_csv(text: str) -> Iterator[tuple[int, Row]]:
    """Read comma-separated values; see :func:`read_delimited`."""
    return read_delimited(text, ",")


@readers.register("semicolon")
def read_semicolon(text: str) -> Iterator[tuple[int, Row]]:
    """Read semicolon-separated values, which some asset registers export."""
    return read_delimited(text, ";")


@readers.register("tab")
def read_tab(text: str) -> Iterator[tuple[int, Row]]:
    """Read tab-separated values."""
    return read_delimited(text, "\t")


def read_file(directory: Path, file: str, register: dict, faults: Faults) -> list[Line]:
    """Read one file of the inventory; a file that cannot be read gives a fault and no lines.

    :param register: the ``[register]`` table of the rules: ``reader``, and ``columns``, which maps
        files to tables of column names (ours to those of the file).
    """
    try:
        text = (directory / file).read_text(encoding="utf-8-sig")
        rows = list(readers[register.get("reader", "csv")](text))
    except (OSError, UnicodeDecodeError, csv.Error) as error:
        faults.add_file(file, str(error))
        return []
    column_map = register.get("columns", {}).get(file, {})
    check_header(file, text, rows, column_map, faults)
    lines = []
    for number, row in rows:
        line = Line(file, number, map_columns(row, column_map))
        if EXTRA_CELLS in row:
            faults.add(line, "row", "has more cells than the header line")
        lines.append(line)
    return lines


def map_columns(row: Row, column_map: dict[str, str]) -> Row:
    """Return a row with the mapped columns added under our names."""
    return {**row, **{column: row.get(name, "") for column, name in column_map.items()}}


def check_header(
    file: str, text: str, rows: list, column_map: dict[str, str], faults: Faults
) -> None:
    """Add faults for an empty file and for missing columns."""
    if not text.strip():
        faults.add_file(f"{file}:1", "is empty; a header line is required")
        return
    if not rows:
        return
    present = set(rows[0][1])
    for column in COLUMNS[file].required:
        name = column_map.get(column, column)
        if name not in present:
            mapped = "" if name == column else f" (for {column}, by register.columns)"
            faults.add_file(f"{file}:1", f"column {name} is missing{mapped}")
    for column, name in column_map.items():
        if column not in COLUMNS[file].required and name not in present:
            faults.add_file(f"{file}:1", f"column {name} is missing (for {column})")


def split_list(text: str) -> tuple[str, ...]:
    """Return the items of a cell, which are separated by ``;``."""
    return tuple(item.strip() for item in text.split(";") if item.strip())


def read_name(line: Line, column: str, taken: dict, faults: Faults) -> str:
    """Return a cell as the name of a new object; add a fault if it is malformed or taken."""
    name = line[column]
    if not name:
        faults.add(line, column, "is empty")
    elif not NAME_PATTERN.fullmatch(name):
        faults.add(
            line,
            column,
            f"{name!r} must be 1 to 64 of A-Z a-z 0-9 . _ - and start with a letter or digit",
        )
    elif name in taken:
        faults.add(line, column, f"{name!r} is defined twice")
    return name


def read_choice(line: Line, column: str, choices: tuple[str, ...], faults: Faults) -> str:
    """Return a cell that must be one of `choices`; add a fault if it is not."""
    value = line[column]
    if value not in choices:
        faults.add(line, column, f"{value!r} must be one of {', '.join(filter(None, choices))}")
    return value


def read_boolean(line: Line, column: str, faults: Faults) -> bool:
    """Return a cell as a boolean, False if empty; add a fault if it is neither yes nor no."""
    value = line[column].lower()
    if value not in BOOLEANS:
        faults.add(line, column, f"{value!r} must be yes or no")
    return BOOLEANS.get(value, False)


def read_integer(line: Line, column: str, maximum: int, faults: Faults, empty: str = "") -> int:
    """Return a cell as an integer from 1 to `maximum`; add a fault and return 1 if it is not one.

    :param empty: value of an empty cell.
    """
    text = line[column] or empty
    if text.isascii() and text.isdecimal() and 1 <= int(text[:10]) <= maximum:
        return int(text)
    faults.add(line, column, f"{text!r} must be an integer from 1 to {maximum}")
    return 1
