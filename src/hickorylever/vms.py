"""Reads the platform's VM list, so seldom that the whole fleet's calls stay few."""

import curio
import msgspec

from . import defaults
from .decisions.members import Listed
from .events import Event, log
from .exceptions import ConnectionLost
from .settings import split_address

PATH = "/v1/vms"
STATES = {"live": Listed.LIVE, "leaving": Listed.LEAVING}
LOST = (ConnectionLost, curio.TaskTimeout, msgspec.DecodeError)


class ListedVM(msgspec.Struct, frozen=True):
    """One entry: ``live`` or ``leaving``."""

    name: str
    state: str


def interval(members: int) -> float:
    """Return the pause between two calls of one process in seconds."""
    return max(defaults.MIN_VM_LIST_INTERVAL_SECONDS, members / defaults.VM_LIST_CALLS_PER_SECOND)


async def read_list(env) -> None:
    """Read the list once; while it can't be read, heartbeats alone count."""
    address, port = split_address(env.settings.vm_list)
    try:
        async with curio.timeout_after(defaults.PLATFORM_TIMEOUT_SECONDS):
            status, _, data = await env.client.fetch(address, port, "GET", PATH)
        if status != 200:
            raise ConnectionLost(f"status {status}")
        entries = msgspec.json.decode(data, type=list[ListedVM])
    except LOST as error:
        log(Event.VM_LIST_FAILED, repr(error), 30)
        return
    env.gossip.set_listed({entry.name: STATES.get(entry.state, Listed.LIVE) for entry in entries})


async def follow(env) -> None:
    """Read the list now and then until cancelled."""
    while True:
        if env.fleet is not None:
            await read_list(env)
        pause = interval(len(env.gossip.inventory))
        await curio.sleep(pause * env.chance.uniform(0.5, 1.5))


def attach(env) -> None:
    """Let a process follow the list when its settings name one."""
    if env.settings.vm_list:
        env.tasks.append(lambda: follow(env))
