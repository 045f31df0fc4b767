"""A proxy on the internal hop that misbehaves on purpose, connection by connection."""

import contextlib
import dataclasses

import curio
from harness import HOST, port_of

from hickorylever import http


class Hop:
    """Passes bytes to a sidecar.

    `plan` names the fault of each connection that carries an attempt, from its first hand-over or
    resume on; "" is none. A connection may ask for the sidecar's state before that.

    silent: nothing comes back. half: cut within the answer. mute: nothing goes forward at all.
    other: the answer names another attempt. flip: one bit of the answer's body is changed.
    """

    def __init__(self, port, plan):
        self.port = port
        self.plan = list(plan)
        self.taken = []
        self.socks = []

    async def connection(self, sock, address):
        peer = await http.connect(HOST, self.port)
        self.socks += [sock, peer]
        fault = []
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self.copy, sock, peer, fault, self.ask)
            await group.spawn(self.copy, peer, sock, fault, self.answer)
        await peer.close()

    def ask(self, data, fault):
        """Return what goes forward of a request."""
        if b"/attempts" in data and not fault:
            fault.append(self.plan.pop(0) if self.plan else "")
            self.taken += fault
        return b"" if "mute" in fault else data

    def answer(self, data, fault):
        """Return what comes back of an answer."""
        name = fault[0] if fault else ""
        return CHANGES.get(name, lambda data: data)(data)

    async def cut(self):
        """Close every connection."""
        for sock in self.socks:
            with contextlib.suppress(OSError):
                await sock.shutdown(2)

    async def copy(self, source, target, fault, change):
        while True:
            try:
                data = await source.recv(65536)
                if not data and "silent" in fault:
                    await curio.Event().wait()
                if not data:
                    return
                await target.sendall(change(data, fault))
                if "half" in fault and b"head" in data:
                    return
            except OSError:
                return


CHANGES = {
    "silent": lambda data: b"",
    "mute": lambda data: b"",
    "half": lambda data: data[: data.index(b"head") + 60] if b"head" in data else data,
    "other": lambda data: replace_attempt(data),
    "flip": lambda data: data.replace(b"w3 ", b"w4 "),
}


def replace_attempt(data):
    start = data.find(b"head")
    if start < 0:
        return data
    start += 6  # the tag and the length of a string of 32 characters
    return data[:start] + b"f" * 32 + data[start + 32 :]


async def interpose(world, name, *plan, revision=2):
    """Put a hop before a sidecar and return it."""
    endpoints = []
    hop = None
    for endpoint in world.fleet.endpoints:
        if endpoint.name == name:
            hop = Hop(endpoint.sidecar_port, plan)
            listener = http.listen(HOST, 0)
            await world.spawn(curio.network.run_server, listener, hop.connection)
            endpoint = dataclasses.replace(endpoint, sidecar_port=port_of(listener))
        endpoints.append(endpoint)
    world.fleet = world.make_fleet(endpoints)
    world.apply_fleet(world.fleet, revision)
    return hop
