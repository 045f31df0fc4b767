"""HTTP/1.1 server and client, based on h11 and curio."""

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
