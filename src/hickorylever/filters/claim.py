"""Run guarded calls: a claim is committed first, and only the claimed attempt may run."""

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
    """Return a digest of byte strings, each prefixed by its length so that boundaries count."""
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.digest()


def fingerprint(call) -> bytes:
    """Return the digest of a request, which must be equal whenever its key is used again."""
    exchange = call.exchange
    target = f"{exchange.method} {exchange.path}?{exchange.query}"
    return digest(call.application.name.encode(), target.encode(), call.body)


@filters.register("claim")
async def claim_call(env, call, proceed) -> None:
    """Run a guarded call under its claim; pass any other call on."""
    if not call.guarded:
        await proceed()
        return
    await GuardedCall(env, call).run()


class GuardedCall:
    """Executes the steps that :class:`GuardedCallFlow` decides for one guarded call."""

    def __init__(self, env, call):
        self.env = env
        self.call = call
        key = digest(call.account.name.encode(), call.idempotency_key.encode("latin-1"))
        self.flow = GuardedCallFlow(key, fingerprint(call))
        self.endpoints_tried = 0
        self.relay = Relay(call)
        self.dispatch: Dispatch | None = None
        self.attempt: Attempt | None = None

    async def run(self) -> None:
        """Send the response to the caller.

        :raises RequestError: when there is no response to send.
        """
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
        """Prepare an attempt at the next endpoint whose sidecar responds."""
        if self.flow.reuses_endpoint():
            endpoint = self.dispatch.endpoint
        else:
            endpoint = await self.next_endpoint()
        while endpoint is not None:
            self.dispatch = Dispatch(self.env, self.call, endpoint, self.relay)
            if await self.try_refresh_clock_sample():
                self.attempt = self.dispatch.new_attempt()
                return self.flow.on_attempt(self.attempt)
            endpoint = await self.next_endpoint()
        return self.flow.on_attempt(None)

    async def next_endpoint(self) -> Endpoint | None:
        """Return the next endpoint to try, or None when none is left."""
        self.endpoints_tried += 1
        if self.endpoints_tried > defaults.MAX_DISPATCH_ATTEMPTS:
            return None
        return await suspicion.next_endpoint(self.env, self.call)

    async def try_refresh_clock_sample(self) -> bool:
        """Return whether the incarnation and clock of the sidecar are known."""
        try:
            await self.dispatch.refresh_clock_sample()
        except ConnectionLost:
            return False
        return True

    async def settle(self) -> Step:
        """Commit the change of the claim that the flow requests."""
        claim = await self.env.claims.settle(self.flow.change, self.call.deadline)
        return self.flow.on_claim(claim)

    async def run_attempt(self) -> Step:
        """Run the attempt that this call has claimed."""
        self.call.endpoint = self.attempt.endpoint
        return self.report_end(
            await self.dispatch.run_once(self.dispatch.with_current_budget(self.attempt))
        )

    async def attach(self) -> Step:
        """Fetch the response of the claimed attempt from its first byte."""
        claim = self.flow.current
        self.call.endpoint = claim.endpoint
        endpoint = self.find_endpoint(claim.endpoint)
        if endpoint is None:
            detail = "the endpoint that the request was sent to is no longer in the configuration"
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
        return self.report_end(
            await Dispatch(self.env, self.call, endpoint, self.relay).attach(attempt)
        )

    def find_endpoint(self, name: str) -> Endpoint | None:
        """Return an endpoint of the configuration in force, or None."""
        return next((entry for entry in self.env.fleet.endpoints if entry.name == name), None)

    def report_end(self, failed: Failed | None) -> Step:
        """Report the end of an attempt to the flow.

        The end is confirmed if the sidecar reported it: only its frames carry an incarnation.
        """
        if failed is None:
            return self.flow.on_answer()
        suspicion.record_failure(self.call, failed.kind, Ran(failed.ran))
        confirmed = bool(failed.incarnation)
        return self.flow.on_end(
            AttemptEnd(Kind(failed.kind), Ran(failed.ran), failed.detail, confirmed)
        )


STEPS = {
    Step.PROPOSE: GuardedCall.propose,
    Step.COMMIT: GuardedCall.settle,
    Step.RUN: GuardedCall.run_attempt,
    Step.ATTACH: GuardedCall.attach,
}
