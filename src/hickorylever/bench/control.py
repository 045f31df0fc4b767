"""Benchmark of the gossip: cost per node, and time to detect changes, drains and failures."""

import gc
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable

from .. import defaults, packets
from ..decisions.revisions import watchers
from ..decisions.swim import Swim
from ..packets import Health, Packet, PacketKind, Phase, TopicValue, Update
from ..records import Member, MemberState
from . import Report, benches
from .mesh import Links, Mesh, Node
from .scheduler import EventScheduler

SIZES = (8, 32, 128, 370, 1130)
QUICK_SIZES = (8, 32, 128)
LOSSES = (0.01, 0.05, 0.2)
ROUTER_RATIO = 370 / 1130
DOMAINS = 5
WARM_UP_SECONDS = 2.0
WINDOW_SECONDS = 15.0
REVISIONS = 2
REVISION_WAIT_SECONDS = 5.0
DRAINS = 3
DRAIN_WAIT_SECONDS = 3.0
KILLS = 1
KILL_WAIT_SECONDS = 16.0
STEP_SECONDS = 0.1
CODEC_RUNS = 2000

SMALL_FLEET_BYTES_PER_SECOND = 4 * 1024
MAX_BYTES_PER_SECOND = 28 * 1024
MAX_CPU_RATIO = 0.027
MAX_STATE_BYTES = 32 * 1024 * 1024
MAX_ADOPTION_SECONDS = 3.0
MAX_DRAIN_SECONDS = 2.0
MAX_TRAFFIC_GROWTH = 1.5
DATAGRAM_LIMIT_BYTES = 1280


def percentile(values: list[float], ratio: float) -> float:
    """Return the `ratio` quantile of the values, infinity if there are none."""
    if not values:
        return float("inf")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(ratio * len(ordered)))]


def make_mesh(size: int, loss: float, seed: int) -> Mesh:
    """Return a warmed-up mesh whose nodes publish the usual topics."""
    routers = max(2, round(size * ROUTER_RATIO))
    mesh = Mesh(EventScheduler(seed), routers, size - routers, Links(loss=loss))
    mesh.converge()
    accounts = {f"client-account-{number}": 1000 + number for number in range(10)}
    for node in mesh.live():
        if node.is_router:
            node.swim.publish("use", accounts)
        else:
            node.swim.publish("load", (node.name, 12345.0, 12, 8))
    mesh.scheduler.run(WARM_UP_SECONDS)
    mesh.reset()
    return mesh


def measure_traffic(report: Report, size: int, seed: int) -> dict:
    """Measure bytes, messages and CPU time per node while one revision spreads."""
    mesh = make_mesh(size, 0.01, seed)
    started_at = time.perf_counter()
    mesh.adopt_revision(mesh.live()[0], 1)
    mesh.scheduler.run(WARM_UP_SECONDS + WINDOW_SECONDS)
    nodes = mesh.live()
    byte_rates = [(node.sent["bytes"] + node.received["bytes"]) / WINDOW_SECONDS for node in nodes]
    message_rates = [
        (node.sent["messages"] + node.received["messages"]) / WINDOW_SECONDS for node in nodes
    ]
    cpu_ratios = [node.cpu_seconds / WINDOW_SECONDS for node in nodes]
    row = {
        "members": size,
        "B/s p50": statistics.median(byte_rates),
        "B/s max": max(byte_rates),
        "messages/s p50": statistics.median(message_rates),
        "messages/s max": max(message_rates),
        "core p50": statistics.median(cpu_ratios),
        "core max": max(cpu_ratios),
        "state KB": state_bytes(size) / 1024,
        "watching": len(chosen_watchers(size)),
        "bench s": time.perf_counter() - started_at,
    }
    report.rows.append(row)
    report.expect(max(byte_rates) < MAX_BYTES_PER_SECOND, f"{size} members: under 28 KB/s a node")
    report.expect(max(cpu_ratios) < MAX_CPU_RATIO, f"{size} members: under 2.7% of a core")
    if size <= 32:
        report.expect(
            max(byte_rates) < SMALL_FLEET_BYTES_PER_SECOND, f"{size} members: under 4 KB/s a node"
        )
    return row


def state_bytes(size: int) -> float:
    """Return the memory in bytes of one member's table, probes and queues."""
    gc.collect()
    tracemalloc.start()
    swim = Swim(1, 1, random.Random(1))
    swim.members.set_inventory(range(1, size + 1))
    for member in range(2, size + 1):
        swim.members.apply_update(Update(member, 1, 0, Phase.READY, Health.ALIVE), 0.0)
    swim.enqueue_updates()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes


def chosen_watchers(size: int) -> set[str]:
    """Return the members that watch the object API, each with one long poll at a time."""
    members = [
        Member(f"vm-{n}", "", 0, "", "r", f"d{n % DOMAINS}", "", MemberState.READY)
        for n in range(size)
    ]
    return {name for domain in range(DOMAINS) for name in watchers(members, f"d{domain}")}


