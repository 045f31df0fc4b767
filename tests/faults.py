"""A proxy on the internal hop that misbehaves on purpose, connection by connection."""

import dataclasses

import curio
from harness import HOST, port_of

from hickorylever import http


class Hop:
    """Passes bytes to a sidecar. `plan` names the fault of each new connection; "" is none.

    silent: nothing comes back. half: cut within the answer. mute: nothing goes forward at all.
    other: the answer names another attempt. flip: one bit of the answer's body is changed.
    """

    def __init__(self, port, plan):
        self.port = port
        self.plan = list(plan)
        self.taken = []
        self.socks = []

    async def connection(self, sock, address):
        fault = self.plan.pop(0) if self.plan else ""
        self.taken.append(fault)
        peer = await http.connect(HOST, self.port)
        self.socks += [sock, peer]
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self.copy, sock, peer, "mute" if fault == "mute" else "")
            await group.spawn(self.copy, peer, sock, fault)
        await peer.close()

    async def cut(self):
        """Close every connection."""
        for sock in self.socks:
            if sock.fileno() >= 0:
                await sock.shutdown(2)

    async def copy(self, source, target, fault):
        while True:
            try:
                data = await source.recv(65536)
                if not data and fault == "silent":
                    await curio.Event().wait()
                if not data:
                    return
                if fault in ("silent", "mute"):
                    continue
                done = fault == "half" and b"head" in data
                await target.sendall(CHANGES.get(fault, lambda data: data)(data))
                if done:
                    return
            except OSError:
                return


CHANGES = {
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
    world.put_in_force(world.fleet, revision)
    return hop
