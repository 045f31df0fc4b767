"""A fleet of routers between callers and model engines or plain services.

The public names are imported on first use, so that a router can open its listening socket before
the slow imports.
"""

from .defaults import VERSION
from .lazy import lazy_names

MODULES = {
    "HickoryleverError": "exceptions",
    "Kind": "exceptions",
    "Ran": "exceptions",
    "RequestError": "exceptions",
    "compile_fleet": "fleet",
}

__version__ = VERSION
__all__ = [*MODULES]


__getattr__ = lazy_names(__name__, MODULES)