def measure_adoption(report: Report, size: int, loss: float, seed: int) -> None:
    """Measure the time until every node has adopted a revision."""
    mesh = make_mesh(size, loss, seed)
    scheduler = mesh.scheduler
    times: list[float] = []
    missing = 0
    for number in range(1, REVISIONS + 1):
        started_at = scheduler.now
        mesh.adopt_revision(scheduler.rng.choice(mesh.live()), number)
        scheduler.run(started_at + REVISION_WAIT_SECONDS)
        times += [
            at - started_at for (_, revision), at in mesh.adopted_at.items() if revision == number
        ]
        missing += sum(node.revision < number for node in mesh.live())
    refutations = sum(node.swim.members.refutations for node in mesh.live())
    p99 = percentile(times, 0.99)
    report.rows.append(
        {
            "members": size,
            "loss": loss,
            "in force p50 s": percentile(times, 0.5),
            "p99 s": p99,
            "max s": max(times),
            "not in force": missing,
            "refutations/h": refutations / size / (scheduler.now / 3600),
        }
    )
    if loss <= 0.05:
        report.expect(
            p99 < MAX_ADOPTION_SECONDS, f"{size} members, {loss:.0%} loss: in force within 3 s"
        )
        report.expect(missing == 0, f"{size} members, {loss:.0%} loss: in force everywhere")


def seconds_until(mesh: Mesh, limit: float, seen: Callable[[Node], bool]) -> list[float]:
    """Return the seconds until `seen` holds on each live router; infinity after `limit`."""
    started_at = mesh.scheduler.now
    waiting = [mesh.nodes[member] for member in mesh.routers if mesh.nodes[member].alive]
    times: list[float] = []
    while waiting and mesh.scheduler.now < started_at + limit:
        mesh.scheduler.run(mesh.scheduler.now + STEP_SECONDS)
        remaining = [node for node in waiting if not seen(node)]
        times += [mesh.scheduler.now - started_at] * (len(waiting) - len(remaining))
        waiting = remaining
    return times + [float("inf")] * len(waiting)


def is_unusable(member: int, mesh: Mesh) -> Callable[[Node], bool]:
    """Return a predicate: whether a router excludes a member from routing."""
    return lambda node: not node.swim.members.usable(member, mesh.scheduler.now)


def measure_datagrams(report: Report) -> None:
    """Measure the size of typical datagrams and the CPU time of a codec round trip."""
    update = Update(2**63, 2**41, 12, Phase.READY, Health.ALIVE)
    load = TopicValue(2**63, "load", 2**60, ("malthjonn-1", 12345.0, 12, 8))
    kinds = {
        "ping": Packet(PacketKind.PING, 2**63, 70000, updates=[update]),
        "ack": Packet(PacketKind.ACK, 2**63, 70000, 2**63),
        "load": Packet(PacketKind.GOSSIP, 2**63, topic_values=[load]),
        "40 updates": Packet(PacketKind.UPDATES, 2**63, updates=[update] * 40),
    }
    for name, packet in kinds.items():
        started_at = time.perf_counter()
        for _ in range(CODEC_RUNS):
            packets.decode(packets.encode(packet))
        microseconds = (time.perf_counter() - started_at) / CODEC_RUNS * 1e6
        size = len(packets.encode(packet)) + defaults.DATAGRAM_OVERHEAD_BYTES
        report.rows.append({"datagram": name, "B with headers": size, "codec us": microseconds})
        report.expect(size <= DATAGRAM_LIMIT_BYTES, f"{name}: fits one datagram")


def is_gone(member: int) -> Callable[[Node], bool]:
    """Return a predicate: whether a router considers a member gone."""
    return lambda node: node.swim.members.state(member) is MemberState.GONE


def measure_removal(report: Report, size: int, seed: int) -> None:
    """Measure how soon routers exclude draining and failed endpoints, at 5% packet loss."""
    mesh = make_mesh(size, 0.05, seed)
    drain_times: list[float] = []
    failures: list[float] = []
    gone_times: list[float] = []
    for member in mesh.sidecars[:DRAINS]:
        mesh.drain(mesh.nodes[member])
        drain_times += seconds_until(mesh, DRAIN_WAIT_SECONDS, is_unusable(member, mesh))
    for member in mesh.sidecars[-KILLS:]:
        mesh.kill(mesh.nodes[member])
        exclusion_times = seconds_until(mesh, KILL_WAIT_SECONDS, is_unusable(member, mesh))
        elapsed = max(exclusion_times)
        later_times = seconds_until(mesh, KILL_WAIT_SECONDS, is_gone(member))
        failures += exclusion_times
        gone_times += [elapsed + later for later in later_times]
    report.rows.append(
        {
            "members": size,
            "drain p50 s": percentile(drain_times, 0.5),
            "drain max s": max(drain_times),
            "dead p50 s": percentile(failures, 0.5),
            "dead max s": max(failures),
            "gone max s": max(gone_times),
        }
    )
    report.expect(
        max(drain_times) <= MAX_DRAIN_SECONDS, f"{size} members: drains detected within 2 s"
    )
    report.expect(max(gone_times) < float("inf"), f"{size} members: dead endpoints detected")


@benches.register("control")
def run(seed: int, quick: bool) -> Report:
    """Run every measurement at every fleet size."""
    report = Report()
    measure_datagrams(report)
    sizes = QUICK_SIZES if quick else SIZES
    rows = [measure_traffic(report, size, seed) for size in sizes]
    for size in sizes:
        for loss in LOSSES:
            measure_adoption(report, size, loss, seed)
    for size in sizes:
        measure_removal(report, size, seed)
    constant_traffic = rows[-1]["B/s p50"] <= MAX_TRAFFIC_GROWTH * rows[1]["B/s p50"]
    report.expect(
        constant_traffic,
        f"bytes at {sizes[-1]} members at most {MAX_TRAFFIC_GROWTH} x those at {sizes[1]}",
    )
    report.expect(rows[-1]["state KB"] * 1024 < MAX_STATE_BYTES, "state under 32 MB")
    watcher_limit_kept = rows[-1]["watching"] <= DOMAINS * defaults.WATCHERS_PER_FAILURE_DOMAIN
    report.expect(watcher_limit_kept, "number of watch calls independent of the number of members")
    return report
