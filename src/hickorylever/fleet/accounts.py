"""Client accounts with the permissions and shares from the rules, and the never-repeat rules."""

import dataclasses
import re

from .. import defaults
from ..records import Application, ClientAccount, Guard
from .inventory import Faults, Line, read_name, split_list
from .rules import Rule, Rules, match_names

KEY_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


def read_accounts(lines: list[Line], faults: Faults) -> dict[str, ClientAccount]:
    """Return the client accounts by name, without permissions; malformed keys go to `faults`."""
    accounts: dict[str, ClientAccount] = {}
    owners: dict[str, str] = {}
    for line in lines:
        name = read_name(line, "client_account", accounts, faults)
        account = ClientAccount(name, split_list(line["key_sha256"]))
        if not account.key_digests:
            faults.add(line, "key_sha256", "is empty; the account could not authenticate")
        for key in account.key_digests:
            if not KEY_DIGEST_PATTERN.fullmatch(key):
                faults.add(
                    line, "key_sha256", "must be a SHA-256 in 64 lower-case hexadecimal digits"
                )
            if key in owners:
                faults.add(line, "key_sha256", f"is also a key of {owners[key]}")
            owners[key] = name
        accounts[name] = account
    return accounts


def apply_allow(
    rules: Rules, accounts: dict[str, ClientAccount], applications: set[str], models: set[str]
) -> None:
    """Set each account's permitted applications and models from the ``[[allow]]`` rules.

    Permissions of several rules add up.
    """
    permissions: dict[str, tuple[set[str], set[str]]] = {name: (set(), set()) for name in accounts}
    for rule in rules.sections["allow"]:
        if not {"applications", "models"} & set(rule.table):
            rules.add_fault(rule, "models", "names neither models nor applications")
        application_names = match_names(rules, rule, "applications", applications, "application")
        model_names = match_names(rules, rule, "models", models, "model")
        for name in match_names(rules, rule, "client_accounts", set(accounts), "client account"):
            permissions[name][0].update(application_names)
            permissions[name][1].update(model_names)
    for name, (application_names, model_names) in permissions.items():
        accounts[name] = dataclasses.replace(
            accounts[name],
            applications=tuple(sorted(application_names)),
            models=tuple(sorted(model_names)),
        )


def apply_shares(rules: Rules, accounts: dict[str, ClientAccount]) -> None:
    """Set each account's weight and priority from the ``[[share]]`` rules.

    A later rule overrides an earlier one.
    """
    for rule in rules.sections["share"]:
        changes = {}
        if "weight" in rule.table:
            changes["weight"] = float(rule.table["weight"])
        if "priority" in rule.table:
            changes["priority"] = rule.table["priority"]
        for name in match_names(rules, rule, "client_accounts", set(accounts), "client account"):
            accounts[name] = dataclasses.replace(accounts[name], **changes)


def read_guards(
    rules: Rules, applications: dict[str, Application], models: set[str]
) -> tuple[Guard, ...]:
    """Return the ``[[never_repeat]]`` rules in the order of the file."""
    return tuple(
        read_guard(rules, rule, applications, models) for rule in rules.sections["never_repeat"]
    )


def read_guard(
    rules: Rules, rule: Rule, applications: dict[str, Application], models: set[str]
) -> Guard:
    """Return one ``[[never_repeat]]`` rule; rules that cannot match are reported as faults."""
    guard = Guard(
        application=rule.get("application", ""),
        methods=tuple(rule.get("methods", ())),
        path=rule.get("path", ""),
        model=rule.get("model", ""),
        retention=float(rule.get("retention", defaults.GUARD_RETENTION_SECONDS)),
    )
    if not (guard.application or guard.methods or guard.path or guard.model):
        rules.add_fault(rule, "application", "has no condition, so it would cover every request")
    if guard.model and guard.model not in models:
        rules.add_fault(rule, "model", f"model {guard.model!r} is not in the inventory")
    application = applications.get(guard.application)
    if guard.application and application is None:
        rules.add_fault(
            rule, "application", f"application {guard.application!r} is not in the inventory"
        )
    elif application is not None and application.kind == "service" and guard.path:
        prefix = application.path
        if guard.path != prefix and not guard.path.startswith(prefix + "/"):
            rules.add_fault(rule, "path", f"is not below {prefix}, so it would never match")
    return guard
