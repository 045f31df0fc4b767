"""Forward a call to sidecars until one responds."""

from .. import defaults, suspicion
from ..dispatch import Dispatch
from ..exceptions import Kind, Ran, RequestError
from ..frames import Failed
from ..http import cancel_on_disconnect
from ..relay import Relay
from . import filters

SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
NON_RETRYABLE_KINDS = (Kind.DEADLINE, Kind.ANSWER_TOO_LARGE)


def is_repeatable(call) -> bool:
    """Return whether a call is safe to run more than once."""
    if call.guarded:
        return False
    return bool(call.model) or call.exchange.method in SAFE_METHODS


def may_retry(env, call, relay: Relay, failed: Failed) -> bool:
    """Return whether a call may be retried on another endpoint after a failure.

    A retry is free if the request certainly did not run; any other is charged to the retry budget.
    """
    if relay.headers_sent or Kind(failed.kind) in NON_RETRYABLE_KINDS:
        return False
    if Ran(failed.ran) is Ran.NO:
        return True
    return is_repeatable(call) and env.retry_budget.withdraw()


@filters.register("forward")
async def forward(env, call, proceed) -> None:
    """Run the call until it has a response or the caller disconnects."""
    env.retry_budget.deposit()
    await cancel_on_disconnect(call.exchange, try_candidates, env, call)


async def try_candidates(env, call) -> None:
    """Try the candidates in order.

    :raises RequestError: with the last failure, when no candidate completes the call.
    """
    relay = Relay(call)
    failed = None
    for _ in range(defaults.MAX_DISPATCH_ATTEMPTS):
        if env.clock() >= call.deadline:
            raise RequestError(
                Kind.DEADLINE, "deadline passed before another endpoint could be tried", call.ran
            )
        endpoint = await suspicion.next_endpoint(env, call)
        if endpoint is None:
            break
        call.endpoint = endpoint.name
        failed = await Dispatch(env, call, endpoint, relay).run()
        if failed is None:
            call.record_ran(Ran.YES)
            await suspicion.finish_trial(env, call)
            return
        call.record_ran(Ran(failed.ran))
        suspicion.record_failure(call, failed.kind, Ran(failed.ran))
        if not may_retry(env, call, relay, failed):
            break
    if failed is None:
        raise RequestError(Kind.NO_ENDPOINT, "no candidate endpoint could be reached", call.ran)
    error = RequestError(Kind(failed.kind), failed.detail, call.ran)
    await relay.fail(error)
    raise error
