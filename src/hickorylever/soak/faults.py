"""Faults that a soak test injects outside the router code. Each fault reverts itself."""

import random
import signal
from collections.abc import Awaitable, Callable

import curio

from ..platform.standins.overload import Overload
from ..registry import Registry
from .process import RouterProcess
from .proxy import Proxy
from .world import (
    DOMAINS,
    DRAIN_GRACE_SECONDS,
    EVACUATION_SECONDS,
    RESTART_SECONDS,
    WARMUP,
    LimitPeriod,
    SoakHarness,
    now,
)

Fault = Callable[[SoakHarness, random.Random, float], Awaitable[None]]
faults: Registry[Fault] = Registry("fault")

# Operations that are planned in normal use. They must not interrupt a running request.
PLANNED_OPERATIONS = frozenset(("stop", "reload", "configure", "leave", "evacuate"))

MISBEHAVIOURS = (
    "shed",
    "fail",
    "reset",
    "broken",
    "garbage",
    "truncated",
    "unstamped",
    "short",
    "defer",
    "twice",
    "late",
    "endless_head",
    "endless_body",
    "endless_rejection",
    "unframed",
    "unframed_short",
    "unframed_empty",
    "unframed_reset",
)
REWRITE_SECONDS = 1.5  # Time after a restore in which the operator and the endpoints write again.
EXIT_POLL_SECONDS = 0.05
DRAINING_SECONDS = 3.5
CRASHING_PART_SECONDS = 8.0
LIMIT_SECONDS = 9.0
EVACUATED_SECONDS = 4.0  # In which an evacuated domain must get nothing.
VERSION_COUNT = 3
ENTRY_DELAY_SECONDS = 0.3  # Between the start of an endpoint and its entry.
LIMITS_PER_SECOND = (0.5, 2.0, 8.0)
OVERLOAD_SECONDS = 5.0
SLOT_COUNTS = (2, 6, 24)
DEFERRING_PROBABILITY = 0.7
COPY_PROBABILITIES = (0.0, 0.03, 0.1)
EARLY_PROBABILITY = 0.2
STALL_COUNT = 40
STALL_SECONDS = (0.001, 0.2)


async def restart(router: RouterProcess, signal_number: signal.Signals, pause: float) -> None:
    """Stop a router with a signal, start it again after `pause` seconds, and wait until it serves.

    The router is killed if it is still running after `DRAIN_GRACE_SECONDS`. Does nothing while
    another fault restarts the router.
    """
    if router.restarting:
        return
    router.restarting = True
    router.signal(signal_number)
    deadline = now() + DRAIN_GRACE_SECONDS
    while router.running:
        await curio.sleep(EXIT_POLL_SECONDS)
        if now() > deadline:
            router.signal(signal.SIGKILL)
    await curio.sleep(pause)
    router.start()
    router.restarting = False
    await router.wait_until_serving()


async def impair(proxy: Proxy, name: str, value: object, seconds: float) -> None:
    """Set an attribute of a proxy, and reset it to its default after some seconds."""
    previous = getattr(proxy, name)
    setattr(proxy, name, value)
    await curio.sleep(seconds)
    setattr(proxy, name, type(previous)())


