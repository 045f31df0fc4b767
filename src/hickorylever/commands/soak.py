"""The ``soak`` command, which runs a fleet under random faults."""

import argparse
import signal
from pathlib import Path

from . import EXIT_FAILED, command

MAX_PRINTED_VIOLATIONS = 20  # For each seed.
MIN_ENDPOINTS = 2  # Some faults take two.


def endpoint_count(text: str) -> int:
    """Return a number of endpoints.

    :raises argparse.ArgumentTypeError: if it is no number or below `MIN_ENDPOINTS`.
    """
    if not text.isdecimal() or int(text) < MIN_ENDPOINTS:
        raise argparse.ArgumentTypeError(f"{text!r} is not a number of {MIN_ENDPOINTS} or more")
    return int(text)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``soak``."""
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of seeds, run one after the other"
    )
    parser.add_argument(
        "--seconds", type=float, default=8.0, help="duration of the faults for each seed"
    )
    parser.add_argument("--routers", type=int, default=3)
    parser.add_argument("--endpoints", type=endpoint_count, default=4, help="at least 2")
    parser.add_argument(
        "--faults", default="", metavar="NAMES", help="comma-separated; by default all"
    )
    parser.add_argument(
        "--router-source",
        default="",
        metavar="DIR",
        help="run the routers from another source tree, such as one of an earlier commit",
    )
    parser.add_argument(
        "--keep", default="", metavar="DIR", help="directory for the logs of seeds that fail"
    )


def interrupt(*arguments: object) -> None:
    """End the soak as Ctrl-C does, so that its router processes end with it."""
    raise KeyboardInterrupt


@command("soak", "run routers under random faults and check the guarantees", add_arguments)
def soak(arguments: argparse.Namespace) -> int:
    """Run the soak test and return 1 if a guarantee was violated."""
    signal.signal(signal.SIGTERM, interrupt)
    from ..soak import Plan, faults, run

    names = tuple(name for name in arguments.faults.split(",") if name)
    for name in names:
        faults[name]  # An unknown name is an error before anything runs.
    failed = 0
    if arguments.keep:
        Path(arguments.keep).mkdir(parents=True, exist_ok=True)
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        plan = Plan(
            seed,
            arguments.seconds,
            arguments.routers,
            arguments.endpoints,
            names,
            arguments.router_source,
        )
        report = run(plan)
        print(report.summary(), flush=True)
        for line in report.violations[:MAX_PRINTED_VIOLATIONS]:
            print(f"  broken: {line}", flush=True)
        for ip, text in report.logs.items() if arguments.keep else ():
            Path(arguments.keep, f"seed-{seed}-{ip}.log").write_text(text)
        failed += bool(report.violations)
    return EXIT_FAILED if failed else 0
