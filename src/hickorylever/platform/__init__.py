"""Adapter for the users' platform.

Decodes the platform's headers, documents and API calls into the types of
:mod:`hickorylever.direct`. Submodules are imported on first use, so that a router can open its
listening socket before the slow imports.
"""

from ..lazy import lazy_names
from .names import CACHE_LIST_PATH, CONFIGURATION, ENDPOINTS, EVACUATIONS, READY_PATH, ROUTERS

MODULES = {
    "Store": "store",
    "decode_configuration": "documents",
    "decode_endpoint": "documents",
    "decode_evacuation": "documents",
    "forwarded": "headers",
    "frontend": "early",
    "identify_endpoint": "headers",
    "load": "settings",
    "read_answer": "headers",
    "read_cached_parts": "caches",
    "read_parts": "headers",
    "read_request": "headers",
    "refusal": "headers",
}

__all__ = [
    "CACHE_LIST_PATH",
    "CONFIGURATION",
    "ENDPOINTS",
    "EVACUATIONS",
    "READY_PATH",
    "ROUTERS",
    *MODULES,
]


__getattr__ = lazy_names(__name__, MODULES)
