"""Simulation of attempts and claims, with fault injection.

The benchmark or the fuzzer chooses the order of events; the decision code is the real one.
"""

import collections
import random

import msgspec

from ..decisions.claims import Action, Change, Claim
from ..decisions.guarded import AttemptEnd, GuardedCallFlow, Step
from ..decisions.outcomes import ExecutionEvidence, State
from ..exceptions import Kind, Ran
from ..records import Attempt
from .actors import Call, Message, PendingWrite, Router, Sidecar, Store

MAX_WORK = 50.0


class ProtocolSimulation:
    """Routers, sidecars and a store, connected by simulated messages and writes.

    :param rng: random generator of the endpoint selection.
    :param routers: number of routers.
    :param endpoints: number of endpoints.

    `violations` lists the safety violations found, `counts` the number of times each action ran.
    """

    def __init__(self, rng: random.Random, routers: int = 2, endpoints: int = 2):
        self.rng = rng
        self.now = 1000.0
        self.store = Store()
        self.serial = 0
        self.routers = [Router(f"router-{n}") for n in range(routers)]
        self.sidecars = [Sidecar(f"endpoint-{n}", self.new_name("i")) for n in range(endpoints)]
        self.calls: list[Call] = []
        self.messages: list[Message] = []
        self.writes: list[PendingWrite] = []
        self.executed: dict[str, Call] = {}
        self.run_counts: collections.Counter[bytes] = collections.Counter()
        self.reported_not_run: set[str] = set()
        self.delivered: set[str] = set()
        self.reported_counts: collections.Counter[str] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()
        self.violations: list[str] = []

    def new_name(self, prefix: str) -> str:
        """Return a new unique name."""
        self.serial += 1
        return f"{prefix}{self.serial}"

    def sidecar(self, name: str) -> Sidecar:
        """Return a sidecar by its endpoint's name."""
        return next(entry for entry in self.sidecars if entry.name == name)

    # Callers.

    def submit(self, router: Router, key: bytes, guarded: bool) -> Call:
        """Submit a request to a router."""
        self.counts["submit"] += 1
        call = Call(router, key, GuardedCallFlow(key, key) if guarded else None)
        self.calls.append(call)
        if call.flow is None:
            call.attempt = self.new_attempt(call)
            self.hand_over(call)
        else:
            self.advance(call, call.flow.begin())
        return call

    def advance(self, call: Call, step: Step) -> None:
        """Advance a call's flow until it has to wait."""
        while step is Step.PROPOSE:
            call.proposal_count += 1
            attempt = self.new_attempt(call) if call.proposal_count <= 4 else None
            call.proposal = attempt
            step = call.flow.on_attempt(attempt)
        if step is Step.COMMIT:
            call.router.waiting.append(call)
        elif step is Step.RUN:
            call.attempt = call.proposal
            self.hand_over(call)
        elif step is Step.ATTACH:
            call.attempt = self.claimed_attempt(call.flow.current)
            call.evidence = ExecutionEvidence(addressed=True, handed_over=True)
            call.attempt_ids.add(call.attempt.id)
            self.ask(call)
        elif step is Step.ANSWERED:
            self.respond(call, Ran.YES)
        elif step is Step.REFUSE:
            self.respond(call, call.flow.error.ran)

    def new_attempt(self, call: Call) -> Attempt:
        """Return an attempt at a random endpoint, with its cached incarnation and clock."""
        endpoint = self.rng.choice(self.sidecars).name
        incarnation, stamp = call.router.known_sidecars.get(endpoint, ("", 0.0))
        guarded = call.flow is not None
        return Attempt(self.new_name("a"), endpoint, incarnation, 1.0, 1.0, stamp, guarded=guarded)

    def claimed_attempt(self, claim: Claim) -> Attempt:
        """Return the attempt recorded in a claim."""
        return Attempt(
            claim.attempt, claim.endpoint, claim.incarnation, 0.0, 0.0, claim.stamp, guarded=True
        )

    def respond(self, call: Call, ran: Ran) -> None:
        """Report the execution state to the caller and check it against the executions."""
        call.reported_ran = ran
        self.calls.remove(call)
        self.reported_counts[ran.value] += 1
        flow = call.flow
        if flow is not None and flow.outcome is not None:
            call.router.waiting.append(call)
        if ran is Ran.NO:
            self.reported_not_run |= call.attempt_ids
            if call.attempt_ids & self.executed.keys():
                self.violations.append(f"{call.key!r} was reported as not run, but had run")
        if ran is Ran.YES and not self.run_counts[call.key]:
            self.violations.append(f"{call.key!r} was reported as run, but had not run")

    # Messages between routers and sidecars.

    def learn(self, router: Router, sidecar: Sidecar) -> None:
        """Update a router's cached incarnation and clock of a sidecar."""
        self.counts["learn"] += 1
        router.known_sidecars[sidecar.name] = (sidecar.table.incarnation, self.now)

    def hand_over(self, call: Call) -> None:
        """Send a call's attempt to its sidecar."""
        call.evidence = ExecutionEvidence(
            addressed=bool(call.attempt.incarnation)
        ).with_hand_over()
        call.attempt_ids.add(call.attempt.id)
        self.send("hand_over", call)

    def ask(self, call: Call) -> None:
        """Query the state of a call's attempt on a new connection."""
        self.send("ask", call)

    def send(self, kind: str, call: Call) -> None:
        """Send a message on a new connection; replies on older connections are discarded."""
        call.connection += 1
        self.messages.append(Message(kind, call, call.attempt, call.connection))

    def lose(self, message: Message) -> None:
        """Drop a message in transit."""
        self.counts["lose"] += 1
        self.messages.remove(message)

    def duplicate(self, message: Message) -> None:
        """Add a duplicate of a message in transit."""
        self.counts["duplicate"] += 1
        copied = Message(message.kind, message.call, message.attempt, 0, True, message.reply)
        self.messages.append(copied)

    def deliver(self, message: Message) -> None:
        """Deliver a message; messages may be reordered."""
        self.counts[f"deliver_{message.kind}"] += 1
        self.messages.remove(message)
        DELIVERY_HANDLERS[message.kind](self, message)

    def deliver_hand_over(self, message: Message) -> None:
        """Have a sidecar admit or refuse an attempt."""
        self.delivered.add(message.attempt.id)
        sidecar = self.sidecar(message.attempt.endpoint)
        refusal = sidecar.table.admit(message.attempt, MAX_WORK, self.now)
        if refusal is None:
            sidecar.live[message.attempt.id] = message
            sidecar.waiting[message.attempt.id].append(message)
        else:
            self.reply(message, AttemptEnd(refusal.kind, refusal.ran, refusal.detail, True))

    def deliver_ask(self, message: Message) -> None:
        """Reply with the response of an attempt once it is available, or with its state."""
        attempt = message.attempt
        sidecar = self.sidecar(attempt.endpoint)
        same = attempt.incarnation == sidecar.table.incarnation
        if same and attempt.id in sidecar.live:
            sidecar.waiting[attempt.id].append(message)
        elif same and attempt.id in sidecar.retained:
            self.reply(message, None)
        else:
            refusal = sidecar.table.cancel_with_reason(
                attempt.id, attempt.incarnation, self.now, stamp=attempt.stamp
            )
            self.reply(message, AttemptEnd(refusal.kind, refusal.ran, refusal.detail, True))

    def reply(self, message: Message, ended: AttemptEnd | None) -> None:
        """Reply to a message; None for `ended` stands for a complete response."""
        if message.is_duplicate:
            return
        back = Message("reply", message.call, message.attempt, message.connection, reply=ended)
        self.messages.append(back)

    def deliver_reply(self, message: Message) -> None:
        """Deliver a reply to its call, unless the call has ended or uses a newer connection."""
        call = message.call
        if (
            call.reported_ran is not None
            or message.is_duplicate
            or message.connection != call.connection
        ):
            return
        if message.reply is None:
            self.handle_response(call, message)
        else:
            self.update_incarnation(call, message)
            call.evidence = call.evidence.with_report(message.reply.ran)
            self.handle_end(call, message.reply)

    def handle_response(self, call: Call, message: Message) -> None:
        """Handle a complete response."""
        source = self.executed.get(message.attempt.id)
        if source is None or source.key != call.key:
            self.violations.append(f"{call.key!r} got the response of another request")
        if call.flow is None:
            self.respond(call, Ran.YES)
        else:
            self.advance(call, call.flow.on_answer())

    def update_incarnation(self, call: Call, message: Message) -> None:
        """Update the router's incarnation and clock from the frame of a failure."""
        self.learn(call.router, self.sidecar(message.attempt.endpoint))

    def handle_end(self, call: Call, ended: AttemptEnd) -> None:
        """Handle the end of an attempt without a response."""
        if call.flow is None:
            self.respond(call, call.evidence.ran())
        else:
            final = AttemptEnd(ended.kind, call.evidence.ran(), ended.detail, ended.confirmed)
            self.advance(call, call.flow.on_end(final))

    def give_up(self, call: Call) -> None:
        """Have a router end a call whose sidecar is unreachable."""
        self.counts["give_up"] += 1
        call.connection += 1
        self.handle_end(call, AttemptEnd(Kind.ANSWER_LOST, call.evidence.ran()))

    # Endpoints and sidecars.

    def run(self, sidecar: Sidecar, attempt: str) -> None:
        """Start an admitted attempt, finish a running one or end a cancelled one."""
        state = sidecar.table.entries[attempt].state
        if state is State.ADMITTED:
            self.start(sidecar, attempt)
        elif state is State.RUNNING:
            self.counts["finish"] += 1
            sidecar.table.finish(attempt, self.now)
            sidecar.retained.add(attempt)
            self.release(sidecar, attempt, None)
        else:
            self.release(sidecar, attempt, AttemptEnd(Kind.CANCELLED, Ran.NO, confirmed=True))

    def start(self, sidecar: Sidecar, attempt: str) -> None:
        """Execute an attempt's request at the endpoint."""
        self.counts["start"] += 1
        if not sidecar.table.start(attempt, self.now):
            return
        call = sidecar.live[attempt].call
        self.executed[attempt] = call
        self.run_counts[call.key] += 1
        if call.flow is not None and self.run_counts[call.key] > 1:
            self.violations.append(f"{call.key!r} ran {self.run_counts[call.key]} times")
        if attempt in self.reported_not_run:
            self.violations.append(f"{call.key!r} was reported as not run, but ran later")

    def crash(self, sidecar: Sidecar, attempt: str) -> None:
        """Crash the endpoint that runs an attempt."""
        self.counts["crash"] += 1
        sidecar.table.apply_action(attempt, "cancel", self.now)
        sidecar.table.crash(attempt, self.now)
        ran = sidecar.table.ran(attempt)
        self.release(sidecar, attempt, AttemptEnd(Kind.ENDPOINT_FAILED, ran, confirmed=True))

    def release(self, sidecar: Sidecar, attempt: str, ended: AttemptEnd | None) -> None:
        """End an attempt and reply to all messages that wait for it."""
        del sidecar.live[attempt]
        for message in sidecar.waiting.pop(attempt, ()):
            self.reply(message, ended)

    def drop_responses(self, sidecar: Sidecar) -> None:
        """Discard the retained responses of a sidecar."""
        self.counts["drop_responses"] += 1
        sidecar.retained.clear()

    def restart_sidecar(self, sidecar: Sidecar) -> None:
        """Restart a sidecar, which loses its attempts and closes its connections.

        A duplicate uses the connection of the original message and is dropped with it.
        """
        self.counts["restart_sidecar"] += 1
        self.messages = [m for m in self.messages if not self.uses_accepted_connection(m, sidecar)]
        sidecar.restart(self.new_name("i"))

    def uses_accepted_connection(self, message: Message, sidecar: Sidecar) -> bool:
        """Return whether a message uses a connection that the restarted sidecar had accepted."""
        if message.kind != "hand_over" or message.attempt.endpoint != sidecar.name:
            return False
        return message.attempt.id in self.delivered

    def restart_router(self, router: Router) -> None:
        """Restart a router. Its callers get no response; its messages stay in transit."""
        self.counts["restart_router"] += 1
        for call in [call for call in self.calls if call.router is router]:
            call.connection += 1
            self.calls.remove(call)
        router.restart()

    def pass_time(self, seconds: float) -> None:
        """Advance the clock and expire old entries of the attempt tables."""
        self.counts["pass_time"] += 1
        self.now += seconds
        for sidecar in self.sidecars:
            sidecar.table.expire(self.now)

    # Writes from routers to the store.

    def begin_write(self, router: Router) -> None:
        """Send a write with a router's queued changes, or refuse the calls during an outage."""
        calls, router.waiting = router.waiting, []
        self.counts["begin_write"] += 1
        if not router.shard.is_loaded():
            if self.store.outage:
                self.refuse_claims(calls)
                return
            self.store.load(router.shard, self.now)
        write = router.shard.prepare_write([self.change(call) for call in calls], self.now)
        pending = PendingWrite(router, write, calls)
        if not write.needed:
            self.resume_calls(pending)
            return
        router.pending_write = pending
        self.writes.append(pending)

    def change(self, call: Call) -> Change:
        """Return the change to commit for a waiting call."""
        flow = call.flow
        if call.reported_ran is None:
            return flow.change
        done = msgspec.structs.replace(flow.current, outcome=flow.outcome.value)
        return Change(Action.RECORD.value, done)

    def refuse_claims(self, calls: list[Call]) -> None:
        """Refuse calls whose claims can't be written."""
        self.counts["claims_unavailable"] += 1
        for call in calls:
            if call.reported_ran is None and call in self.calls:
                self.respond(call, Ran.NO)

    def land(self, pending: PendingWrite, lose_reply: bool) -> None:
        """Apply a write at the store; writes may be reordered."""
        self.writes.remove(pending)
        if self.store.outage:
            self.counts["refuse_write"] += 1
            return
        self.counts["land"] += 1
        stored = self.store.put(pending.write)
        router = pending.router
        if lose_reply:
            self.counts["lose_reply"] += 1
        if lose_reply or router.pending_write is not pending:
            return
        router.pending_write = None
        if stored:
            router.shard.commit(pending.write, self.store.version, self.now)
            self.resume_calls(pending)
        else:
            self.counts["conflict"] += 1
            self.requeue(router, pending)

    def time_out(self, router: Router) -> None:
        """Time out a router's pending write, which may still be applied later."""
        self.counts["time_out"] += 1
        pending, router.pending_write = router.pending_write, None
        self.requeue(router, pending)

    def requeue(self, router: Router, pending: PendingWrite) -> None:
        """Invalidate the cached shard and queue the changes of a failed write again."""
        router.shard.invalidate()
        router.waiting = pending.calls + router.waiting

    def resume_calls(self, pending: PendingWrite) -> None:
        """Continue the calls of a committed write with the resulting claims."""
        for call, claim in zip(pending.calls, pending.write.results, strict=True):
            if call.reported_ran is None and call in self.calls:
                self.advance(call, call.flow.on_claim(claim))


DELIVERY_HANDLERS = {
    "hand_over": ProtocolSimulation.deliver_hand_over,
    "ask": ProtocolSimulation.deliver_ask,
    "reply": ProtocolSimulation.deliver_reply,
}
