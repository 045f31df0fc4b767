"""Rank the endpoints for a call by the configured routing policy."""

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
    """Set the candidates of a call in order of preference.

    A call that ran nowhere and whose last candidate refused it as overloaded is tried again a few
    times, with backoff, before it fails.

    :raises RequestError: when no endpoint is ready, or the last attempt failed.
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
            record_endpoint(env, call)
            return
        except RequestError as error:
            delay = overload_backoff(rounds, call.deadline - env.clock(), env.rng)
            if error.kind is not Kind.OVERLOADED or error.ran is not Ran.NO or delay is None:
                raise
        rounds += 1
        await curio.sleep(delay)


def rank(env, call) -> None:
    """Rank the endpoints by their current load and state."""
    policy = policies[env.fleet.policy if call.model else SERVICE_POLICY]
    request = RoutingRequest(call.chat, call.prefix, call.work, env.clock())
    call.common_order = functools.partial(ring_order, request, call.pool)
    call.candidates = policy(request, call.pool, env.view)


def record_endpoint(env, call) -> None:
    """Record the endpoint that served a chat, for policies with session affinity."""
    if call.model:
        env.view.last_endpoints.record(call.chat, call.endpoint)
