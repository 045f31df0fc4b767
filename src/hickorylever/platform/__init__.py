"""The users' platform: its names, formats and calls, decoded into the types of :mod:`..direct`."""

from .documents import decode_configuration, decode_endpoint
from .headers import forwarded, read_answer, read_request, refusal
from .names import CONFIGURATION, ENDPOINTS, READY_PATH, ROUTERS
from .settings import load
from .store import Store

__all__ = [
    "CONFIGURATION",
    "ENDPOINTS",
    "READY_PATH",
    "ROUTERS",
    "Store",
    "decode_configuration",
    "decode_endpoint",
    "forwarded",
    "load",
    "read_answer",
    "read_request",
    "refusal",
]
