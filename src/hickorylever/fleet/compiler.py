"""Compiles a fleet directory to one frozen configuration."""

import dataclasses
import ipaddress
import re
import tomllib
from pathlib import Path

from .. import defaults
from ..exceptions import FleetError
from ..records import VM, Application, ClientAccount, Endpoint, Fleet, Guard
from .inventory import Faults, Line, read_file

RULE_KEYS = {
    "fleet": {"name", "load_multiple", "load_floor", "policy", "drain_grace", "sidecar_port"},
    "register": {"reader", "columns"},
    "allow": {"client_accounts", "applications", "models"},
    "never_repeat": {"application", "methods", "path", "model", "retention"},
    "share": {"client_accounts", "weight", "priority"},
}
ROLES = ("entry", "endpoint")
KINDS = ("model", "service")
KEY_DIGEST = re.compile(r"[0-9a-f]{64}")


def split(text: str) -> tuple[str, ...]:
    """Return the words of a cell that are separated by ``;``."""
    return tuple(word.strip() for word in text.split(";") if word.strip())


def read_rules(directory: Path, faults: Faults) -> dict:
    """Read ``rules.toml`` and refuse unknown keys."""
    try:
        rules = tomllib.loads((directory / "rules.toml").read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        faults.add_file("rules.toml", str(error))
        return {}
    for section, content in rules.items():
        if section not in RULE_KEYS:
            faults.add_file("rules.toml", f"{section}: unknown section")
            continue
        tables = content if isinstance(content, list) else [content]
        for table in tables:
            for key in set(table) - RULE_KEYS[section]:
                faults.add_file("rules.toml", f"{section}.{key}: unknown key")
    return rules


def read_port(line: Line, column: str, faults: Faults) -> int:
    """Return a cell as a port number."""
    text = line[column]
    if text.isdecimal() and 0 < int(text) < 65536:
        return int(text)
    faults.add(line, column, f"{text!r} is not a port number")
    return 0


def read_vms(lines: list[Line], faults: Faults) -> dict[str, VM]:
    """Return the VMs by name."""
    vms: dict[str, VM] = {}
    for line in lines:
        vm = VM(line["vm"], line["address"], line["region"], line["failure_domain"], line["role"])
        if not vm.name or vm.name in vms:
            faults.add(line, "vm", f"{vm.name!r} is empty or stands twice")
        try:
            ipaddress.ip_address(vm.address)
        except ValueError:
            faults.add(line, "address", f"{vm.address!r} is not an IP number")
        if vm.role not in ROLES:
            faults.add(line, "role", f"{vm.role!r} must be one of {', '.join(ROLES)}")
        vms[vm.name] = vm
    return vms


def read_applications(lines: list[Line], faults: Faults) -> dict[str, Application]:
    """Return the applications by name."""
    applications: dict[str, Application] = {}
    for line in lines:
        application = Application(line["application"], line["kind"], line["path"])
        if not application.name or application.name in applications:
            faults.add(line, "application", f"{application.name!r} is empty or stands twice")
        if application.kind not in KINDS:
            faults.add(line, "kind", f"{application.kind!r} must be one of {', '.join(KINDS)}")
        if application.kind == "service" and not application.path.startswith("/"):
            faults.add(line, "path", "a service needs a path that starts with /")
        applications[application.name] = application
    return applications


def make_endpoint(
    line: Line, name: str, vm_name: str, vms: dict[str, VM], sidecar_port: int, faults: Faults
) -> Endpoint | None:
    """Return an endpoint on a VM, or None with a fault."""
    vm = vms.get(vm_name)
    if vm is None or vm.role != "endpoint":
        faults.add(line, "vm", f"{vm_name!r} is not a VM of role endpoint in vms.csv")
        return None
    return Endpoint(
        name=name,
        vm=vm.name,
        address=vm.address,
        port=read_port(line, "port", faults),
        sidecar_port=sidecar_port,
        application=line["application"],
        region=vm.region,
        failure_domain=vm.failure_domain,
    )


def read_endpoints(
    servers: list[Line],
    services: list[Line],
    vms: dict[str, VM],
    applications: dict[str, Application],
    sidecar_port: int,
    faults: Faults,
) -> dict[str, Endpoint]:
    """Return the endpoints by name: model servers, and services' VMs."""
    endpoints: dict[str, Endpoint] = {}
    for line in servers:
        endpoint = make_endpoint(line, line["server"], line["vm"], vms, sidecar_port, faults)
        if endpoint is None:
            continue
        if endpoint.name in endpoints:
            faults.add(line, "server", f"{endpoint.name!r} stands twice")
        application = applications.get(endpoint.application)
        if application is None or application.kind != "model":
            faults.add(line, "application", f"{endpoint.application!r} is no model application")
        capacity = line["accelerators"] or "1"
        if not capacity.isdecimal() or int(capacity) < 1:
            faults.add(line, "accelerators", f"{capacity!r} is not a whole number from 1")
            capacity = "1"
        endpoints[endpoint.name] = dataclasses.replace(
            endpoint,
            models=split(line["models"]),
            capacity=int(capacity),
            version=line["version"],
        )
    for line in services:
        if line["kind"] != "service":
            continue
        for vm_name in split(line["vms"]):
            endpoint = make_endpoint(line, vm_name, vm_name, vms, sidecar_port, faults)
            if endpoint is not None:
                endpoints[endpoint.name] = endpoint
    taken: dict[str, str] = {}
    for endpoint in endpoints.values():
        if endpoint.vm in taken:
            text = f"{endpoint.vm} carries {taken[endpoint.vm]} and {endpoint.name}"
            faults.add_file("vms.csv", f"{text}; a VM has a slot for one sidecar")
        taken[endpoint.vm] = endpoint.name
    return endpoints


def matching(names: list[str], known: set[str], where: str, faults: Faults) -> set[str]:
    """Return the known names that a rule lists; ``*`` is all of them."""
    found: set[str] = set()
    for name in names:
        if name == "*":
            found |= known
        elif name in known:
            found.add(name)
        else:
            faults.add_file("rules.toml", f"{where}: {name!r} is not in the inventory")
    return found


def read_accounts(lines: list[Line], faults: Faults) -> dict[str, ClientAccount]:
    """Return the client accounts by name, without any rights."""
    accounts: dict[str, ClientAccount] = {}
    owners: dict[str, str] = {}
    for line in lines:
        account = ClientAccount(line["client_account"], split(line["key_sha256"]))
        if not account.name or account.name in accounts:
            faults.add(line, "client_account", f"{account.name!r} is empty or stands twice")
        for key in account.key_digests:
            if not KEY_DIGEST.fullmatch(key):
                faults.add(line, "key_sha256", "must be 64 lower-case hexadecimal digits")
            if key in owners:
                faults.add(line, "key_sha256", f"is also a key of {owners[key]}")
            owners[key] = account.name
        accounts[account.name] = account
    return accounts


def apply_rules(
    rules: dict,
    accounts: dict[str, ClientAccount],
    applications: set[str],
    models: set[str],
    faults: Faults,
) -> dict[str, ClientAccount]:
    """Return the accounts with rights, shares and priorities from the rules."""
    names = set(accounts)
    for rule in rules.get("allow", []):
        used = matching(rule.get("applications", []), applications, "allow.applications", faults)
        chosen = matching(rule.get("models", []), models, "allow.models", faults)
        for name in matching(rule.get("client_accounts", []), names, "allow.accounts", faults):
            account = accounts[name]
            accounts[name] = dataclasses.replace(
                account,
                applications=tuple(sorted(used | set(account.applications))),
                models=tuple(sorted(chosen | set(account.models))),
            )
    for rule in rules.get("share", []):
        weight = rule.get("weight", 1)
        priority = rule.get("priority", 0)
        if not isinstance(weight, (int, float)) or not weight > 0:
            faults.add_file("rules.toml", f"share.weight: {weight!r} must be over 0")
            continue
        for name in matching(rule.get("client_accounts", []), names, "share.accounts", faults):
            accounts[name] = dataclasses.replace(
                accounts[name], weight=float(weight), priority=int(priority)
            )
    return accounts


def read_guards(
    rules: dict, applications: set[str], models: set[str], faults: Faults
) -> tuple[Guard, ...]:
    """Return the rules on requests that must never repeat."""
    guards = []
    for rule in rules.get("never_repeat", []):
        guard = Guard(
            application=rule.get("application", ""),
            methods=tuple(rule.get("methods", ())),
            path=rule.get("path", ""),
            model=rule.get("model", ""),
            retention=float(rule.get("retention", 86400)),
        )
        if guard.application and guard.application not in applications:
            faults.add_file("rules.toml", f"never_repeat.application: {guard.application!r}")
        if guard.model and guard.model not in models:
            faults.add_file("rules.toml", f"never_repeat.model: {guard.model!r}")
        guards.append(guard)
    return tuple(guards)


def compile_fleet(directory: str | Path) -> Fleet:
    """Read a fleet directory and return its validated configuration.

    :raises FleetError: with every fault found.
    """
    directory = Path(directory)
    if not directory.is_dir():
        raise FleetError([f"{directory}: is not a directory"])
    faults = Faults()
    rules = read_rules(directory, faults)
    general = rules.get("fleet", {})
    register = rules.get("register", {})
    sidecar_port = general.get("sidecar_port", defaults.SIDECAR_PORT)
    vms = read_vms(read_file(directory, "vms.csv", register, faults), faults)
    application_lines = read_file(directory, "applications.csv", register, faults)
    applications = read_applications(application_lines, faults)
    servers = read_file(directory, "model_servers.csv", register, faults)
    endpoints = read_endpoints(servers, application_lines, vms, applications, sidecar_port, faults)
    models = {model for endpoint in endpoints.values() for model in endpoint.models}
    account_lines = read_file(directory, "client_accounts.csv", register, faults)
    accounts = read_accounts(account_lines, faults)
    accounts = apply_rules(rules, accounts, set(applications), models, faults)
    guards = read_guards(rules, set(applications), models, faults)
    multiple = general.get("load_multiple", defaults.LOAD_MULTIPLE)
    if not isinstance(multiple, (int, float)) or multiple <= 1:
        faults.add_file("rules.toml", "fleet.load_multiple: must be over 1")
    faults.check()
    return Fleet(
        name=general.get("name", directory.name),
        vms=tuple(vms[name] for name in sorted(vms)),
        endpoints=tuple(endpoints[name] for name in sorted(endpoints)),
        applications=tuple(applications[name] for name in sorted(applications)),
        client_accounts=tuple(accounts[name] for name in sorted(accounts)),
        guards=guards,
        load_multiple=float(multiple),
        load_floor=float(general.get("load_floor", defaults.LOAD_FLOOR)),
        policy=general.get("policy", "bounded"),
        drain_grace=float(general.get("drain_grace", defaults.DRAIN_GRACE)),
    )
