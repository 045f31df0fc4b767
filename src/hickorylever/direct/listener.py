"""Listening socket for callers, opened before the other modules are imported.

Callers that connect after a restart wait in the kernel's accept queue during the 0.2 s that the
imports take, instead of being refused.
"""

import socket
import sys

from .. import platform

BACKLOG = 1024
SETTINGS_OPTION = "--settings"


def open_listener(argv: list[str]) -> socket.socket | None:
    """Return a socket listening at the configured address, or None if it can't be opened.

    Errors in the settings are reported later, when the whole file is validated.
    """
    path = None
    if SETTINGS_OPTION in argv[:-1]:
        path = argv[argv.index(SETTINGS_OPTION) + 1]
    address = platform.frontend(path)
    if address is None:
        return None
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError as error:
        print(f"hickorylever: {address}: {error}", file=sys.stderr)
        sock.close()
        return None
    sock.setblocking(False)
    return sock
