"""The ``trace`` command, which collects the log lines of one request from many processes."""

import argparse
from collections.abc import Iterator
from pathlib import Path

import msgspec

from . import EXIT_FAILED, command

COMMON = ("time", "level", "event", "name", "message", "request")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``trace``."""
    parser.add_argument("id", help="id of the request, as sent by the caller")
    parser.add_argument(
        "files",
        nargs="+",
        metavar="FILE",
        help="log files; each line may have a prefix before the JSON",
    )


def lines_of(path: str, request: str) -> Iterator[tuple[str, dict]]:
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


def describe(source: str, fields: dict) -> str:
    """Return the line of text for a log line."""
    more = " ".join(f"{key}={value}" for key, value in fields.items() if key not in COMMON)
    number = fields.get("event", 0)
    name = fields.get("name", "")
    return f"{fields.get('time', '')} {source} {number} {name}: {fields.get('message', '')} {more}"


@command(
    "trace",
    "print the log lines of one request from all processes in order of time",
    add_arguments,
)
def trace(arguments: argparse.Namespace) -> int:
    """Print the log lines about a request, oldest first; return 1 if there are none."""
    found = [entry for path in arguments.files for entry in lines_of(path, arguments.id)]
    found.sort(key=lambda entry: str(entry[1].get("time", "")))
    for source, fields in found:
        print(describe(source, fields))
    if not found:
        print(f"no line about {arguments.id}")
        return EXIT_FAILED
    return 0
