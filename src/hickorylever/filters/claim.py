"""Runs guarded calls: a claim is committed first, and only its attempt may run."""

import hashlib

from .. import defaults, suspicion
from ..decisions.guarded import AttemptEnd, GuardedCallFlow, Step
from ..dispatch import Dispatch
from ..exceptions import ConnectionLost, Kind, Ran
from ..frames import Failed
from ..records import Attempt, Endpoint
from ..relay import Relay
from . import filters

DIGEST_BYTES = 16


def digest(*parts: bytes) -> bytes:
    """Return a digest of parts, each with its length in front."""
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.digest()


def fingerprint(call) -> bytes:
    """Return the digest that tells whether a key is used for the same request."""
    exchange = call.exchange
    target = f"{exchange.method} {exchange.path}?{exchange.query}"
    return digest(call.application.name.encode(), target.encode(), call.body)


@filters.register("claim")
async def claim_call(env, call, proceed) -> None:
    """Let other calls pass; run a guarded one under its claim."""
    if not call.guarded:
        await proceed()
        return
    await Guarded(env, call).run()


class Guarded:
    """One guarded call on its way to an answer; its flow decides every step."""

    def __init__(self, env, call):
        self.env = env
        self.call = call
        key = digest(call.account.name.encode(), call.idempotency_key.encode("latin-1"))
        self.flow = GuardedCallFlow(key, fingerprint(call))
        self.tried = 0
        self.relay = Relay(call)
        self.dispatch: Dispatch | None = None
        self.attempt: Attempt | None = None

    async def run(self) -> None:
        """Answer the caller, or raise why not."""
        step = self.flow.begin()
        while step not in (Step.ANSWERED, Step.REFUSE):
            step = await STEPS[step](self)
        if self.flow.outcome is not None:
            self.env.claims.record(self.flow.current, self.flow.outcome)
        if step is Step.ANSWERED:
            self.call.record_ran(Ran.YES)
            await suspicion.finish_trial(self.env, self.call)
            return
        self.call.record_ran(self.flow.error.ran)
        await self.relay.fail(self.flow.error)
        raise self.flow.error

    async def propose(self) -> Step:
        """Prepare an attempt at the next endpoint whose sidecar answers."""
        if self.flow.reuses_endpoint():
            endpoint = self.dispatch.endpoint
        else:
            endpoint = await self.next_endpoint()
        while endpoint is not None:
            self.dispatch = Dispatch(self.env, self.call, endpoint, self.relay)
            if await self.learned():
                self.attempt = self.dispatch.new_attempt()
                return self.flow.on_attempt(self.attempt)
            endpoint = await self.next_endpoint()
        return self.flow.on_attempt(None)

    async def next_endpoint(self) -> Endpoint | None:
        """Return the next endpoint to try, None when there is none."""
        self.tried += 1
        if self.tried > defaults.MAX_DISPATCH_ATTEMPTS:
            return None
        return await suspicion.next_endpoint(self.env, self.call)

    async def learned(self) -> bool:
        """Tell whether the sidecar's incarnation and clock are known."""
        try:
            await self.dispatch.learn()
        except ConnectionLost:
            return False
        return True

    async def settle(self) -> Step:
        """Commit the flow's change."""
        claim = await self.env.claims.settle(self.flow.change, self.call.deadline)
        return self.flow.on_claim(claim)

    async def run_attempt(self) -> Step:
        """Run this call's own attempt."""
        self.call.endpoint = self.attempt.endpoint
        return self.end(await self.dispatch.run_once(self.dispatch.renew(self.attempt)))

    async def attach(self) -> Step:
        """Fetch the answer of the attempt in force, from its start."""
        claim = self.flow.current
        self.call.endpoint = claim.endpoint
        endpoint = self.find_endpoint(claim.endpoint)
        if endpoint is None:
            detail = "the endpoint that was to run the request is gone"
            return self.flow.on_end(AttemptEnd(Kind.ANSWER_LOST, Ran.UNKNOWN, detail))
        attempt = Attempt(
            id=claim.attempt,
            endpoint=claim.endpoint,
            incarnation=claim.incarnation,
            budget=0.0,
            work=0.0,
            stamp=claim.stamp,
            guarded=True,
        )
        return self.end(await Dispatch(self.env, self.call, endpoint, self.relay).attach(attempt))

    def find_endpoint(self, name: str) -> Endpoint | None:
        """Return an endpoint of the fleet, None when it is gone."""
        return next((entry for entry in self.env.fleet.endpoints if entry.name == name), None)

    def end(self, failed: Failed | None) -> Step:
        """Tell the flow how an attempt ended. Only a sidecar's frame has an incarnation."""
        if failed is None:
            return self.flow.on_answer()
        suspicion.note_failure(self.call, failed.kind, Ran(failed.ran))
        final = bool(failed.incarnation)
        return self.flow.on_end(
            AttemptEnd(Kind(failed.kind), Ran(failed.ran), failed.detail, final)
        )


STEPS = {
    Step.PROPOSE: Guarded.propose,
    Step.COMMIT: Guarded.settle,
    Step.RUN: Guarded.run_attempt,
    Step.ATTACH: Guarded.attach,
}
