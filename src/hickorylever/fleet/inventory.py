"""Readers of the asset register's CSV files."""

import csv
import io
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from ..exceptions import FleetError
from ..registry import Registry

Row = dict[str, str]
readers: Registry[Callable[[str], list[Row]]] = Registry("inventory reader")

COLUMNS = {
    "vms.csv": ("vm", "address", "region", "failure_domain", "role"),
    "model_servers.csv": ("server", "vm", "port", "application", "models"),
    "applications.csv": ("application", "kind", "path", "vms", "port"),
    "client_accounts.csv": ("client_account", "key_sha256"),
}


@dataclass(frozen=True, slots=True)
class Line:
    """One row of a file with its line number."""

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
        """Note a fault of a whole file."""
        self.lines.append(f"{file}: {text}")

    def check(self) -> None:
        """Raise :exc:`FleetError` when there is any fault."""
        if self.lines:
            raise FleetError(self.lines)


@readers.register("csv")
def read_csv(text: str) -> list[Row]:
    """Read comma-separated values with a head line."""
    return list(csv.DictReader(io.StringIO(text), restkey="", restval=""))


@readers.register("semicolon")
def read_semicolon(text: str) -> list[Row]:
    """Read values separated by semicolons, as some registers export them."""
    return list(csv.DictReader(io.StringIO(text), restkey="", restval="", delimiter=";"))


def read_file(directory: Path, file: str, register: dict, faults: Faults) -> list[Line]:
    """Read one file of the inventory.

    :param register: the rules' ``[register]`` table: ``reader`` and ``columns`` (ours -> theirs).
    """
    try:
        text = (directory / file).read_text(encoding="utf-8-sig")
    except (OSError, UnicodeDecodeError) as error:
        faults.add_file(file, str(error))
        return []
    rows = readers[register.get("reader", "csv")](text)
    theirs = register.get("columns", {}).get(file, {})
    rows = [{**row, **{ours: row.get(name, "") for ours, name in theirs.items()}} for row in rows]
    present = set(rows[0]) if rows else set()
    for column in COLUMNS[file]:
        if rows and column not in present:
            faults.add_file(file, f"column {column} is missing")
    return [Line(file, number, row) for number, row in enumerate(rows, start=2)]
