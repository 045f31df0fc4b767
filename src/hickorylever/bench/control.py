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
from .driver import Driver
from .mesh import Links, Mesh, Node

SIZES = (8, 32, 128, 370, 1130)
QUICK_SIZES = (8, 32, 128)
LOSSES = (0.01, 0.05, 0.2)
ROUTER_SHARE = 370 / 1130
DOMAINS = 5
WARM_UP = 2.0
WINDOW = 15.0
REVISIONS = 2
REVISION_WAIT = 5.0
DRAINS = 3
DRAIN_WAIT = 3.0
KILLS = 1
KILL_WAIT = 16.0
STEP = 0.1
CODEC_RUNS = 2000

TODAY_BYTES = 4 * 1024
TARGET_BYTES = 28 * 1024
TARGET_CPU = 0.027
TARGET_MEMORY = 32 * 1024 * 1024
TARGET_IN_FORCE = 3.0
TARGET_DRAIN = 2.0
FLAT = 1.5
DATAGRAM_LIMIT = 1280


def percentile(values: list[float], share: float) -> float:
    """Return the `share` quantile of the values, infinity if there are none."""
    if not values:
        return float("inf")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def make_mesh(size: int, loss: float, seed: int) -> Mesh:
    """Return a warmed-up mesh whose nodes publish the usual topics."""
    routers = max(2, round(size * ROUTER_SHARE))
    mesh = Mesh(Driver(seed), routers, size - routers, Links(loss=loss))
    mesh.warm()
    accounts = {f"client-account-{number}": 1000 + number for number in range(10)}
    for node in mesh.live():
        if node.router:
            node.swim.publish("use", accounts)
        else:
            node.swim.publish("load", (node.name, 12345.0, 12, 8))
    mesh.driver.run(WARM_UP)
    mesh.reset()
    return mesh


def traffic(report: Report, size: int, seed: int) -> dict:
    """Measure bytes, messages and CPU time per node while one revision spreads."""
    mesh = make_mesh(size, 0.01, seed)
    begun = time.perf_counter()
    mesh.reach(mesh.live()[0], 1)
    mesh.driver.run(WARM_UP + WINDOW)
    nodes = mesh.live()
    octets = [(node.sent["bytes"] + node.received["bytes"]) / WINDOW for node in nodes]
    messages = [(node.sent["messages"] + node.received["messages"]) / WINDOW for node in nodes]
    shares = [node.seconds / WINDOW for node in nodes]
    row = {
        "members": size,
        "B/s p50": statistics.median(octets),
        "B/s max": max(octets),
        "messages/s p50": statistics.median(messages),
        "messages/s max": max(messages),
        "core p50": statistics.median(shares),
        "core max": max(shares),
        "state KB": state_bytes(size) / 1024,
        "watching": len(chosen_watchers(size)),
        "bench s": time.perf_counter() - begun,
    }
    report.rows.append(row)
    report.expect(max(octets) < TARGET_BYTES, f"{size} members: under 28 KB/s a node")
    report.expect(max(shares) < TARGET_CPU, f"{size} members: under 2.7% of a core")
    if size <= 32:
        report.expect(max(octets) < TODAY_BYTES, f"{size} members: under 4 KB/s a node")
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
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return taken


def chosen_watchers(size: int) -> set[str]:
    """Return the members that watch the object API, each with one long poll at a time."""
    members = [
        Member(f"vm-{n}", "", 0, "", "r", f"d{n % DOMAINS}", "", MemberState.READY)
        for n in range(size)
    ]
    return {name for domain in range(DOMAINS) for name in watchers(members, f"d{domain}")}


def spread(report: Report, size: int, loss: float, seed: int) -> None:
    """Measure the time until every node has adopted a revision."""
    mesh = make_mesh(size, loss, seed)
    driver = mesh.driver
    times: list[float] = []
    missing = 0
    for number in range(1, REVISIONS + 1):
        begun = driver.now
        mesh.reach(driver.rng.choice(mesh.live()), number)
        driver.run(begun + REVISION_WAIT)
        times += [at - begun for (_, heard), at in mesh.heard.items() if heard == number]
        missing += sum(node.revision < number for node in mesh.live())
    false = sum(node.swim.members.refutations for node in mesh.live())
    p99 = percentile(times, 0.99)
    report.rows.append(
        {
            "members": size,
            "loss": loss,
            "in force p50 s": percentile(times, 0.5),
            "p99 s": p99,
            "max s": max(times),
            "not in force": missing,
            "refutations/h": false / size / (driver.now / 3600),
        }
    )
    if loss <= 0.05:
        report.expect(p99 < TARGET_IN_FORCE, f"{size} members, {loss:.0%} loss: in force in 3 s")
        report.expect(missing == 0, f"{size} members, {loss:.0%} loss: in force everywhere")


