"""Finds the application that a path belongs to and checks the account's right to it."""

from ..exceptions import Kind, RequestError
from ..records import Application
from . import filters

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")


def belongs(path: str, prefix: str) -> bool:
    """Tell whether a path lies below a prefix, on whole segments."""
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")


def find_service(env, path: str) -> Application | None:
    """Return the plain service with the longest prefix of a path."""
    found = [
        application
        for application in env.applications.values()
        if application.kind == "service" and belongs(path, application.path)
    ]
    return max(found, key=lambda application: len(application.path), default=None)


@filters.register("authorise")
async def authorise(env, call, proceed) -> None:
    """Set a plain service's application and endpoints; models are found by the parse filter."""
    path = call.exchange.path
    if path in MODEL_PATHS:
        await proceed()
        return
    application = find_service(env, path)
    if application is None:
        raise RequestError(Kind.NOT_FOUND, f"nothing is served at {path}")
    if application.name not in call.account.applications:
        raise RequestError(Kind.FORBIDDEN, f"no rule allows {application.name}")
    call.application = application
    call.pool = env.pools.get(application.name, call.pool)
    await proceed()
