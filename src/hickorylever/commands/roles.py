"""The commands that run a process: router, sidecar, direct router and stand-ins."""

import argparse
from collections.abc import Callable

import curio

from .. import events
from . import command


def add_direct(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``direct``."""
    parser.add_argument("--settings", default=None, metavar="FILE", help="TOML settings file")
    parser.add_argument(
        "--log-level", default="info", help="debug, info, warning or error (default: %(default)s)"
    )


def add_settings_file(parser: argparse.ArgumentParser) -> None:
    """Add the option for the settings file."""
    parser.add_argument("--settings", required=True, metavar="FILE", help="TOML settings file")


@command("router", "run a router", add_settings_file)
def run_router(arguments: argparse.Namespace) -> None:
    """Run a router until SIGTERM."""
    from .. import router

    run_role(router.main, arguments.settings)


@command("sidecar", "run the sidecar of one endpoint", add_settings_file)
def run_sidecar(arguments: argparse.Namespace) -> None:
    """Run a sidecar until SIGTERM."""
    from .. import sidecar

    run_role(sidecar.main, arguments.settings)


@command("direct", "run a router that forwards to endpoints without sidecars", add_direct)
def run_direct(arguments: argparse.Namespace) -> None:
    """Run a router that forwards to endpoints itself, until SIGTERM."""
    from ..direct import entry

    entry.run(arguments)


def run_role(main: Callable, path: str) -> None:
    """Load the settings, configure logging and run a process.

    :raises SettingsError: if the settings are invalid.
    """
    from .. import settings

    role_settings = settings.load(path)
    events.configure(role_settings.log_format, role_settings.log_level)
    curio.run(main, role_settings)


def add_standin(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``standin``."""
    parser.add_argument("kind", choices=("objects", "engine", "service"))
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", default="standin")
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument(
        "--latency", type=float, default=0.0, help="latency of the object API in seconds"
    )
    parser.add_argument(
        "--lost-replies",
        type=float,
        default=0.0,
        help="ratio of writes whose reply is lost, 0 to 1",
    )
    parser.add_argument(
        "--token", type=float, default=0.005, help="seconds per token that an engine generates"
    )
    parser.add_argument(
        "--prefill",
        type=float,
        default=20000.0,
        help="prompt tokens that an engine processes per second",
    )
    parser.add_argument("--poison", default="", help="text of prompts that crash the engine")


@command("standin", "run a stand-in for an external system (demo and tests only)", add_standin)
def run_standin(arguments: argparse.Namespace) -> None:
    """Run a stand-in until it is killed."""
    from ..standins import engine, objects

    address, port = arguments.address, arguments.port
    if arguments.kind == "objects":
        faults = objects.Faults(latency=arguments.latency, lost_replies=arguments.lost_replies)
        curio.run(objects.main, address, port, arguments.seed, faults)
    elif arguments.kind == "engine":
        speed = engine.Speed(arguments.prefill, arguments.token)
        simulated_engine = engine.Engine(
            arguments.name, speed, seed=arguments.seed, poison=arguments.poison
        )
        curio.run(engine.main, simulated_engine, address, port)
    else:
        curio.run(engine.main, engine.Service(arguments.name), address, port)
