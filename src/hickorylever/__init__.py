"""A fleet of routers between callers and model engines or plain services."""

from .defaults import VERSION
from .exceptions import HickoryleverError, Kind, Ran, RequestError

__version__ = VERSION
__all__ = ["HickoryleverError", "Kind", "Ran", "RequestError", "compile_fleet"]


def __getattr__(name: str):
    """Import the compiler on first use, as a router on the platform does not need it."""
    if name != "compile_fleet":
        raise AttributeError(name)
    from .fleet import compile_fleet

    return compile_fleet
