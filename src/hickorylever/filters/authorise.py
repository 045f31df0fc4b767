"""Look up the application that serves a path and check that the account may use it."""

from ..exceptions import Kind, RequestError
from ..records import Application
from . import filters

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")


def path_has_prefix(path: str, prefix: str) -> bool:
    """Return whether a path equals a prefix or lies below it, by whole path segments."""
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")


def find_service(env, path: str) -> Application | None:
    """Return the plain service with the longest prefix that matches a path, or None."""
    matching = [
        application
        for application in env.applications.values()
        if application.kind == "service" and path_has_prefix(path, application.path)
    ]
    return max(matching, key=lambda application: len(application.path), default=None)


@filters.register("authorise")
async def authorise(env, call, proceed) -> None:
    """Set the application and pool of a call to a plain service.

    Model paths are passed on: the parse filter reads the model from the body.

    :raises RequestError: when no application has the path or the account may not use it.
    """
    path = call.exchange.path
    if path in MODEL_PATHS:
        await proceed()
        return
    application = find_service(env, path)
    if application is None:
        raise RequestError(Kind.NOT_FOUND, f"no application is served at {path}")
    if application.name not in call.account.applications:
        raise RequestError(
            Kind.FORBIDDEN, f"client account may not use application {application.name}"
        )
    call.application = application
    call.pool = env.pools.get(application.name, call.pool)
    await proceed()
