"""Polls the platform's VM list.

The interval grows with the fleet, so that the total rate of calls stays bounded.
"""

import curio
import msgspec

from . import defaults
from .addresses import split_address
from .decisions.members import VMListing
from .events import Event, log
from .exceptions import ConnectionLost

PATH = "/v1/vms"
STATES = {"live": VMListing.LIVE, "leaving": VMListing.LEAVING}
READ_ERRORS = (ConnectionLost, curio.TaskTimeout, msgspec.DecodeError)


class ListedVM(msgspec.Struct, frozen=True):
    """An entry of the VM list. The state is ``live`` or ``leaving``."""

    name: str
    state: str


def poll_interval(members: int) -> float:
    """Return the seconds between two calls of one process."""
    return max(defaults.MIN_VM_LIST_INTERVAL_SECONDS, members / defaults.VM_LIST_CALLS_PER_SECOND)


async def read_list(env) -> None:
    """Read the list once. If that fails, the previous states stay in force."""
    address, port = split_address(env.settings.vm_list)
    try:
        async with curio.timeout_after(defaults.PLATFORM_TIMEOUT_SECONDS):
            status, _, data = await env.client.fetch(address, port, "GET", PATH)
        if status != 200:
            raise ConnectionLost(f"status {status}")
        entries = msgspec.json.decode(data, type=list[ListedVM])
    except READ_ERRORS as error:
        log(Event.VM_LIST_FAILED, repr(error), 30)
        return
    env.gossip.set_vm_list(
        {entry.name: STATES.get(entry.state, VMListing.LIVE) for entry in entries}
    )


async def poll(env) -> None:
    """Poll the list until cancelled."""
    while True:
        if env.fleet is not None:
            await read_list(env)
        pause = poll_interval(len(env.gossip.inventory))
        await curio.sleep(pause * env.rng.uniform(0.5, 1.5))


def attach(env) -> None:
    """Start polling if the settings name a VM list."""
    if env.settings.vm_list:
        env.tasks.append(lambda: poll(env))
