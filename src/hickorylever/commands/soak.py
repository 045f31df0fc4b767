"""The randomized soak."""

import argparse
from pathlib import Path

from . import EXIT_FAILED, command

MAX_LINES = 20  # Of broken promises that are shown for a seed.


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add seeds and length."""
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many, one after the other")
    parser.add_argument("--seconds", type=float, default=8.0, help="of faults for each seed")
    parser.add_argument("--routers", type=int, default=3)
    parser.add_argument("--keep", default="", metavar="DIR", help="where logs of failures go")


@command("soak", "run real routers under random faults and check the promises", add_arguments)
def soak(arguments: argparse.Namespace) -> int:
    """Run the soak; exit with 1 when a promise was broken."""
    from ..soak import run

    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        report = run(seed, arguments.seconds, arguments.routers)
        print(report.summary(), flush=True)
        for line in report.violations[:MAX_LINES]:
            print(f"  broken: {line}", flush=True)
        for ip, text in report.logs.items() if arguments.keep else ():
            Path(arguments.keep, f"seed-{seed}-{ip}.log").write_text(text)
        failed += bool(report.violations)
    return EXIT_FAILED if failed else 0
