"""The ``bench`` command, which runs a benchmark."""

import argparse
import sys
from pathlib import Path

import msgspec

from . import command


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``bench``."""
    parser.add_argument("name", help="path, claims, routing, control, capacity ...")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="measure fewer and smaller cases")
    parser.add_argument(
        "--json", metavar="FILE", help="also write the rows to a file as JSON lines"
    )


@command(
    "bench", "run a benchmark and compare ratios within the run to their targets", add_arguments
)
def run_bench(arguments: argparse.Namespace) -> int:
    """Run a benchmark, print its table and return 1 if a target is missed."""
    from .. import bench

    report = bench.benches[arguments.name](arguments.seed, arguments.quick)
    print(report.table())
    for missed in report.missed:
        print(f"MISSED: {missed}", file=sys.stderr)
    if arguments.json:
        lines = b"\n".join(msgspec.json.encode(row) for row in report.rows)
        Path(arguments.json).write_bytes(lines + b"\n")
    return 1 if report.missed else 0
