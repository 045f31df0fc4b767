"""The listening socket for callers, opened first at a start.

After a restart callers still connect here; what they send waits in the kernel's queue for the
0.2 s that the imports take.
"""

import socket
import sys

from .. import platform

BACKLOG = 1024
SETTINGS_OPTION = "--settings"


def open_early(argv: list[str]) -> socket.socket | None:
    """Return a listening socket at the settings' address, or None when it can't be opened."""
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
