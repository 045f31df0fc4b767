"""Requests that must never repeat."""

from ..exceptions import Kind, RequestError
from ..http import header
from ..records import Guard
from . import filters
from .authorise import belongs


def matches(guard: Guard, call) -> bool:
    """Tell whether a rule covers a call. Empty fields of the rule match everything."""
    tests = (
        (guard.application, lambda: guard.application == call.application.name),
        (guard.model, lambda: guard.model == call.model),
        (guard.methods, lambda: call.exchange.method in guard.methods),
        (guard.path, lambda: belongs(call.exchange.path, guard.path)),
    )
    return all(test() for field, test in tests if field)


def find_guard(env, call) -> Guard | None:
    """Return the first rule that covers a call."""
    return next((guard for guard in env.fleet.guards if matches(guard, call)), None)


@filters.register("guard")
async def guard_call(env, call, proceed) -> None:
    """Refuse a guarded call without an Idempotency-Key."""
    call.idempotency_key = header(call.exchange.headers, b"idempotency-key").decode("latin-1")
    call.guarded = find_guard(env, call) is not None
    if call.guarded and not call.idempotency_key:
        raise RequestError(Kind.KEY_REQUIRED, "this request must never repeat")
    await proceed()
