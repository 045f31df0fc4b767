"""The users' platform: its names, formats and calls, decoded into the types of :mod:`..direct`.

Parts are imported when they are first used, so that a starting process can listen before that.
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
    """Import one public name and keep it."""
    if name not in MODULES:
        raise AttributeError(name)
    value = getattr(importlib.import_module(f".{MODULES[name]}", __name__), name)
    globals()[name] = value
    return value
