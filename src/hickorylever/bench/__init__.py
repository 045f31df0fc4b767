"""Benchmarks, one module per experiment; each returns a `Report`."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ..registry import Registry


@dataclass(slots=True)
class Report:
    """Result rows of one run and the targets it missed."""

    rows: list[dict] = field(default_factory=list)
    missed: list[str] = field(default_factory=list)

    def expect(self, met: bool, target: str) -> None:
        """Record `target` as missed unless `met` is true."""
        if not met:
            self.missed.append(target)

    def table(self) -> str:
        """Return the rows as aligned text, with a new header wherever the columns change."""
        lines: list[str] = []
        columns: list[str] = []
        for row in self.rows:
            if list(row) != columns:
                columns = list(row)
                lines.append("  ".join(f"{column:>14}" for column in columns))
            lines.append("  ".join(f"{format_cell(value):>14}" for value in row.values()))
        return "\n".join(lines)


def format_cell(value: object) -> str:
    """Return the text of a table cell; floats are rounded to four significant digits."""
    return f"{value:.4g}" if isinstance(value, float) else str(value)


Bench = Callable[[int, bool], Report]
benches: Registry[Bench] = Registry("bench")

from . import capacity, claims, configuration, control, outages, path, routing  # noqa: E402, F401
