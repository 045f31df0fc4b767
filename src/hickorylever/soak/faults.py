"""Faults that a soak injects from outside the routers; each undoes itself."""

import random
import signal
import time
from collections.abc import Awaitable, Callable

import curio

from ..registry import Registry
from .world import GRACE, RouterProcess, World

Fault = Callable[[World, random.Random, float], Awaitable[None]]
faults: Registry[Fault] = Registry("fault")

SCRIPTS = ("shed", "fail", "reset", "broken", "garbage", "truncated", "unstamped", "short")
EXIT_POLL = 0.05  # Seconds.


async def restart(router: RouterProcess, number: signal.Signals, pause: float) -> None:
    """End a router by a signal and start it again; it is killed when its grace is over."""
    if router.restarting:
        return
    router.restarting = True
    router.signal(number)
    until = time.monotonic() + GRACE
    while router.running:
        await curio.sleep(EXIT_POLL)
        if time.monotonic() > until:
            router.signal(signal.SIGKILL)
    await curio.sleep(pause)
    router.start()
    router.restarting = False


@faults.register("kill")
async def kill(world: World, chance: random.Random, seconds: float) -> None:
    """Kill a router and start it again later."""
    await restart(chance.choice(world.routers), signal.SIGKILL, seconds / 3)


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
    proxy = chance.choice(world.proxies)
    proxy.delay = chance.uniform(0.02, 0.3)
    await curio.sleep(seconds)
    proxy.delay = 0.0


@faults.register("silence")
async def silence(world: World, chance: random.Random, seconds: float) -> None:
    """Drop what passes to and from an endpoint, or only its answers."""
    proxy = chance.choice(world.proxies)
    name = chance.choice(("silent", "one_way"))
    setattr(proxy, name, True)
    await curio.sleep(seconds)
    setattr(proxy, name, False)
    await proxy.reset()


@faults.register("cut")
async def cut(world: World, chance: random.Random, seconds: float) -> None:
    """Cut the connections to an endpoint several times."""
    proxy = chance.choice(world.proxies)
    for _ in range(4):
        await proxy.reset()
        await curio.sleep(seconds / 4)


@faults.register("misbehave")
async def misbehave(world: World, chance: random.Random, seconds: float) -> None:
    """Let an endpoint answer a part of its requests badly."""
    origin = chance.choice(world.origins)
    origin.script = [chance.choice((*SCRIPTS, "well", "well")) for _ in range(30)] + ["well"]
    await curio.sleep(seconds)
    origin.script = ["well"]


@faults.register("store")
async def store(world: World, chance: random.Random, seconds: float) -> None:
    """Let the store fail, hang or lose what it wrote."""
    wrong = world.store.faults
    name, value = chance.choice(
        (("status", 503), ("status", 429), ("silent", True), ("lost", True))
    )
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
    await world.register(number, "draining")
    await curio.sleep(seconds)
    await world.register(number)


@faults.register("configure")
async def configure(world: World, chance: random.Random, seconds: float) -> None:
    """Write new versions of the configuration, one after the other."""
    for _ in range(3):
        await world.configure()
        await curio.sleep(seconds / 3)
