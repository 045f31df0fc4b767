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
    """A request to explain; an empty `model` stands for a request to a plain service."""

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
        register = self.rules.one("register").table
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
        place = self.line("client_accounts.csv", "client_account", account.name)
        said = [f"{place}: client account {account.name}."]
        if question.model:
            return said + self.explain_model(question, account)
        return said + self.explain_service(question, account)

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
        allowed = self.allowing(account, "models", question.model)
        if not allowed:
            return [
                f"rules.toml: no [[allow]] rule gives {account.name} model {question.model}.",
                "The request is refused: forbidden (403), not run.",
            ]
        application = self.application(endpoints[0].application)
        said = allowed + self.explain_endpoints(endpoints)
        said.append(
            f"{self.setting('policy')}: policy {self.fleet.policy!r} sends a chat to the same "
            "endpoint again while the load bound allows."
        )
        return said + self.explain_rest(question, account, application)

    def explain_service(self, question: Question, account: ClientAccount) -> list[str]:
        """Return the explanation of a request to a plain service."""
        applications = {entry.name: entry for entry in self.fleet.applications}
        application = find_service(SimpleNamespace(applications=applications), question.path)
        if application is None:
            return [
                f"applications.csv: no path is a prefix of {question.path or '(no path)'}.",
                "The request is refused: not_found (404), not run.",
            ]
        place = self.line("applications.csv", "application", application.name)
        said = [f"{place}: {application.path} belongs to service {application.name}."]
        allowed = self.allowing(account, "applications", application.name)
        if not allowed:
            return [
                *said,
                f"rules.toml: no [[allow]] rule gives {account.name} {application.name}.",
                "The request is refused: forbidden (403), not run.",
            ]
        mine = [e for e in self.fleet.endpoints if e.application == application.name]
        said += allowed + self.explain_endpoints(mine)
        said.append("The router's own failure domain goes first while the load bound allows.")
        return said + self.explain_rest(question, account, application)

    def explain_rest(
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
        said = []
        for endpoint in endpoints:
            key = "server" if endpoint.models else "application"
            file = "model_servers.csv" if endpoint.models else "applications.csv"
            name = endpoint.name if endpoint.models else endpoint.application
            where = f"on {endpoint.vm} in {endpoint.failure_domain}"
            place = self.line(file, key, name)
            said.append(
                f"{place}: may run at {endpoint.name} {where}, weight {endpoint.capacity}."
            )
        return said

    def explain_guard(self, question: Question, application: Application) -> list[str]:
        """Return a sentence on whether a ``[[never_repeat]]`` rule covers the request."""
        exchange = SimpleNamespace(method=question.method, path=question.path or MODEL_PATHS[0])
        call = SimpleNamespace(application=application, model=question.model, exchange=exchange)
        for guard, rule in zip(
            self.fleet.guards, self.rules.sections["never_repeat"], strict=True
        ):
            if matches(guard, call):
                text = "it must never repeat: it needs an Idempotency-Key, which is known for"
                return [f"{self.place(rule)}: {text} {guard.retention:.0f} s."]
        return ["rules.toml: no [[never_repeat]] rule covers it; it needs no Idempotency-Key."]

    def explain_load(self) -> list[str]:
        """Return a sentence on the load bound."""
        fleet = self.fleet
        return [
            f"{self.setting('load_multiple')}: no endpoint takes it above "
            f"{fleet.load_multiple:g} x the mean of its peers once it holds more than "
            f"{fleet.load_floor:g} tokens for each unit of weight ({self.setting('load_floor')}); "
            "else it waits, or is refused with Retry-After, not run."
        ]

    def explain_share(self, account: ClientAccount) -> list[str]:
        """Return a sentence on the account's weight and priority."""
        found = [rule for rule in self.rules.sections["share"] if lists(rule, account.name)]
        places = ", ".join(self.place(rule) for rule in found) or "default"
        return [f"{places}: weight {account.weight:g}, priority {account.priority} in the queue."]

    def allowing(self, account: ClientAccount, key: str, name: str) -> list[str]:
        """Return a sentence for each rule that allows an account a model or an application."""
        return [
            f"{self.place(rule)}: {account.name} may use {name}."
            for rule in self.rules.sections["allow"]
            if lists(rule, account.name) and {name, "*"} & set(rule.get(key, []))
        ]

    def application(self, name: str) -> Application:
        """Return the application with a name."""
        return next(entry for entry in self.fleet.applications if entry.name == name)

    def place(self, rule: Rule, key: str = "") -> str:
        """Return file and line number of a rule, or of one of its keys."""
        place = self.rules.place(rule, key, "")
        return f"rules.toml:{place.split(':')[1]}" if place else "rules.toml"

    def setting(self, key: str) -> str:
        """Return the location of a key of ``[fleet]``, or that the default applies."""
        rule = self.rules.one("fleet")
        return self.place(rule, key) if key in rule.table else f"default {key}"

    def line(self, file: str, column: str, name: str) -> str:
        """Return file and number of the first line that has `name` in a column."""
        found: Line = next(line for line in self.lines[file] if line[column] == name)
        return f"{file}:{found.number}"


def lists(rule: Rule, account: str) -> bool:
    """Return whether a rule applies to a client account."""
    return bool({account, "*"} & set(rule.get("client_accounts", [])))
