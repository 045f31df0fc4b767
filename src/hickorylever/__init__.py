"""A router fleet that stands between callers and model engines or plain services."""

from .defaults import VERSION
from .exceptions import HickoryleverError, Kind, Ran, RequestError

__version__ = VERSION
__all__ = ["HickoryleverError", "Kind", "Ran", "RequestError", "compile_fleet"]


def __getattr__(name: str):
    """Import the compiler when it is first asked for; a router on the platform never is."""
    if name != "compile_fleet":
        raise AttributeError(name)
    from .fleet import compile_fleet

    return compile_fleet
