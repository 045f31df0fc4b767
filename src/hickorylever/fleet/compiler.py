"""Compiles a fleet directory into a validated, immutable configuration."""

from pathlib import Path

from .. import defaults
from ..exceptions import FleetError
from ..records import Fleet
from .accounts import apply_allow, apply_shares, read_accounts, read_guards
from .endpoints import EndpointCollector, read_applications, read_endpoints, read_vms
from .inventory import COLUMNS, Faults, read_file
from .rules import read_rules


def sorted_by_name(entries: dict) -> tuple:
    """Return objects sorted by name."""
    return tuple(entries[name] for name in sorted(entries))


def compile_fleet(directory: str | Path) -> Fleet:
    """Compile a fleet directory and return the configuration.

    :raises FleetError: with every fault found, each with file and line where these are known.
    """
    directory = Path(directory)
    if not directory.is_dir():
        raise FleetError([f"{directory}: is not a directory"])
    faults = Faults()
    rules = read_rules(directory, faults)
    settings = rules.single("fleet").table
    register = rules.single("register").table
    lines = {file: read_file(directory, file, register, faults) for file in COLUMNS}
    vms = read_vms(lines["vms.csv"], faults)
    applications = read_applications(lines["applications.csv"], faults)
    sidecar_port = settings.get("sidecar_port", defaults.SIDECAR_PORT)
    endpoints = read_endpoints(
        lines["model_servers.csv"],
        lines["applications.csv"],
        applications,
        EndpointCollector(vms, sidecar_port, faults),
    )
    models = {model for endpoint in endpoints.values() for model in endpoint.models}
    accounts = read_accounts(lines["client_accounts.csv"], faults)
    apply_allow(rules, accounts, set(applications), models)
    apply_shares(rules, accounts)
    guards = read_guards(rules, applications, models)
    faults.raise_if_any()
    return Fleet(
        name=settings.get("name", directory.resolve().name),
        vms=sorted_by_name(vms),
        endpoints=sorted_by_name(endpoints),
        applications=sorted_by_name(applications),
        client_accounts=sorted_by_name(accounts),
        guards=guards,
        load_multiple=float(settings.get("load_multiple", defaults.LOAD_MULTIPLE)),
        load_floor=float(settings.get("load_floor", defaults.LOAD_FLOOR_TOKENS)),
        policy=settings.get("policy", "bounded"),
        drain_grace=float(settings.get("drain_grace", defaults.DRAIN_GRACE_SECONDS)),
    )
