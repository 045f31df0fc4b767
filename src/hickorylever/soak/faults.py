"""Faults that a soak test injects outside the router code. Each fault reverts itself."""

import random
import signal
from collections.abc import Awaitable, Callable

import curio

from ..registry import Registry
from .proxy import Proxy
from .world import GRACE, RouterProcess, World, now

Fault = Callable[[World, random.Random, float], Awaitable[None]]
faults: Registry[Fault] = Registry("fault")

# Operations that are planned in normal use. They must not interrupt a running request.
PLANNED = frozenset(("stop", "reload", "configure", "leave"))

SCRIPTS = ("shed", "fail", "reset", "broken", "garbage", "truncated", "unstamped", "short")
EXIT_POLL = 0.05
LEAVE_TIME = 3.5


async def restart(router: RouterProcess, number: signal.Signals, pause: float) -> None:
    """Stop a router with a signal and start it again after `pause` seconds.

    The router is killed if it is still running after `GRACE` seconds. Does nothing while another
    fault restarts the router.
    """
    if router.restarting:
        return
    router.restarting = True
    router.signal(number)
    until = now() + GRACE
    while router.running:
        await curio.sleep(EXIT_POLL)
        if now() > until:
            router.signal(signal.SIGKILL)
    await curio.sleep(pause)
    router.start()
    router.restarting = False


async def impair(proxy: Proxy, name: str, value: object, seconds: float) -> None:
    """Set an attribute of a proxy, and reset it to its default after some seconds."""
    before = getattr(proxy, name)
    setattr(proxy, name, value)
    await curio.sleep(seconds)
    setattr(proxy, name, type(before)())


@faults.register("kill")
async def kill(world: World, chance: random.Random, seconds: float) -> None:
    """Kill a router and restart it after a third of the time."""
    await restart(chance.choice(world.routers), signal.SIGKILL, seconds / 3)


@faults.register("kill_all")
async def kill_all(world: World, chance: random.Random, seconds: float) -> None:
    """Kill all routers at once and restart them after a quarter of the time."""
    async with curio.TaskGroup() as group:
        for router in world.routers:
            await group.spawn(restart, router, signal.SIGKILL, seconds / 4)


@faults.register("stop")
async def stop(world: World, chance: random.Random, seconds: float) -> None:
    """Stop a router with SIGTERM and restart it."""
    await restart(chance.choice(world.routers), signal.SIGTERM, 0.0)


@faults.register("pause")
async def pause(world: World, chance: random.Random, seconds: float) -> None:
    """Suspend a router process with SIGSTOP and resume it."""
    router = chance.choice(world.routers)
    router.signal(signal.SIGSTOP)
    await curio.sleep(seconds)
    router.signal(signal.SIGCONT)


@faults.register("reload")
async def reload(world: World, chance: random.Random, seconds: float) -> None:
    """Make every router reload its settings."""
    for router in world.routers:
        router.signal(signal.SIGHUP)


@faults.register("delay")
async def delay(world: World, chance: random.Random, seconds: float) -> None:
    """Delay the traffic of an endpoint in both directions."""
    await impair(chance.choice(world.proxies), "delay", chance.uniform(0.02, 0.3), seconds)


@faults.register("silence")
async def silence(world: World, chance: random.Random, seconds: float) -> None:
    """Drop the traffic of an endpoint in both directions, or only its responses."""
    proxy = chance.choice(world.proxies)
    await impair(proxy, chance.choice(("silent", "one_way")), True, seconds)
    await proxy.reset()


@faults.register("crash")
async def crash(world: World, chance: random.Random, seconds: float) -> None:
    """Close the connections of an endpoint and refuse new ones."""
    proxy = chance.choice(world.proxies)
    await proxy.reset()
    await impair(proxy, "refusing", True, seconds)


@faults.register("cut")
async def cut(world: World, chance: random.Random, seconds: float) -> None:
    """Close all connections to an endpoint several times."""
    proxy = chance.choice(world.proxies)
    for _ in range(4):
        await proxy.reset()
        await curio.sleep(seconds / 4)


@faults.register("partition")
async def partition(world: World, chance: random.Random, seconds: float) -> None:
    """Partition a router from the store: drop traffic or responses, or refuse connections."""
    proxy = chance.choice(world.store_proxies)
    await impair(proxy, chance.choice(("silent", "one_way", "refusing")), True, seconds)
    await proxy.reset()


@faults.register("slow_store")
async def slow_store(world: World, chance: random.Random, seconds: float) -> None:
    """Delay the traffic between a router and the store."""
    await impair(chance.choice(world.store_proxies), "delay", chance.uniform(0.1, 0.6), seconds)


@faults.register("misbehave")
async def misbehave(world: World, chance: random.Random, seconds: float) -> None:
    """Make an endpoint fail some of its requests in various ways."""
    origin = chance.choice(world.origins)
    origin.script = [chance.choice((*SCRIPTS, "well", "well")) for _ in range(30)] + ["well"]
    await curio.sleep(seconds)
    origin.script = ["well"]


@faults.register("store")
async def store(world: World, chance: random.Random, seconds: float) -> None:
    """Make the store fail calls, hang, lose responses to writes or delay writes."""
    wrong = world.store.faults
    ways = (("status", 503), ("status", 429), ("silent", True), ("lost", True), ("late", 1.0))
    name, value = chance.choice(ways)
    before = getattr(wrong, name)
    setattr(wrong, name, value)
    await curio.sleep(seconds)
    setattr(wrong, name, type(before)())


@faults.register("history")
async def history(world: World, chance: random.Random, seconds: float) -> None:
    """Discard the history of the store, so that watches must start again."""
    world.store.compact()


@faults.register("leave")
async def leave(world: World, chance: random.Random, seconds: float) -> None:
    """Drain an endpoint for `LEAVE_TIME` seconds."""
    number = chance.randrange(len(world.origins))
    await world.register(number, draining=True)
    began = now()
    await curio.sleep(LEAVE_TIME)
    world.leaves.append((number, began, now()))
    await world.register(number)


@faults.register("configure")
async def configure(world: World, chance: random.Random, seconds: float) -> None:
    """Write several new versions of the configuration."""
    for _ in range(3):
        await world.configure()
        await curio.sleep(seconds / 3)
