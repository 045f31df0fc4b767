"""The model of the sends of a request, and the program's decisions compared with it."""

import random
from dataclasses import dataclass, field

import pytest
from models import assert_holds, refuted
from walks import follow

from hickorylever.direct.records import NOT_RUN_STATUSES, AnswerInfo
from hickorylever.direct.sends import Match, Send, Sends
from hickorylever.exceptions import Kind, Ran, RequestError
from hickorylever.platform import refusal
from spec.sends import (
    ANSWER,
    BARE_STATUS,
    REJECTION,
    REJECTION_OF_OTHER,
    UNNAMED_OF_OTHER,
    UNNAMED_REJECTION,
    State,
    sends,
)

BROKEN_VARIANTS = {
    "same_connection": {"runs_once", "promise_is_true"},
    "unnamed_counts": {"runs_once", "promise_is_true"},
    "status_counts": {"runs_once", "promise_is_true"},
    "lost_is_not_run": {"runs_once", "promise_is_true"},
}
REQUEST_ID = "r"
ANSWERS = {
    REJECTION: AnswerInfo(503, REQUEST_ID, False, True),
    UNNAMED_REJECTION: AnswerInfo(503, "", False, True),
    UNNAMED_OF_OTHER: AnswerInfo(503, "", False, True),
    REJECTION_OF_OTHER: AnswerInfo(503, "other", False, True),
    ANSWER: AnswerInfo(200, REQUEST_ID, True, False),
    BARE_STATUS: AnswerInfo(429, REQUEST_ID, True, False),
}
WALK_COUNT = 600


def test_invariants_hold():
    assert_holds(sends())


@pytest.mark.parametrize("variant", BROKEN_VARIANTS)
def test_broken_variant_has_a_counterexample(variant):
    assert refuted(sends(variant)) == BROKEN_VARIANTS[variant]


@dataclass(eq=False)
class Connection:
    number: int
    request_count: int = 0


@dataclass
class World:
    """What the servers have sent, in the terms of the model."""

    arrived: list = field(default_factory=list)
    copyable: list = field(default_factory=lambda: list(State().copyable))
    copies_left: int = State().copies_left
    run_count: int = 0
    violations: list = field(default_factory=list)


class Implementation:
    """The program's records of sends, with servers and connections that the walk controls."""

    def __init__(self):
        self.simulation = World()
        self.sends = Sends(repeatable=False)
        self.connections = {0: Connection(0, 1), 1: Connection(1, 1)}
        self.servers = []
        self.phases = []
        self.call = "open"

    def send(self, server, number):
        assert self.sends.may_begin
        connection = self.connections.setdefault(int(number), Connection(int(number)))
        self.sends.begin(REQUEST_ID, f"i-{server}", connection)
        connection.request_count += 1
        self.servers.append(int(server))
        self.phases.append("written")
        self.call = "waiting"

    def end(self):
        status, _, _ = refusal(RequestError(Kind.OVERLOADED, "", self.sends.ran))
        self.call = "refused" if status in NOT_RUN_STATUSES else "failed"

    def read(self):
        send = self.sends.all[-1]
        response = next(it for it in self.simulation.arrived if it[0] == send.channel.number)
        self.simulation.arrived.remove(response)
        info = ANSWERS[response[1]]
        match = send.match(info)
        if match is Match.OTHER:
            return
        if match is Match.AMBIGUOUS:
            self.call = "failed"
        elif send.accept_rejection(info):
            self.call = "open"
        else:
            send.ran = Ran.YES
            self.call = "answered" if info.status < 300 else "failed"

    def give_up(self):
        self.call = "failed"
        assert not self.sends.may_begin

    def leave(self):
        self.call = "left"

    def lose(self, index):
        self.phases[int(index)] = "lost"

    def respond(self, index, content):
        index = int(index)
        ran = content in (ANSWER, BARE_STATUS)
        self.phases[index] = "ran" if ran else "rejected"
        response = (self.sends.all[index].channel.number, content)
        self.simulation.arrived.append(response)
        self.simulation.copyable.append(response)
        self.simulation.run_count += ran

    def copy(self, position):
        self.simulation.arrived.append(self.simulation.copyable.pop(int(position)))
        self.simulation.copies_left -= 1

    def take(self, label):
        name, _, arguments = label.partition(" ")
        if name == "respond":
            self.respond(*arguments.split(" ", 1))
        else:
            getattr(self, name)(*arguments.split())

    def state(self):
        entries = zip(self.servers, self.sends.all, self.phases, strict=True)
        return State(
            self.call,
            tuple(
                (server, send.channel.number, phase, send.ran.value)
                for server, send, phase in entries
            ),
            tuple(self.simulation.arrived),
            tuple(self.simulation.copyable),
            self.simulation.copies_left,
            self.simulation.run_count,
        )


def walk(count):
    return follow(
        sends().transitions,
        Implementation,
        State,
        lambda state: state,
        random.Random(7),
        count,
        (3, 16),
    )


def test_decisions_conform_to_the_model():
    """A promise or a second send in the program that the model doesn't have."""
    taken = walk(WALK_COUNT)
    assert taken >= {"send", "read", "respond", "copy", "give_up", "end", "leave", "lose"}


def accept_any_status(send, info):
    if info.status not in NOT_RUN_STATUSES:
        return False
    send.ran = Ran.NO
    return True


@pytest.mark.parametrize(
    ("owner", "name", "replacement"),
    [
        (Sends, "may_begin", property(lambda self: True)),
        (Sends, "ran", property(lambda self: Ran.NO)),
        (Send, "match", lambda self, info: Match.OWN),
        (Send, "accept_rejection", accept_any_status),
    ],
)
def test_the_walks_find_broken_decisions(owner, name, replacement, monkeypatch):
    """Walks that compare nothing would pass with any program."""
    monkeypatch.setattr(owner, name, replacement)
    with pytest.raises(AssertionError):
        walk(WALK_COUNT)
