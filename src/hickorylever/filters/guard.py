"""Guard rules: which requests must run at most once."""

from ..exceptions import Kind, RequestError
from ..http import header
from ..records import Guard
from . import filters
from .authorise import path_has_prefix


def matches(guard: Guard, call) -> bool:
    """Return whether a rule covers a call. An empty field of the rule matches everything."""
    conditions = (
        (guard.application, lambda: guard.application == call.application.name),
        (guard.model, lambda: guard.model == call.model),
        (guard.methods, lambda: call.exchange.method in guard.methods),
        (guard.path, lambda: path_has_prefix(call.exchange.path, guard.path)),
    )
    return all(condition() for field, condition in conditions if field)


def find_guard(env, call) -> Guard | None:
    """Return the first rule that covers a call, or None."""
    return next((guard for guard in env.fleet.guards if matches(guard, call)), None)


@filters.register("guard")
async def guard_call(env, call, proceed) -> None:
    """Mark a guarded call.

    :raises RequestError: when a guarded call has no Idempotency-Key header.
    """
    call.idempotency_key = header(call.exchange.headers, b"idempotency-key").decode("latin-1")
    call.guarded = find_guard(env, call) is not None
    if call.guarded and not call.idempotency_key:
        raise RequestError(
            Kind.KEY_REQUIRED,
            "this request must never repeat, so it needs an Idempotency-Key header",
        )
    await proceed()
