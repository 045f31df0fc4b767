"""Ranks the endpoints for a call by the configured policy."""

import functools

from ..decisions.affinity import Ask, order, policies
from ..exceptions import Kind, RequestError
from . import filters
from .parse import with_priority

SERVICE_POLICY = "near"


@filters.register("choose")
async def choose(env, call, proceed) -> None:
    """Set the call's candidates in order of preference."""
    if not any(env.usable(endpoint.name) for endpoint in call.endpoints):
        raise RequestError(Kind.NO_ENDPOINT, "no endpoint is ready")
    policy = policies[env.fleet.policy if call.model else SERVICE_POLICY]
    ask = Ask(call.chat, call.prefix, call.work, env.clock())
    call.agreed = functools.partial(order, ask, call.endpoints)
    call.candidates = policy(ask, call.endpoints, env.view)
    if call.model:
        call.body = with_priority(call.body, call.priority)
    await proceed()
