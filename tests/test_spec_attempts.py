import random

import pytest
from models import assert_holds, refuted
from walks import follow

from hickorylever.bench.actors import TOMBSTONE_LIFETIME_SECONDS
from hickorylever.bench.simulation import ProtocolSimulation
from spec.attempts import State, attempts

BROKEN_VARIANTS = [
    "no_tombstone",
    "no_stamp",
    "forgotten_is_not_run",
    "known_is_not_run",
    "any_incarnation",
    "stale_is_not_run",
]
WALK_COUNT = 400
STEP_SECONDS = TOMBSTONE_LIFETIME_SECONDS / 2 + 1


def test_invariants_hold():
    assert_holds(attempts())


@pytest.mark.parametrize("variant", BROKEN_VARIANTS)
def test_broken_variant_has_a_counterexample(variant):
    assert refuted(attempts(variant))


class Implementation:
    """The program's decisions in a simulation with one router, one sidecar and one call."""

    def __init__(self):
        self.simulation = ProtocolSimulation(random.Random(0), routers=1, endpoints=1)
        self.router, self.sidecar = self.simulation.routers[0], self.simulation.sidecars[0]
        self.simulation.learn(self.router, self.sidecar)
        self.call = None
        self.incarnation = self.sidecar.table.incarnation
        self.stamp = self.simulation.now

    def hand_over(self):
        self.call = self.simulation.submit(self.router, b"k", False)

    def find(self, kind, copy=False):
        return next(
            message
            for message in self.simulation.messages
            if (message.kind, message.is_duplicate) == (kind, copy) and self.is_current(message)
        )

    def is_current(self, message):
        if message.kind == "hand_over":
            return True
        return message.connection == self.call.connection

    def run(self):
        self.simulation.run(self.sidecar, self.call.attempt.id)

    def pass_time(self):
        self.simulation.now += STEP_SECONDS

    def expire(self):
        self.simulation.now += 2 * STEP_SECONDS
        self.sidecar.table.expire(self.simulation.now)

    def restart(self):
        self.simulation.restart_sidecar(self.sidecar)

    def take(self, label):
        """Perform the action that the model's label names."""
        name, _, which = label.partition(" ")
        simulation = self.simulation
        actions = {
            "hand_over": self.hand_over,
            "ask": lambda: simulation.ask(self.call),
            "give_up": lambda: simulation.give_up(self.call),
            "deliver_reply": lambda: simulation.deliver(self.find("reply")),
            "deliver_ask": lambda: simulation.deliver(self.find("ask")),
            "deliver_hand_over": lambda: simulation.deliver(
                self.find("hand_over", which == "copy")
            ),
            "duplicate": lambda: simulation.duplicate(self.find("hand_over")),
            "lose": lambda: simulation.lose(
                self.find("reply") if which == "reply" else self.find("hand_over", which == "copy")
            ),
            "start": self.run,
            "finish": self.run,
            "crash": lambda: simulation.crash(self.sidecar, self.call.attempt.id),
            "expire": self.expire,
            "pass_time": self.pass_time,
            "restart_sidecar": self.restart,
        }
        actions[name]()

    def state(self):
        """Return the model's view of the simulation."""
        call, table = self.call, self.sidecar.table
        restarted = table.incarnation != self.incarnation
        age = min(2, int((self.simulation.now - self.stamp) // STEP_SECONDS))
        if call is None:
            return State(restarted=restarted, age=age)
        messages = [m for m in self.simulation.messages if m.call is call]
        live = call.reported_ran is None
        entry = table.entries.get(call.attempt.id)
        replies = [
            m.reply.ran.value if m.reply else "yes" for m in messages if self.is_current_reply(m)
        ]
        waiting = self.sidecar.waiting.get(call.attempt.id, ())
        return State(
            call_state=call.reported_ran.value if call.reported_ran else "waiting",
            hand_over_pending=any(m.kind == "hand_over" and not m.is_duplicate for m in messages),
            duplicate_pending=any(m.kind == "hand_over" and m.is_duplicate for m in messages),
            delivered=call.attempt.id in self.simulation.delivered,
            query_pending=live and any(m.kind == "ask" and self.is_current(m) for m in messages),
            reply_expected=live and any(m.connection == call.connection for m in waiting),
            first_connection=call.connection == 1,
            reply=replies[-1] if replies else "",
            entry=entry.state.value if entry else "",
            restarted=restarted,
            age=age,
            run_count=self.simulation.run_counts[b"k"],
        )

    def is_current_reply(self, message):
        alive = self.call.reported_ran is None and message.connection == self.call.connection
        return message.kind == "reply" and alive


def comparable(state):
    """Return the state without fields that only matter while the call waits."""
    if state.call_state in ("new", "waiting"):
        return state
    return state._replace(
        first_connection=False, reply_expected=False, reply="", query_pending=False
    )


def test_implementation_conforms_to_model():
    rng = random.Random(11)
    transitions = attempts().transitions
    taken = follow(transitions, Implementation, State, comparable, rng, WALK_COUNT, (4, 24))
    assert taken >= {"expire", "crash", "deliver_reply"}
