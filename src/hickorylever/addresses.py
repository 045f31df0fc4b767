"""IPv4 addresses and ports as text."""

import socket


def split_address(text: str) -> tuple[str, int]:
    """Return the IP address and the port of ``address:port``.

    :raises ValueError: if the text is not of this form.
    """
    address, _, port = text.rpartition(":")
    if not address or not (port.isascii() and port.isdigit()):
        raise ValueError(f"{text!r} is not address:port")
    return address, int(port)


def is_ipv4_address(text: str) -> bool:
    """Return whether a text is an IPv4 address, as opposed to a name that needs a lookup."""
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return True
