"""A process that answers each request with a head and then bytes without end."""

import contextlib
import subprocess
import sys
from pathlib import Path

START_LINE = "listening on "


@contextlib.contextmanager
def flooding_process(head, block):
    """Run such a process beside the tests, and return its port.

    It must be a process of its own: one that shares the event loop of a router would stop when the
    router does.

    :param head: bytes with ``ID`` in place of the request's id.
    """
    command = [sys.executable, str(Path(__file__)), head.hex(), block.hex()]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        line = process.stdout.readline()
        yield int(line.removeprefix(START_LINE))
    finally:
        process.kill()
        process.communicate()


def main(head, block):
    import re
    import socket
    import threading

    def flood(connection):
        with contextlib.suppress(OSError), connection:
            request = b""
            while b"\r\n\r\n" not in request:
                request += connection.recv(65536)
            request_id = re.search(rb"(?i)attempt-id: *(\w+)", request)[1]
            connection.sendall(head.replace(b"ID", request_id))
            while True:
                connection.sendall(block)

    listener = socket.create_server(("127.0.0.1", 0))
    print(f"{START_LINE}{listener.getsockname()[1]}", flush=True)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=flood, args=(connection,), daemon=True).start()


if __name__ == "__main__":
    main(bytes.fromhex(sys.argv[1]), bytes.fromhex(sys.argv[2]))