def wait_for(mesh: Mesh, limit: float, seen: Callable[[Node], bool]) -> list[float]:
    """Return the seconds until `seen` holds on each live router; infinity after `limit`."""
    begun = mesh.driver.now
    waiting = [mesh.nodes[member] for member in mesh.routers if mesh.nodes[member].alive]
    times: list[float] = []
    while waiting and mesh.driver.now < begun + limit:
        mesh.driver.run(mesh.driver.now + STEP)
        still = [node for node in waiting if not seen(node)]
        times += [mesh.driver.now - begun] * (len(waiting) - len(still))
        waiting = still
    return times + [float("inf")] * len(waiting)


def out_of_use(member: int, mesh: Mesh) -> Callable[[Node], bool]:
    """Return a predicate: whether a router excludes a member from routing."""
    return lambda node: not node.swim.members.usable(member, mesh.driver.now)


def datagrams(report: Report) -> None:
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
        begun = time.perf_counter()
        for _ in range(CODEC_RUNS):
            packets.decode(packets.encode(packet))
        micros = (time.perf_counter() - begun) / CODEC_RUNS * 1e6
        size = len(packets.encode(packet)) + defaults.DATAGRAM_OVERHEAD_BYTES
        report.rows.append({"datagram": name, "B with headers": size, "codec us": micros})
        report.expect(size <= DATAGRAM_LIMIT, f"{name}: fits a datagram")


def is_gone(member: int) -> Callable[[Node], bool]:
    """Return a predicate: whether a router considers a member gone."""
    return lambda node: node.swim.members.state(member) is MemberState.GONE


def leaving(report: Report, size: int, seed: int) -> None:
    """Measure how soon routers exclude draining and failed endpoints, at 5% packet loss."""
    mesh = make_mesh(size, 0.05, seed)
    drains: list[float] = []
    kills: list[float] = []
    gone: list[float] = []
    for member in mesh.sidecars[:DRAINS]:
        mesh.drain(mesh.nodes[member])
        drains += wait_for(mesh, DRAIN_WAIT, out_of_use(member, mesh))
    for member in mesh.sidecars[-KILLS:]:
        mesh.kill(mesh.nodes[member])
        first = wait_for(mesh, KILL_WAIT, out_of_use(member, mesh))
        passed = max(first)
        rest = wait_for(mesh, KILL_WAIT, is_gone(member))
        kills += first
        gone += [passed + later for later in rest]
    report.rows.append(
        {
            "members": size,
            "drain p50 s": percentile(drains, 0.5),
            "drain max s": max(drains),
            "dead p50 s": percentile(kills, 0.5),
            "dead max s": max(kills),
            "gone max s": max(gone),
        }
    )
    report.expect(max(drains) <= TARGET_DRAIN, f"{size} members: a drain is seen in 2 s")
    report.expect(max(gone) < float("inf"), f"{size} members: a dead endpoint is seen")


@benches.register("control")
def run(seed: int, quick: bool) -> Report:
    """Run every measurement at every fleet size."""
    report = Report()
    datagrams(report)
    sizes = QUICK_SIZES if quick else SIZES
    rows = [traffic(report, size, seed) for size in sizes]
    for size in sizes:
        for loss in LOSSES:
            spread(report, size, loss, seed)
    for size in sizes:
        leaving(report, size, seed)
    flat = rows[-1]["B/s p50"] <= FLAT * rows[1]["B/s p50"]
    report.expect(flat, f"bytes at {sizes[-1]} members at most {FLAT} x those at {sizes[1]}")
    report.expect(rows[-1]["state KB"] * 1024 < TARGET_MEMORY, "state under 32 MB")
    calls = rows[-1]["watching"] <= DOMAINS * defaults.WATCHERS_PER_FAILURE_DOMAIN
    report.expect(calls, "watching calls do not grow with the members")
    return report
