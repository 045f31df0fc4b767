"""Hands the call to sidecars until one answers."""

from .. import defaults, suspicion
from ..dispatch import Dispatch
from ..exceptions import Kind, Ran, RequestError
from ..frames import Failed
from ..http import cancel_on_disconnect
from ..relay import Relay
from . import filters

REPEATABLE_METHODS = ("GET", "HEAD", "OPTIONS")
FINAL_KINDS = (Kind.DEADLINE, Kind.ANSWER_TOO_LARGE)


def repeatable(call) -> bool:
    """Tell whether running a call twice does no harm."""
    if call.guarded:
        return False
    return bool(call.model) or call.exchange.method in REPEATABLE_METHODS


def may_retry(env, call, relay: Relay, failed: Failed) -> bool:
    """Tell whether another endpoint may be tried after a failure.

    A request that surely did not run costs nothing to move; any other takes from the budget.
    """
    if relay.begun or Kind(failed.kind) in FINAL_KINDS:
        return False
    if Ran(failed.ran) is Ran.NO:
        return True
    return repeatable(call) and env.retries.withdraw()


@filters.register("forward")
async def forward(env, call, proceed) -> None:
    """Run the call until it is answered, or until the caller goes away."""
    env.retries.deposit()
    await cancel_on_disconnect(call.exchange, try_candidates, env, call)


async def try_candidates(env, call) -> None:
    """Try the candidates in order; raise the last failure when none answers."""
    relay = Relay(call)
    failed = None
    for _ in range(defaults.MAX_DISPATCH_ATTEMPTS):
        if env.clock() >= call.deadline:
            raise RequestError(Kind.DEADLINE, "no time is left", call.ran)
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
        suspicion.note_failure(call, failed.kind, Ran(failed.ran))
        if not may_retry(env, call, relay, failed):
            break
    if failed is None:
        raise RequestError(Kind.NO_ENDPOINT, "no endpoint could be reached", call.ran)
    error = RequestError(Kind(failed.kind), failed.detail, call.ran)
    await relay.fail(error)
    raise error
