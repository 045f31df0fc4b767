"""Ranks the endpoints for a call by the configured policy."""

import functools

import curio

from ..decisions.fairness import overload_backoff
from ..decisions.routing_policies import RoutingRequest, policies, ring_order
from ..exceptions import Kind, Ran, RequestError
from . import filters
from .parse import with_priority

SERVICE_POLICY = "near"


@filters.register("choose")
async def choose(env, call, proceed) -> None:
    """Set the call's candidates in order of preference.

    A call that finds no room is offered again a few times before it is refused.
    """
    if not any(env.usable(endpoint.name) for endpoint in call.pool):
        raise RequestError(Kind.NO_ENDPOINT, "no endpoint is ready")
    if call.model:
        call.body = with_priority(call.body, call.priority)
    rounds = 1
    while True:
        rank(env, call)
        try:
            await proceed()
            note_place(env, call)
            return
        except RequestError as error:
            pause = overload_backoff(rounds, call.deadline - env.clock(), env.chance)
            if error.kind is not Kind.OVERLOADED or error.ran is not Ran.NO or pause is None:
                raise
        rounds += 1
        await curio.sleep(pause)


def rank(env, call) -> None:
    """Rank the endpoints by what is known now."""
    policy = policies[env.fleet.policy if call.model else SERVICE_POLICY]
    ask = RoutingRequest(call.chat, call.prefix, call.work, env.clock())
    call.common_order = functools.partial(ring_order, ask, call.pool)
    call.candidates = policy(ask, call.pool, env.view)


def note_place(env, call) -> None:
    """Remember where a chat was, for policies that go by it."""
    if call.model:
        env.view.last_endpoints.record(call.chat, call.endpoint)
