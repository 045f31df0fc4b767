"""A proxy between router and sidecar that injects one fault per connection."""

import contextlib
import dataclasses

import curio
from harness import HOST, port_of

from hickorylever import http


class FaultyProxy:
    """Relays connections to a sidecar.

    ``silent`` drops the response but keeps the connection open, ``truncated`` closes the
    connection within the response, ``unsent`` drops the request as well, ``wrong_attempt``
    replaces the attempt id in the response, and ``corrupted`` changes its body.

    :param faults: fault of each connection that carries an attempt, in order of their first
        request for an attempt; an empty name is none. Earlier requests for the state of the
        sidecar on the same connection are relayed unchanged.
    """

    def __init__(self, port, faults):
        self.port = port
        self.faults = list(faults)
        self.applied = []
        self.sockets = []

    async def relay_connection(self, sock, address):
        peer = await http.connect(HOST, self.port)
        self.sockets += [sock, peer]
        fault = []
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self.copy, sock, peer, fault, self.forward_request)
            await group.spawn(self.copy, peer, sock, fault, self.forward_response)
        await peer.close()

    def forward_request(self, data, fault):
        """Return the bytes of a request to send to the sidecar."""
        if b"/attempts" in data and not fault:
            fault.append(self.faults.pop(0) if self.faults else "")
            self.applied += fault
        return b"" if "unsent" in fault else data

    def forward_response(self, data, fault):
        """Return the bytes of a response to send to the router."""
        name = fault[0] if fault else ""
        return RESPONSE_FAULTS.get(name, lambda data: data)(data)

    async def close_connections(self):
        """Close every connection."""
        for sock in self.sockets:
            with contextlib.suppress(OSError):
                await sock.shutdown(2)

    async def copy(self, source, target, fault, transform):
        while True:
            try:
                data = await source.recv(65536)
                if not data and "silent" in fault:
                    await curio.Event().wait()
                if not data:
                    return
                await target.sendall(transform(data, fault))
                if "truncated" in fault and b"head" in data:
                    return
            except OSError:
                return


RESPONSE_FAULTS = {
    "silent": lambda data: b"",
    "unsent": lambda data: b"",
    "truncated": lambda data: data[: data.index(b"head") + 60] if b"head" in data else data,
    "wrong_attempt": lambda data: replace_attempt(data),
    "corrupted": lambda data: data.replace(b"w3 ", b"w4 "),
}


def replace_attempt(data):
    start = data.find(b"head")
    if start < 0:
        return data
    start += 6  # Skips the tag and the MessagePack header of a string of 32 characters.
    return data[:start] + b"f" * 32 + data[start + 32 :]


async def interpose(harness, name, *faults, revision=2):
    """Put a faulty proxy in front of a sidecar and return it."""
    endpoints = []
    proxy = None
    for endpoint in harness.fleet.endpoints:
        if endpoint.name == name:
            proxy = FaultyProxy(endpoint.sidecar_port, faults)
            listener = http.listen(HOST, 0)
            await harness.spawn(curio.network.run_server, listener, proxy.relay_connection)
            endpoint = dataclasses.replace(endpoint, sidecar_port=port_of(listener))
        endpoints.append(endpoint)
    harness.fleet = harness.make_fleet(endpoints)
    harness.apply_fleet(harness.fleet, revision)
    return proxy
