"""Adapter for the users' platform.

Decodes the platform's headers, documents and API calls into the types of
:mod:`hickorylever.direct`. Submodules are imported on first use, so that a router can open its
listening socket before the slow imports.
"""

import importlib

from .names import CONFIGURATION, ENDPOINTS, READY_PATH, ROUTERS

MODULES = {
    "Store": "store",
    "decode_configuration": "documents",
    "decode_endpoint": "documents",
    "forwarded": "headers",
    "frontend": "early",
    "load": "settings",
    "read_answer": "headers",
    "read_request": "headers",
    "refusal": "headers",
}

__all__ = ["CONFIGURATION", "ENDPOINTS", "READY_PATH", "ROUTERS", *MODULES]


def __getattr__(name: str):
    """Import a public name on its first use."""
    if name not in MODULES:
        raise AttributeError(name)
    value = getattr(importlib.import_module(f".{MODULES[name]}", __name__), name)
    globals()[name] = value
    return value
