"""Runs guarded calls: a claim is committed first, and only its attempt may run."""

import hashlib
import itertools

from .. import defaults
from ..decisions.claims import Action, Change, Claim, Outcome
from ..dispatch import Dispatch
from ..exceptions import ConnectionLost, Kind, Ran, RequestError
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
    """One guarded call on its way to an answer.

    :param proposal: the claim that this call made last.
    :param current: the claim in force for the key.
    """

    def __init__(self, env, call):
        self.env = env
        self.call = call
        self.key = digest(call.account.name.encode(), call.key.encode("latin-1"))
        self.fingerprint = fingerprint(call)
        self.candidates = itertools.islice(call.candidates, defaults.MAX_HANDOVERS)
        self.relay = Relay(call)
        self.dispatch: Dispatch | None = None
        self.attempt: Attempt | None = None
        self.proposal: Claim | None = None
        self.current: Claim | None = None

    async def run(self) -> None:
        """Answer the caller, or raise why not."""
        await self.propose()
        await self.settle(Action.CLAIM, "")
        for _ in range(defaults.MAX_CLAIM_STEPS):
            failed = await self.follow()
            if failed is None:
                self.finish(Outcome.RAN)
                self.call.note(Ran.YES)
                return
            await self.end_unless_not_run(failed)
            if self.mine():
                await self.propose(failed)
            await self.settle(Action.TAKE_OVER, self.current.attempt)
        raise RequestError(Kind.STILL_RUNNING, "other repeats of it are under way", Ran.UNKNOWN)

    def mine(self) -> bool:
        """Tell whether the claim in force is this call's own."""
        return self.current.attempt == self.proposal.attempt

    async def propose(self, failed: Failed | None = None) -> None:
        """Prepare an attempt at the next candidate whose sidecar answers."""
        if failed is not None and failed.kind == Kind.WRONG_INCARNATION:
            self.candidates = itertools.chain([self.dispatch.endpoint], self.candidates)
        for endpoint in self.candidates:
            self.dispatch = Dispatch(self.env, self.call, endpoint, self.relay)
            try:
                await self.dispatch.learn()
            except ConnectionLost:
                continue
            self.attempt = self.dispatch.new_attempt()
            return
        if failed is None:
            raise RequestError(Kind.NO_ENDPOINT, "no endpoint could be reached")
        raise RequestError(Kind(failed.kind), failed.detail)

    async def settle(self, action: Action, expected: str) -> None:
        """Commit this call's claim, or learn which one is in force."""
        attempt = self.attempt
        generation = self.current.generation + 1 if self.current else 1
        self.proposal = Claim(
            key=self.key,
            fingerprint=self.fingerprint,
            attempt=attempt.id,
            endpoint=attempt.endpoint,
            incarnation=attempt.incarnation,
            stamp=attempt.stamp,
            generation=generation,
        )
        change = Change(action.value, self.proposal, expected)
        self.current = await self.env.claims.settle(change, self.call.deadline)
        if self.current.fingerprint != self.fingerprint:
            raise RequestError(Kind.KEY_REUSED)

    async def follow(self) -> Failed | None:
        """Run the claim's attempt if it is this call's, else fetch its answer."""
        self.call.endpoint = self.current.endpoint
        if self.mine():
            return await self.dispatch.run_once(self.dispatch.renew(self.attempt))
        if self.current.outcome == Outcome.UNKNOWN:
            detail = "it is not known whether the request ran; it is listed for the operator"
            raise RequestError(Kind.ANSWER_LOST, detail, Ran.UNKNOWN)
        endpoint = self.endpoint()
        if endpoint is None:
            return self.lost()
        claim = self.current
        dispatch = Dispatch(self.env, self.call, endpoint, self.relay)
        attempt = Attempt(
            id=claim.attempt,
            endpoint=claim.endpoint,
            incarnation=claim.incarnation,
            budget=0.0,
            work=0.0,
            stamp=claim.stamp,
            guarded=True,
        )
        return await dispatch.attach(attempt)

    def endpoint(self) -> Endpoint | None:
        """Return the endpoint of the claim in force, None when it is gone."""
        name = self.current.endpoint
        return next((entry for entry in self.env.fleet.endpoints if entry.name == name), None)

    def lost(self) -> Failed:
        """Return the failure of a claim whose endpoint is not in the fleet any more."""
        attempt = self.current.attempt
        detail = "the endpoint that was to run the request is gone"
        kind = Kind.WRONG_INCARNATION.value
        return Failed(attempt, kind, Ran.UNKNOWN.value, detail, "", 0.0, 0, 0.0)

    async def end_unless_not_run(self, failed: Failed) -> None:
        """Raise the final error unless the claim's attempt surely did not run.

        A stored "ran" outweighs whatever is known of the attempt now.
        """
        ran = Ran(failed.ran)
        if self.current.outcome == Outcome.RAN:
            ran = Ran.YES
        if ran is Ran.NO:
            return
        self.call.note(ran)
        if ran is Ran.YES:
            self.finish(Outcome.RAN)
            error = RequestError(Kind.ALREADY_RAN, "its answer is not kept any more", ran)
        else:
            error = self.unresolved(failed)
        await self.relay.fail(error)
        raise error

    def unresolved(self, failed: Failed) -> RequestError:
        """Return the error for an unknown end, and record it when it will stay unknown."""
        if failed.incarnation or failed.kind == Kind.WRONG_INCARNATION:
            self.finish(Outcome.UNKNOWN)
        kind = Kind(failed.kind)
        kind = Kind.ANSWER_LOST if kind is Kind.WRONG_INCARNATION else kind
        return RequestError(kind, failed.detail, Ran.UNKNOWN)

    def finish(self, outcome: Outcome) -> None:
        """Record the outcome of the claim in force."""
        self.env.claims.record(self.current, outcome)
