"""Faults that a soak injects from outside the routers; each undoes itself."""

import random
import signal
from collections.abc import Awaitable, Callable

import curio

from ..registry import Registry
from .proxy import Proxy
from .world import GRACE, RouterProcess, World, now

Fault = Callable[[World, random.Random, float], Awaitable[None]]
faults: Registry[Fault] = Registry("fault")

# Work that operators do on purpose: it must not cut a request.
PLANNED = frozenset(("stop", "reload", "configure", "leave"))

SCRIPTS = ("shed", "fail", "reset", "broken", "garbage", "truncated", "unstamped", "short")
EXIT_POLL = 0.05  # Seconds.
LEAVE_TIME = 3.5  # Seconds.


async def restart(router: RouterProcess, number: signal.Signals, pause: float) -> None:
    """End a router by a signal and start it again; it is killed when its grace is over."""
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
    """Set an attribute of a proxy for a while."""
    before = getattr(proxy, name)
    setattr(proxy, name, value)
    await curio.sleep(seconds)
    setattr(proxy, name, type(before)())


@faults.register("kill")
async def kill(world: World, chance: random.Random, seconds: float) -> None:
    """Kill a router and start it again later."""
    await restart(chance.choice(world.routers), signal.SIGKILL, seconds / 3)


@faults.register("kill_all")
async def kill_all(world: World, chance: random.Random, seconds: float) -> None:
    """Kill every router at once and start them again."""
    async with curio.TaskGroup() as group:
        for router in world.routers:
            await group.spawn(restart, router, signal.SIGKILL, seconds / 4)


@faults.register("stop")
async def stop(world: World, chance: random.Random, seconds: float) -> None:
    """Ask a router to end, and start it again."""
    await restart(chance.choice(world.routers), signal.SIGTERM, 0.0)


@faults.register("pause")
async def pause(world: World, chance: random.Random, seconds: float) -> None:
    """Freeze a router for a while."""
    router = chance.choice(world.routers)
    router.signal(signal.SIGSTOP)
    await curio.sleep(seconds)
    router.signal(signal.SIGCONT)


@faults.register("reload")
async def reload(world: World, chance: random.Random, seconds: float) -> None:
    """Tell every router that its settings have changed."""
    for router in world.routers:
        router.signal(signal.SIGHUP)


@faults.register("delay")
async def delay(world: World, chance: random.Random, seconds: float) -> None:
    """Delay what passes to and from an endpoint."""
    await impair(chance.choice(world.proxies), "delay", chance.uniform(0.02, 0.3), seconds)


@faults.register("silence")
async def silence(world: World, chance: random.Random, seconds: float) -> None:
    """Drop what passes to and from an endpoint, or only its answers."""
    proxy = chance.choice(world.proxies)
    await impair(proxy, chance.choice(("silent", "one_way")), True, seconds)
    await proxy.reset()


@faults.register("crash")
async def crash(world: World, chance: random.Random, seconds: float) -> None:
    """Let an endpoint crash and come back."""
    proxy = chance.choice(world.proxies)
    await proxy.reset()
    await impair(proxy, "refusing", True, seconds)


@faults.register("cut")
async def cut(world: World, chance: random.Random, seconds: float) -> None:
    """Cut the connections to an endpoint several times."""
    proxy = chance.choice(world.proxies)
    for _ in range(4):
        await proxy.reset()
        await curio.sleep(seconds / 4)


@faults.register("partition")
async def partition(world: World, chance: random.Random, seconds: float) -> None:
    """Cut one router off from the store: silently, one way, or with resets."""
    proxy = chance.choice(world.store_proxies)
    await impair(proxy, chance.choice(("silent", "one_way", "refusing")), True, seconds)
    await proxy.reset()


@faults.register("slow_store")
async def slow_store(world: World, chance: random.Random, seconds: float) -> None:
    """Delay what passes between a router and the store."""
    await impair(chance.choice(world.store_proxies), "delay", chance.uniform(0.1, 0.6), seconds)


@faults.register("misbehave")
async def misbehave(world: World, chance: random.Random, seconds: float) -> None:
    """Let an endpoint answer a part of its requests badly."""
    origin = chance.choice(world.origins)
    origin.script = [chance.choice((*SCRIPTS, "well", "well")) for _ in range(30)] + ["well"]
    await curio.sleep(seconds)
    origin.script = ["well"]


@faults.register("store")
async def store(world: World, chance: random.Random, seconds: float) -> None:
    """Let the store refuse, hang, lose its answers or write late."""
    wrong = world.store.faults
    ways = (("status", 503), ("status", 429), ("silent", True), ("lost", True), ("late", 1.0))
    name, value = chance.choice(ways)
    before = getattr(wrong, name)
    setattr(wrong, name, value)
    await curio.sleep(seconds)
    setattr(wrong, name, type(before)())


@faults.register("history")
async def history(world: World, chance: random.Random, seconds: float) -> None:
    """Let the store forget its history."""
    world.store.compact()


@faults.register("leave")
async def leave(world: World, chance: random.Random, seconds: float) -> None:
    """Let an endpoint leave, and come back later."""
    number = chance.randrange(len(world.origins))
    await world.register(number, draining=True)
    began = now()
    await curio.sleep(LEAVE_TIME)
    world.leaves.append((number, began, now()))
    await world.register(number)


@faults.register("configure")
async def configure(world: World, chance: random.Random, seconds: float) -> None:
    """Write new versions of the configuration, one after the other."""
    for _ in range(3):
        await world.configure()
        await curio.sleep(seconds / 3)
