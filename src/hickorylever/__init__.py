"""A router fleet that stands between callers and model engines or plain services."""

from .defaults import VERSION
from .exceptions import HickoryleverError, Kind, Ran, RequestError
from .fleet import compile_fleet

__version__ = VERSION
__all__ = ["HickoryleverError", "Kind", "Ran", "RequestError", "compile_fleet"]
