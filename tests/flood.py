"""A process that answers each request with a head and then bytes without end."""

import contextlib
import subprocess
import sys
from pathlib import Path

SILENT_SECONDS = 60.0
START_LINE = "listening on "


@contextlib.contextmanager
def flooding_process(head, block, count=None):
    """Run such a process beside the tests, and return its port.

    It must be a process of its own: one that shares the event loop of a router would stop when the
    router does.

    :param head: bytes with ``ID`` in place of the request's id.
    :param count: number of blocks after which it sends nothing more; None for no end.
    """
    command = [sys.executable, str(Path(__file__)), head.hex(), block.hex(), str(count or "")]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        line = process.stdout.readline()
        yield int(line.removeprefix(START_LINE))
    finally:
        process.kill()
        process.communicate()


def main(head, block, count):
    import itertools
    import re
    import socket
    import threading
    import time

    def flood(connection):
        with contextlib.suppress(OSError), connection:
            request = b""
            while b"\r\n\r\n" not in request:
                request += connection.recv(65536)
            request_id = re.search(rb"(?i)attempt-id: *(\w+)", request)[1]
            connection.sendall(head.replace(b"ID", request_id))
            for _ in range(count) if count else itertools.repeat(None):
                connection.sendall(block)
            time.sleep(SILENT_SECONDS)

    listener = socket.create_server(("127.0.0.1", 0))
    print(f"{START_LINE}{listener.getsockname()[1]}", flush=True)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=flood, args=(connection,), daemon=True).start()


if __name__ == "__main__":
    main(*map(bytes.fromhex, sys.argv[1:3]), int(sys.argv[3] or 0))
