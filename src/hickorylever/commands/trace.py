"""The ``trace`` command, which collects the log lines of one request from many processes."""

import argparse
from collections.abc import Iterator
from pathlib import Path

import msgspec

from . import EXIT_FAILED, command

COMMON_FIELDS = ("time", "level", "event", "name", "message", "request")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``trace``."""
    parser.add_argument("id", help="id of the request, as sent by the caller")
    parser.add_argument(
        "files",
        nargs="+",
        metavar="FILE",
        help="log files; each line may have a prefix before the JSON",
    )


def read_lines(path: str, request: str) -> Iterator[tuple[str, dict]]:
    """Yield prefix (or path) and fields of each log line about a request; skip malformed lines."""
    with Path(path).open(encoding="utf-8", errors="replace") as file:
        for line in file:
            prefix, brace, rest = line.partition("{")
            if not brace or request not in rest:
                continue
            try:
                fields = msgspec.json.decode(brace + rest.strip())
            except msgspec.DecodeError:
                continue
            if fields.get("request") == request:
                yield prefix.strip() or path, fields


def format_line(source: str, fields: dict) -> str:
    """Return the line of text for a log line."""
    details = " ".join(
        f"{key}={value}" for key, value in fields.items() if key not in COMMON_FIELDS
    )
    number = fields.get("event", 0)
    name = fields.get("name", "")
    return (
        f"{fields.get('time', '')} {source} {number} {name}: {fields.get('message', '')} {details}"
    )


@command(
    "trace",
    "print the log lines of one request from all processes in order of time",
    add_arguments,
)
def trace(arguments: argparse.Namespace) -> int:
    """Print the log lines about a request, oldest first; return 1 if there are none."""
    matches = [entry for path in arguments.files for entry in read_lines(path, arguments.id)]
    matches.sort(key=lambda entry: str(entry[1].get("time", "")))
    for source, fields in matches:
        print(format_line(source, fields))
    if not matches:
        print(f"no line about {arguments.id}")
        return EXIT_FAILED
    return 0
