"""The ``demo`` command, which runs steps of the demo."""

import argparse
from pathlib import Path

import curio

from . import add_platform, command


def add_demo(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``demo``."""
    parser.add_argument("step", choices=("prepare", "drive"))
    parser.add_argument("directories", nargs="+", help="fleet directories")
    parser.add_argument(
        "--output",
        default=".demo",
        help="directory for settings and process ids (default: %(default)s)",
    )
    parser.add_argument("--seed", type=int, default=1)
    add_platform(parser)


@command("demo", "run one step of examples/demo.sh, which starts the processes", add_demo)
def run_demo(arguments: argparse.Namespace) -> int:
    """Write the settings of the demo's processes, or send requests to the running demo."""
    from .. import demo

    output = Path(arguments.output)
    if arguments.step == "drive":
        return curio.run(demo.drive, arguments.directories, output, arguments.seed)
    for directory in arguments.directories:
        target = output / Path(directory).name
        print("\n".join(demo.prepare(directory, arguments.platform, target)))
    return 0
