"""HTTP/1.1 server and client, based on h11 and curio."""

from .channel import Channel
from .client import Client, ClientResponse, connect
from .disconnect import cancel_on_disconnect
from .exchange import Exchange
from .headers import Headers, check_head, end_to_end, header
from .server import Limits, Server, listen

__all__ = [
    "Channel",
    "Client",
    "ClientResponse",
    "Exchange",
    "Headers",
    "Limits",
    "Server",
    "cancel_on_disconnect",
    "check_head",
    "connect",
    "end_to_end",
    "header",
    "listen",
]
