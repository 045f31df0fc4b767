"""The command line: one program with every role."""

import argparse
import getpass
import sys
from collections.abc import Callable

import curio

from . import defaults, events
from .exceptions import HickoryleverError, SettingsError
from .registry import Registry

EXIT_FAILED = 1
EXIT_USAGE = 2

Command = Callable[[argparse.Namespace], int | None]
commands: Registry[tuple[str, Callable, Command]] = Registry("command")


def command(name: str, summary: str, arguments: Callable = lambda parser: None):
    """Return a decorator that files a function as a subcommand.

    :param arguments: adds the subcommand's arguments to its parser.
    """

    def decorate(run: Command) -> Command:
        commands.register(name)((summary, arguments, run))
        return run

    return decorate


def add_settings(parser: argparse.ArgumentParser) -> None:
    """Add the settings file of a role."""
    parser.add_argument("--settings", required=True, metavar="FILE", help="TOML settings file")


def add_directory(parser: argparse.ArgumentParser) -> None:
    """Add the fleet directory."""
    parser.add_argument("directory", help="fleet directory with the inventory and rules.toml")


def add_platform(parser: argparse.ArgumentParser) -> None:
    """Add the object API's address."""
    parser.add_argument(
        "--platform",
        default=f"127.0.0.1:{defaults.OBJECTS_PORT}",
        metavar="ADDRESS:PORT",
        help="the object API (default: %(default)s)",
    )


def add_apply(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``apply``."""
    add_directory(parser)
    add_platform(parser)
    parser.add_argument("--reason", required=True, help="why, for the audit trail")
    parser.add_argument("--author", default=getpass.getuser(), help="who (default: %(default)s)")


@command("router", "run a router", add_settings)
def run_router(arguments: argparse.Namespace) -> None:
    """Run a router until SIGTERM."""
    from . import router

    run_role(router.main, arguments.settings)


@command("sidecar", "run the sidecar of one endpoint", add_settings)
def run_sidecar(arguments: argparse.Namespace) -> None:
    """Run a sidecar until SIGTERM."""
    from . import sidecar

    run_role(sidecar.main, arguments.settings)


def run_role(main: Callable, path: str) -> None:
    """Load settings, set up logs and run a role."""
    from . import settings

    loaded = settings.load(path)
    events.configure(loaded.log_format, loaded.log_level)
    curio.run(main, loaded)


@command("check", "check a fleet directory", add_directory)
def check(arguments: argparse.Namespace) -> None:
    """Compile a fleet directory and report what it holds."""
    from .fleet import compile_fleet

    fleet = compile_fleet(arguments.directory)
    print(
        f"{fleet.name}: {len(fleet.vms)} VMs, {len(fleet.endpoints)} endpoints, "
        f"{len(fleet.applications)} applications, {len(fleet.client_accounts)} client accounts, "
        f"{len(fleet.guards)} rules on requests that never repeat"
    )


@command("apply", "put a fleet directory in force", add_apply)
def apply(arguments: argparse.Namespace) -> None:
    """Accept a fleet directory as the next revision."""
    from .fleet import compile_fleet, heads

    fleet = compile_fleet(arguments.directory)

    async def run() -> None:
        platform = make_platform(arguments.platform)
        base = await heads.read_head(platform)
        revision = await heads.apply(platform, fleet, base, arguments.author, arguments.reason)
        print(f"revision {revision.number} accepted")

    curio.run(run)


def make_platform(text: str):
    """Return a client of the object API at ``address:port``."""
    from .http import Client
    from .metrics import Metrics
    from .platform import Platform
    from .settings import split_address

    try:
        address, port = split_address(text)
    except ValueError as error:
        raise SettingsError([f"--platform: {error}"]) from None
    return Platform(address, port, Client(), Metrics())


def add_standin(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``standin``."""
    parser.add_argument("kind", choices=("objects", "engine", "service"))
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", default="standin")
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--latency", type=float, default=0.0, help="of the object API, seconds")
    parser.add_argument("--lost-replies", type=float, default=0.0, help="share from 0 to 1")
    parser.add_argument("--poison", default="", help="a prompt with this text crashes the engine")


@command("standin", "run a stand-in of an outside system (demo and tests only)", add_standin)
def run_standin(arguments: argparse.Namespace) -> None:
    """Run one stand-in until it is killed."""
    from .standins import engine, objects

    address, port = arguments.address, arguments.port
    if arguments.kind == "objects":
        faults = objects.Faults(latency=arguments.latency, lost_replies=arguments.lost_replies)
        curio.run(objects.main, address, port, arguments.seed, faults)
    elif arguments.kind == "engine":
        made = engine.Engine(arguments.name, seed=arguments.seed, poison=arguments.poison)
        curio.run(engine.main, made, address, port)
    else:
        curio.run(engine.main, engine.Service(arguments.name), address, port)


def add_demo(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``demo``."""
    parser.add_argument("step", choices=("prepare", "drive"))
    parser.add_argument("directories", nargs="+", help="fleet directories")
    parser.add_argument("--output", default=".demo", help="for settings and process ids")
    parser.add_argument("--seed", type=int, default=1)
    add_platform(parser)


@command("demo", "one step of examples/demo.sh, which starts the processes", add_demo)
def run_demo(arguments: argparse.Namespace) -> int:
    """Write the demo's settings, or drive the running demo."""
    from pathlib import Path

    from . import demo

    output = Path(arguments.output)
    if arguments.step == "drive":
        return curio.run(demo.drive, arguments.directories, output, arguments.seed)
    for directory in arguments.directories:
        target = output / Path(directory).name
        print("\n".join(demo.prepare(directory, arguments.platform, target)))
    return 0


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with every subcommand."""
    parser = argparse.ArgumentParser(
        prog="hickorylever",
        description="A router fleet for model engines and plain services.",
        epilog="exit codes: 0 done, 1 failed, 2 wrong usage or invalid settings",
    )
    parser.add_argument("--version", action="version", version=f"hickorylever {defaults.VERSION}")
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for name in commands:
        summary, arguments, run = commands[name]
        subparser = subparsers.add_parser(name, help=summary, description=summary)
        arguments(subparser)
        subparser.set_defaults(run=run)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    arguments = build_parser().parse_args(argv)
    try:
        return arguments.run(arguments) or 0
    except SettingsError as error:
        for fault in error.faults:
            print(f"hickorylever: {fault}", file=sys.stderr)
        return EXIT_USAGE
    except HickoryleverError as error:
        print(f"hickorylever: {error}", file=sys.stderr)
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_FAILED
