"""Ranks the endpoints for a call by the configured policy."""

from ..decisions.affinity import policies
from ..exceptions import Kind, RequestError
from . import filters


@filters.register("choose")
async def choose(env, call, proceed) -> None:
    """Set the call's candidates in order of preference."""
    usable = [endpoint for endpoint in call.endpoints if env.usable(endpoint.name)]
    if not usable:
        raise RequestError(Kind.NO_ENDPOINT, "no endpoint is ready")
    policy = policies[env.fleet.policy]
    call.candidates = policy(call.chat, call.work, usable, env.view)
    await proceed()