@faults.register("kill")
async def kill(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Kill a router and restart it after a third of the time."""
    await restart(rng.choice(harness.routers), signal.SIGKILL, seconds / 3)


@faults.register("kill_all")
async def kill_all(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Kill all routers at once and restart them after a quarter of the time."""
    async with curio.TaskGroup() as group:
        for router in harness.routers:
            await group.spawn(restart, router, signal.SIGKILL, seconds / 4)


@faults.register("stop")
async def stop(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Stop a router with SIGTERM and restart it."""
    await restart(rng.choice(harness.routers), signal.SIGTERM, 0.0)


@faults.register("pause")
async def pause(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Suspend a router process with SIGSTOP and resume it."""
    router = rng.choice(harness.routers)
    router.signal(signal.SIGSTOP)
    await curio.sleep(seconds)
    router.signal(signal.SIGCONT)


@faults.register("stall")
async def stall(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Suspend routers again and again for a moment, as on a machine that is busy."""
    for _ in range(STALL_COUNT):
        router = rng.choice(harness.routers)
        router.signal(signal.SIGSTOP)
        await curio.sleep(rng.uniform(*STALL_SECONDS))
        router.signal(signal.SIGCONT)


@faults.register("reload")
async def reload(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Make every router reload its settings."""
    for router in harness.routers:
        router.signal(signal.SIGHUP)


@faults.register("delay")
async def delay(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Delay the traffic of an endpoint in both directions."""
    await impair(rng.choice(harness.proxies), "delay", rng.uniform(0.02, 0.3), seconds)


@faults.register("silence")
async def drop_traffic(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Drop the traffic of an endpoint in both directions, or only its responses."""
    proxy = rng.choice(harness.proxies)
    await impair(proxy, rng.choice(("silent", "one_way")), True, seconds)
    await proxy.reset_connections()


@faults.register("crash")
async def crash(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Close the connections of an endpoint and refuse new ones."""
    proxy = rng.choice(harness.proxies)
    await proxy.reset_connections()
    await impair(proxy, "refusing", True, seconds)


@faults.register("cut")
async def interrupt_endpoint(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Close all connections to an endpoint several times."""
    proxy = rng.choice(harness.proxies)
    for _ in range(4):
        await proxy.reset_connections()
        await curio.sleep(seconds / 4)


@faults.register("partition")
async def partition(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Partition a router from the store: drop traffic or responses, or refuse connections."""
    proxy = rng.choice(harness.store_proxies)
    await impair(proxy, rng.choice(("silent", "one_way", "refusing")), True, seconds)
    await proxy.close_connections()


@faults.register("slow_store")
async def slow_store(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Delay the traffic between a router and the store."""
    await impair(rng.choice(harness.store_proxies), "delay", rng.uniform(0.1, 0.6), seconds)


@faults.register("misbehave")
async def misbehave(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Make an endpoint fail some of its requests in various ways."""
    origin = rng.choice(harness.origins)
    origin.script = [rng.choice((*MISBEHAVIOURS, "well", "well")) for _ in range(30)] + ["well"]
    await curio.sleep(seconds)
    origin.script = ["well"]


@faults.register("overload")
async def overload(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Let endpoints reject what is beyond their slots, and send some answers once more."""
    overloads = []
    for origin in harness.origins:
        if origin.overload is not None:
            continue
        origin.overload = Overload(
            random.Random(rng.random()),
            rng.choice(SLOT_COUNTS),
            rng.random() < DEFERRING_PROBABILITY,
            rng.choice(COPY_PROBABILITIES),
            EARLY_PROBABILITY,
        )
        overloads.append(origin)
    await curio.sleep(OVERLOAD_SECONDS)
    for origin in overloads:
        harness.rejection_count += origin.overload.rejection_count
        harness.copy_count += origin.overload.copy_count
        origin.overload = None


@faults.register("store")
async def fail_store(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Make the store fail calls, hang, lose responses to writes or delay writes."""
    store_faults = harness.store.faults
    options = (("status", 503), ("status", 429), ("silent", True), ("lost", True), ("late", 1.0))
    name, value = rng.choice(options)
    previous = getattr(store_faults, name)
    setattr(store_faults, name, value)
    await curio.sleep(seconds)
    setattr(store_faults, name, type(previous)())


@faults.register("history")
async def compact_store(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Discard the history of the store, so that watches must start again."""
    harness.store.compact()


@faults.register("crashing_part")
async def send_crashing_part(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Let callers send a prompt part that crashes each endpoint which begins to answer it."""
    harness.add_crashing_part()
    part = harness.crashing_part
    await curio.sleep(CRASHING_PART_SECONDS)
    if harness.crashing_part == part:
        harness.crashing_part = ""


@faults.register("limit")
async def limit_endpoint(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Let an endpoint name a limit on its requests per second."""
    index = rng.randrange(len(harness.origins))
    origin = harness.origins[index]
    if origin.limit is not None:
        return
    origin.limit = rng.choice(LIMITS_PER_SECOND)
    started_at = now()
    await curio.sleep(LIMIT_SECONDS)
    harness.limit_periods.append(LimitPeriod(index, origin.limit, started_at, now()))
    origin.limit = None


@faults.register("cold")
async def restart_endpoint(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Crash an endpoint, which is cold when it has started again."""
    await harness.crash_endpoint(rng.randrange(len(harness.origins)))
    await curio.sleep(RESTART_SECONDS + WARMUP.seconds)


@faults.register("leave")
async def drain_and_restart(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Drain an endpoint for `DRAINING_SECONDS`."""
    index = rng.randrange(len(harness.origins))
    await drain_endpoint(harness, index)
    await harness.start_endpoint(index)


async def drain_endpoint(harness: SoakHarness, index: int) -> None:
    """Let an endpoint's entry say that it drains, for as long as it serves after that."""
    harness.draining.add(index)
    await harness.put_endpoint(index)
    await wait_while_leaving(index, harness.drain_periods)


async def wait_while_leaving(index: int, periods: list) -> None:
    """Wait while an endpoint leaves, and record the period."""
    started_at = now()
    await curio.sleep(DRAINING_SECONDS)
    periods.append((index, started_at, now()))


@faults.register("release")
async def release(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Replace two endpoints one after another by ones of another version, or of a former one."""
    version = f"v{rng.randrange(1, VERSION_COUNT + 1)}"
    for index in rng.sample(range(len(harness.origins)), 2):
        if index in harness.draining:
            continue
        await drain_endpoint(harness, index)
        await harness.replace_endpoint(index, version)


@faults.register("upgrade")
async def crash_and_upgrade(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Crash an endpoint, start it again under its name with another version, and write its entry.

    It serves a little before its entry is in the store.
    """
    index = rng.randrange(len(harness.origins))
    proxy = harness.proxies[index]
    if proxy.refusing or index in harness.draining:
        return
    proxy.refusing = True
    await proxy.reset_connections()
    await curio.sleep(seconds / 3)
    harness.origins[index].version = f"v{rng.randrange(1, VERSION_COUNT + 1)}"
    proxy.refusing = False
    await curio.sleep(rng.uniform(0.0, ENTRY_DELAY_SECONDS))
    await harness.start_endpoint(index)


@faults.register("shutdown")
async def announce_shutdown(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Make an endpoint say in its responses that it shuts down, while its entry stays ready."""
    index = rng.randrange(len(harness.origins))
    harness.origins[index].leaving = True
    await wait_while_leaving(index, harness.shutdown_periods)
    await harness.start_endpoint(index)


@faults.register("restore")
async def restore_store(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Restore the store from a copy; the operator and the endpoints write again in any order."""
    copy = harness.store.copy()
    await curio.sleep(seconds)
    await harness.store.restore(copy)
    writes = [(harness.write_configuration, ())]
    writes.append((harness.write_evacuations, ()))
    writes += [(harness.put_endpoint, (number,)) for number in range(len(harness.origins))]
    rng.shuffle(writes)
    for write, arguments in writes:
        await curio.sleep(rng.uniform(0.0, REWRITE_SECONDS / len(writes)))
        await write(*arguments)
    await harness.remove_former_endpoints()


@faults.register("evacuate")
async def evacuate(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Evacuate a failure domain for longer than routers may take to obey."""
    domain = rng.choice(DOMAINS)
    if domain in harness.evacuated:
        return
    harness.evacuated.add(domain)
    await harness.write_evacuations()
    started_at = now()
    await curio.sleep(EVACUATION_SECONDS + EVACUATED_SECONDS)
    harness.evacuation_periods.append((domain, started_at, now()))
    harness.evacuated.discard(domain)
    await harness.write_evacuations()


@faults.register("configure")
async def configure(harness: SoakHarness, rng: random.Random, seconds: float) -> None:
    """Write several new versions of the configuration."""
    for _ in range(3):
        await harness.put_configuration()
        await curio.sleep(seconds / 3)
