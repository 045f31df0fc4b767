"""Explains how the fleet handles a request, with the rule or inventory line behind each step."""

from dataclasses import dataclass
from pathlib import Path
from types import SimpleNamespace

from ..filters.authorise import MODEL_PATHS, find_service
from ..filters.guard import matches
from ..records import Application, ClientAccount, Endpoint, Fleet
from .compiler import compile_fleet
from .inventory import COLUMNS, Faults, Line, read_file
from .rules import Rule, Rules, read_rules


@dataclass(frozen=True, slots=True)
class Question:
    """A request to explain.

    An empty `model` stands for a request to a plain service. With a model, `path` may be empty.
    """

    account: str
    model: str = ""
    path: str = ""
    method: str = "POST"


class Explainer:
    """Explains requests from a fleet directory alone; no process needs to run.

    :raises FleetError: if the directory has faults.
    """

    def __init__(self, directory: str | Path):
        self.directory = Path(directory)
        self.fleet: Fleet = compile_fleet(directory)
        faults = Faults()
        self.rules: Rules = read_rules(self.directory, faults)
        register = self.rules.single("register").table
        self.lines = {file: read_file(self.directory, file, register, faults) for file in COLUMNS}

    def explain(self, question: Question) -> list[str]:
        """Return the explanation as a list of sentences; a refusal ends with its status code."""
        account = next(
            (entry for entry in self.fleet.client_accounts if entry.name == question.account), None
        )
        if account is None:
            return [
                f"client_accounts.csv: there is no client account {question.account!r}.",
                "Its requests are refused: unauthenticated (401), not run.",
            ]
        location = self.line_location("client_accounts.csv", "client_account", account.name)
        sentences = [f"{location}: client account {account.name}."]
        if question.model:
            return sentences + self.explain_model(question, account)
        return sentences + self.explain_service(question, account)

    def explain_model(self, question: Question, account: ClientAccount) -> list[str]:
        """Return the explanation of a completion request."""
        endpoints = [entry for entry in self.fleet.endpoints if question.model in entry.models]
        if not endpoints:
            return [
                f"model_servers.csv: no line serves model {question.model}.",
                "The request is refused: not_found (404), not run.",
            ]
        if question.path and question.path not in MODEL_PATHS:
            known = ", ".join(MODEL_PATHS)
            return [f"Models are called at {known}, not at {question.path}: not_found (404)."]
        permissions = self.explain_permission(account, "models", question.model)
        if not permissions:
            return [
                f"rules.toml: no [[allow]] rule gives {account.name} model {question.model}.",
                "The request is refused: forbidden (403), not run.",
            ]
        application = self.find_application(endpoints[0].application)
        sentences = permissions + self.explain_endpoints(endpoints)
        sentences.append(
            f"{self.setting_location('policy')}: policy {self.fleet.policy!r} sends a chat to the "
            "same endpoint again while the load bound allows."
        )
        return sentences + self.explain_limits(question, account, application)

    def explain_service(self, question: Question, account: ClientAccount) -> list[str]:
        """Return the explanation of a request to a plain service."""
        applications = {entry.name: entry for entry in self.fleet.applications}
        application = find_service(SimpleNamespace(applications=applications), question.path)
        if application is None:
            return [
                f"applications.csv: no path is a prefix of {question.path or '(no path)'}.",
                "The request is refused: not_found (404), not run.",
            ]
        location = self.line_location("applications.csv", "application", application.name)
        sentences = [f"{location}: {application.path} belongs to service {application.name}."]
        permissions = self.explain_permission(account, "applications", application.name)
        if not permissions:
            return [
                *sentences,
                f"rules.toml: no [[allow]] rule gives {account.name} {application.name}.",
                "The request is refused: forbidden (403), not run.",
            ]
        endpoints = [e for e in self.fleet.endpoints if e.application == application.name]
        sentences += permissions + self.explain_endpoints(endpoints)
        sentences.append(
            "Endpoints in the router's failure domain are preferred while the load bound allows."
        )
        return sentences + self.explain_limits(question, account, application)

    def explain_limits(
        self, question: Question, account: ClientAccount, application: Application
    ) -> list[str]:
        """Return the sentences on retries, the load bound and the account's share."""
        return [
            *self.explain_guard(question, application),
            *self.explain_load(),
            *self.explain_share(account),
        ]

    def explain_endpoints(self, endpoints: list[Endpoint]) -> list[str]:
        """Return a sentence for each endpoint that may run the request."""
        sentences = []
        for endpoint in endpoints:
            key = "server" if endpoint.models else "application"
            file = "model_servers.csv" if endpoint.models else "applications.csv"
            name = endpoint.name if endpoint.models else endpoint.application
            where = f"on {endpoint.vm} in {endpoint.failure_domain}"
            location = self.line_location(file, key, name)
            sentences.append(
                f"{location}: may run at {endpoint.name} {where}, weight {endpoint.capacity}."
            )
        return sentences

    def explain_guard(self, question: Question, application: Application) -> list[str]:
        """Return a sentence on whether a ``[[never_repeat]]`` rule covers the request."""
        exchange = SimpleNamespace(method=question.method, path=question.path or MODEL_PATHS[0])
        call = SimpleNamespace(application=application, model=question.model, exchange=exchange)
        for guard, rule in zip(
            self.fleet.guards, self.rules.sections["never_repeat"], strict=True
        ):
            if matches(guard, call):
                text = "it must never repeat: it needs an Idempotency-Key, which is retained for"
                return [f"{self.location(rule)}: {text} {guard.retention:.0f} s."]
        return ["rules.toml: no [[never_repeat]] rule covers it; it needs no Idempotency-Key."]

    def explain_load(self) -> list[str]:
        """Return a sentence on the load bound."""
        fleet = self.fleet
        return [
            f"{self.setting_location('load_multiple')}: no endpoint takes it above "
            f"{fleet.load_multiple:g} x the mean of its peers once it holds more than "
            f"{fleet.load_floor:g} tokens for each unit of weight "
            f"({self.setting_location('load_floor')}); else it waits, or is refused with "
            "Retry-After, not run."
        ]

    def explain_share(self, account: ClientAccount) -> list[str]:
        """Return a sentence on the account's weight and priority."""
        share_rules = [
            rule for rule in self.rules.sections["share"] if applies_to(rule, account.name)
        ]
        locations = ", ".join(self.location(rule) for rule in share_rules) or "default"
        return [
            f"{locations}: weight {account.weight:g}, priority {account.priority} in the queue."
        ]

    def explain_permission(self, account: ClientAccount, key: str, name: str) -> list[str]:
        """Return a sentence for each rule that allows an account a model or an application."""
        return [
            f"{self.location(rule)}: {account.name} may use {name}."
            for rule in self.rules.sections["allow"]
            if applies_to(rule, account.name) and {name, "*"} & set(rule.get(key, []))
        ]

    def find_application(self, name: str) -> Application:
        """Return the application with a name."""
        return next(entry for entry in self.fleet.applications if entry.name == name)

    def location(self, rule: Rule, key: str = "") -> str:
        """Return file and line number of a rule, or of one of its keys."""
        location = self.rules.position(rule, key, "")
        return f"rules.toml:{location.split(':')[1]}" if location else "rules.toml"

    def setting_location(self, key: str) -> str:
        """Return the location of a key of ``[fleet]``, or that the default applies."""
        rule = self.rules.single("fleet")
        return self.location(rule, key) if key in rule.table else f"default {key}"

    def line_location(self, file: str, column: str, name: str) -> str:
        """Return file and number of the first line that has `name` in a column."""
        found: Line = next(line for line in self.lines[file] if line[column] == name)
        return f"{file}:{found.number}"


def applies_to(rule: Rule, account: str) -> bool:
    """Return whether a rule applies to a client account."""
    return bool({account, "*"} & set(rule.get("client_accounts", [])))
