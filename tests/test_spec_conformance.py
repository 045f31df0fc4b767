import random

from walks import follow

from hickorylever.bench.actors import Sidecar
from hickorylever.bench.simulation import ProtocolSimulation
from spec.claims import CallState, PendingWrite, State, claims

WALK_COUNT = 600


class SidecarChoice:
    """Replaces the random generator: each call's attempt goes to its own sidecar."""

    sidecar_number = 0

    def choice(self, entries):
        return entries[self.sidecar_number]


class Implementation:
    """The program's decisions with two routers, two sidecars and one key."""

    def __init__(self):
        self.sidecar_choice = SidecarChoice()
        self.simulation = ProtocolSimulation(self.sidecar_choice, routers=2, endpoints=2)
        for router in self.simulation.routers:
            for sidecar in self.simulation.sidecars:
                self.simulation.learn(router, sidecar)
        self.incarnations = [sidecar.table.incarnation for sidecar in self.simulation.sidecars]
        self.calls = [None, None]
        self.own_attempts = ["", ""]

    def submit(self, n):
        self.sidecar_choice.sidecar_number = n
        self.calls[n] = call = self.simulation.submit(self.simulation.routers[n], b"k", True)
        self.own_attempts[n] = call.proposal.id
        call.proposal_count = 4  # So that the call proposes no further endpoint.

    def land_late(self, n, base):
        """Apply every late write with this base, since the model represents equal ones once."""
        router = self.simulation.routers[n]
        for pending in list(self.simulation.writes):
            late = pending.router is router and pending is not router.pending_write
            if late and pending.write.base == base:
                self.simulation.land(pending, False)

    def land(self, n, late):
        if late:
            self.land_late(n, int(late[-1]))
        else:
            self.simulation.land(self.simulation.routers[n].pending_write, False)

    def claims_unavailable(self, n):
        router = self.simulation.routers[n]
        waiting, router.waiting = router.waiting, []
        self.simulation.refuse_claims(waiting)

    def ask(self, n):
        call = self.calls[n]
        if not self.messages("ask", call):
            self.simulation.ask(call)
        self.simulation.deliver(self.messages("ask", call)[0])
        self.replies(call)

    def messages(self, kind, call):
        return [
            message
            for message in self.simulation.messages
            if (message.kind, message.call) == (kind, call)
            and message.connection == call.connection
        ]

    def replies(self, call):
        for message in self.messages("reply", call):
            self.simulation.deliver(message)

    def hand_over(self, n):
        return next(
            message
            for message in self.simulation.messages
            if message.kind == "hand_over" and message.attempt.id == self.own_attempts[n]
        )

    def deliver_hand_over(self, n):
        message = self.hand_over(n)
        self.simulation.deliver(message)
        if self.own_attempts[n] in self.simulation.sidecars[n].live:
            self.run(n)
        self.replies(message.call)

    def run(self, n):
        self.simulation.run(self.simulation.sidecars[n], self.own_attempts[n])

    def take(self, label):
        """Perform the action that the model's label names."""
        name, number, *late = label.split()
        n = int(number) - 1
        simulation = self.simulation
        actions = {
            "begin_write": lambda: simulation.begin_write(simulation.routers[n]),
            "land": lambda: self.land(n, late),
            "lose_reply": lambda: simulation.land(simulation.routers[n].pending_write, True),
            "time_out": lambda: simulation.time_out(simulation.routers[n]),
            "give_up": lambda: simulation.give_up(self.calls[n]),
            "lose": lambda: simulation.lose(self.hand_over(n)),
            "finish": lambda: self.run(n),
            "crash": lambda: simulation.crash(simulation.sidecars[n], self.own_attempts[n]),
            "restart_sidecar": lambda: simulation.restart_sidecar(simulation.sidecars[n]),
        }
        if name in actions:
            actions[name]()
        else:
            getattr(self, name)(n)

    def attempt_number(self, attempt):
        return (
            self.own_attempts.index(attempt) + 1 if attempt in self.own_attempts and attempt else 0
        )

    def entry(self, n, sidecar: Sidecar):
        if sidecar.table.incarnation != self.incarnations[n]:
            return "gone"
        entry = sidecar.table.entries.get(self.own_attempts[n])
        return entry.state.value if entry else ""

    def attempt_in_force(self, claim):
        return self.attempt_number(claim.attempt) if claim else 0

    def call_state(self, n):
        simulation, router, call = self.simulation, self.simulation.routers[n], self.calls[n]
        shard = router.shard
        known = (
            (shard.version, self.attempt_in_force(shard.claims_in_force.get(b"k")))
            if shard.is_loaded()
            else None
        )
        sent = any(
            m.kind == "hand_over" and m.attempt.id == self.own_attempts[n]
            for m in simulation.messages
        )
        fields = {
            "known": known,
            "hand_over_pending": sent,
            "entry": self.entry(n, simulation.sidecars[n]),
        }
        fields["ran"] = self.own_attempts[n] in simulation.executed
        if call is None:
            return CallState(**fields)
        phase = "following"
        if call.reported_ran is not None:
            phase = call.reported_ran.value
        elif call in router.waiting:
            phase = "waiting"
        elif router.pending_write is not None:
            phase = "writing"
        following = phase == "following"
        target = self.attempt_number(call.flow.current.attempt) if following else 0
        expected = (
            0
            if phase in ("no", "yes", "unknown")
            else self.attempt_number(call.flow.change.expected)
        )
        return CallState(phase=phase, expected=expected, followed_attempt=target, **fields)

    def state(self):
        store = self.simulation.store
        pending_writes = frozenset(
            PendingWrite(
                self.simulation.routers.index(f.router) + 1,
                f.write.base,
                f.router.pending_write is f,
            )
            for f in self.simulation.writes
        )
        call_states = (self.call_state(0), self.call_state(1))
        attempt_in_force = self.attempt_in_force(store.head.claims[-1]) if store.head.claims else 0
        return State(call_states, store.version, attempt_in_force, pending_writes)


def comparable(state):
    """Return the state without the query count and without fields of phases that have ended."""
    call_states = []
    for call in state.call_states:
        call = call._replace(query_count=0)
        if call.phase != "following":
            call = call._replace(followed_attempt=0)
        if call.phase in ("no", "yes", "unknown"):
            call = call._replace(expected=0)
        call_states.append(call)
    return state._replace(call_states=tuple(call_states))


def test_implementation_conforms_to_model():
    rng = random.Random(5)
    transitions = claims().transitions
    taken = follow(transitions, Implementation, State, comparable, rng, WALK_COUNT, (6, 30))
    assert taken >= {
        "land",
        "lose_reply",
        "time_out",
        "ask",
        "deliver_hand_over",
        "finish",
        "crash",
    }
