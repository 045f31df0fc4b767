"""HTTP/1.1 by h11 over curio sockets, for both sides."""

from .channel import Channel
from .client import Answer, Client, connect
from .headers import Headers, check_head, end_to_end, header
from .presence import while_wanted
from .server import Exchange, Limits, Server, listen

__all__ = [
    "Answer",
    "Channel",
    "Client",
    "Exchange",
    "Headers",
    "Limits",
    "Server",
    "check_head",
    "connect",
    "end_to_end",
    "header",
    "listen",
    "while_wanted",
]
