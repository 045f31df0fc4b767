"""Benchmark of configurations: size, and time to compile, encode and adopt one."""

import dataclasses
import hashlib
import random
import statistics
import tempfile
import time
import zlib
from collections.abc import Callable
from pathlib import Path

import msgspec

from .. import defaults
from ..environment import Environment
from ..fleet import compile_fleet, heads
from ..fleet.audit import pack_bucket
from ..fleet.content import Content, encode
from ..fleet.heads import HeadRecord
from ..fleet.plan import compare, summary
from ..fleet.pull_protocol import PullRequest, PullResponse
from ..fleet.store import Bundle
from ..records import VM, Application, ClientAccount, Endpoint, Fleet, Revision
from ..settings import Settings
from . import Report, benches

ENTRY_VMS = 370
SERVERS = 760
ACCOUNTS = 2400
MODELS = 31
FAILURE_DOMAINS = 5
CHANGES_PER_DAY = 3900
TOKEN_INTERVAL_SECONDS = 0.057
CONTROL_BYTES_PER_SECOND = 28_000
SECONDS_PER_DAY = 86400


def make_vm(number: int, role: str) -> VM:
    """Return one VM of the target fleet."""
    domain = number % FAILURE_DOMAINS
    address = f"10.{number // 62500}.{number // 250 % 250}.{number % 250 + 1}"
    return VM(f"{role}-{number:04d}", address, f"region-{domain % 2}", f"domain-{domain}", role)


def make_fleet(rng: random.Random) -> Fleet:
    """Return a configuration of the target's size."""
    models = [f"model-{number:02d}-instruct" for number in range(MODELS)]
    entries = [make_vm(number, "entry") for number in range(ENTRY_VMS)]
    hosts = [make_vm(number + ENTRY_VMS, "endpoint") for number in range(SERVERS)]
    endpoints = [
        Endpoint(
            name=f"server-{number:04d}",
            vm=vm.name,
            address=vm.address,
            port=8000,
            sidecar_port=defaults.SIDECAR_PORT,
            application="pool",
            region=vm.region,
            failure_domain=vm.failure_domain,
            capacity=8,
            models=(models[number % MODELS],),
            engine_role="mixed",
        )
        for number, vm in enumerate(hosts)
    ]
    accounts = [
        ClientAccount(
            name=f"account-{number:04d}",
            key_digests=(hashlib.sha256(b"%d" % number).hexdigest(),),
            applications=("pool",),
            models=tuple(sorted(rng.sample(models, rng.randrange(1, MODELS + 1)))),
        )
        for number in range(ACCOUNTS)
    ]
    return Fleet(
        name="target",
        vms=tuple(sorted(entries + hosts, key=lambda vm: vm.name)),
        endpoints=tuple(endpoints),
        applications=(Application("pool", "model"),),
        client_accounts=tuple(accounts),
    )


def change_one_account(fleet: Fleet, rng: random.Random) -> Fleet:
    """Return a copy in which one client account has a different weight."""
    accounts = list(fleet.client_accounts)
    index = rng.randrange(len(accounts))
    accounts[index] = dataclasses.replace(accounts[index], weight=rng.uniform(1, 9))
    return dataclasses.replace(fleet, client_accounts=tuple(accounts))


def change_all_accounts(fleet: Fleet, rng: random.Random) -> Fleet:
    """Return a copy in which every client account has a different weight."""
    weight = rng.uniform(1, 9)
    accounts = [dataclasses.replace(entry, weight=weight) for entry in fleet.client_accounts]
    return dataclasses.replace(fleet, client_accounts=tuple(accounts))


def write_directory(fleet: Fleet, directory: Path) -> None:
    """Write a fleet directory that compiles to a configuration of the same size."""
    vms = [f"{v.name},{v.address},{v.region},{v.failure_domain},{v.role}" for v in fleet.vms]
    servers = [f"{e.name},{e.vm},{e.port},pool,{e.models[0]},8" for e in fleet.endpoints]
    accounts = [f"{a.name},{a.key_digests[0]}" for a in fleet.client_accounts]
    files = {
        "vms.csv": ["vm,address,region,failure_domain,role", *vms],
        "model_servers.csv": ["server,vm,port,application,models,accelerators", *servers],
        "applications.csv": ["application,kind,path,vms,port", "pool,model,,,"],
        "client_accounts.csv": ["client_account,key_sha256", *accounts],
        "rules.toml": [
            f"[[allow]]\nclient_accounts = {[a.name]}\nmodels = {list(a.models)}"
            for a in fleet.client_accounts
        ],
    }
    for name, lines in files.items():
        (directory / name).write_text("\n".join(lines) + "\n", encoding="utf-8")


def compile_row(fleet: Fleet) -> dict:
    """Return a row with the compile time of a fleet directory with one rule per account."""
    with tempfile.TemporaryDirectory() as name:
        write_directory(fleet, Path(name))
        seconds, compiled = time_call(compile_fleet, name)
    assert len(compiled.client_accounts) == len(fleet.client_accounts)
    return {"compile ms": 1000 * seconds, "rules": len(fleet.client_accounts)}


def time_call(call: Callable, *arguments: object) -> tuple[float, object]:
    """Return the duration of a call in seconds and its result."""
    started_at = time.perf_counter()
    result = call(*arguments)
    return time.perf_counter() - started_at, result


class Node:
    """A node that adopts a sequence of configurations.

    :param fleet: the initial configuration.
    """

    def __init__(self, fleet: Fleet):
        self.env = Environment(Settings("entry-0000", "r", "d", "127.0.0.1:1", seed=1))
        self.fleet = fleet
        self.chain: list[Revision] = []
        self.adopt(encode(fleet))

    def adopt(self, content: Content, changes: tuple[str, ...] = ()) -> tuple[float, float]:
        """Adopt a content; return the total seconds and the seconds of the longest step."""
        parent = self.chain[-1] if self.chain else None
        revision = heads.next_revision(parent, content, "operator", "a reason", changes)
        links = tuple(self.chain[-defaults.MAX_CHAIN_LINKS :])
        steps = []
        prepared = self.env.decoder.prepare(content)
        waiting = True
        while waiting:
            seconds, waiting = time_call(lambda: next(prepared, self) is not self)
            steps.append(seconds)
        seconds, adopted = time_call(self.env.adopt, revision, content, links)
        assert adopted
        self.chain.append(revision)
        return sum(steps) + seconds, max(*steps, seconds)

    def change(self, fleet: Fleet) -> tuple[tuple[float, float], int]:
        """Adopt a change; return its times and the size in bytes of a pull response with it."""
        changes = summary(compare(self.fleet, fleet))
        ask = PullRequest(self.env.revisions.number, self.env.content.digest)
        seconds = self.adopt(encode(fleet), changes)
        self.fleet = fleet
        answer = self.env.pull_server.respond(self.env.revisions, self.env.content, ask)
        return seconds, len(msgspec.msgpack.encode(answer))


def measure_changes(
    node: Node, change: Callable, count: int, rng: random.Random
) -> tuple[list[tuple[float, float]], float]:
    """Return the times of each adoption and the mean size of a delta in bytes."""
    times, sizes = [], []
    for _ in range(count):
        durations, size = node.change(change(node.fleet, rng))
        times.append(durations)
        sizes.append(size)
    return times, statistics.mean(sizes)


def audit_sizes(chain: list[Revision]) -> dict:
    """Return a row with the sizes of audit trail and head for a chain of typical changes."""
    bucket = chain[-defaults.REVISIONS_PER_AUDIT_BUCKET :]
    size = len(pack_bucket(tuple(bucket)))
    year = CHANGES_PER_DAY * 365 / defaults.REVISIONS_PER_AUDIT_BUCKET
    longest = HeadRecord(chain[-1], tuple(bucket * 2)[1:])
    return {
        "audit bucket": size,
        "buckets a year": round(year),
        "MB a year": year * size / 1e6,
        "longest head": len(msgspec.json.encode(longest)),
    }


@benches.register("configuration")
def run(seed: int, quick: bool) -> Report:
    """Measure a configuration of the target size."""
    rng = random.Random(seed)
    report = Report()
    fleet = make_fleet(rng)
    json_content = msgspec.json.encode(fleet, order="deterministic")
    seconds, content = time_call(encode, fleet)
    packed = msgspec.msgpack.encode(Bundle(content.parts_not_in(frozenset())))
    report.rows.append(
        {
            "JSON bytes": len(json_content),
            "zlib bytes": len(zlib.compress(json_content)),
            "snapshot": len(packed),
            "parts": len(content.parts),
            "encode ms": 1000 * seconds,
        }
    )
    report.rows.append(compile_row(fleet))
    node = Node(fleet)
    full_response = node.env.pull_server.respond(node.env.revisions, content, PullRequest())
    full_bytes = len(msgspec.msgpack.encode(full_response))
    count = 20 if quick else 140
    for name, change in (
        ("one account", change_one_account),
        ("all accounts", change_all_accounts),
    ):
        durations, size = measure_changes(
            node, change, count if change is change_one_account else 5, rng
        )
        report.rows.append(adoption_row(name, durations, size, full_bytes))
        if change is change_one_account:
            share = size * CHANGES_PER_DAY / SECONDS_PER_DAY / CONTROL_BYTES_PER_SECOND
            report.rows.append(audit_sizes(node.chain) if len(node.chain) > 128 else {})
            report.expect(share < 0.05, "typical changes under 5% of a node's control bytes")
        report.expect(
            max(step for _, step in durations) < TOKEN_INTERVAL_SECONDS,
            f"{name}: no step of an adoption takes longer than a token gap of 57 ms",
        )
    report.rows = [row for row in report.rows if row]
    report.expect(len(packed) < full_bytes * 1.1, "a snapshot is no larger than a full answer")
    report.expect(sends_no_parts(node), "an unchanged answer carries no parts")
    return report


def adoption_row(
    name: str, durations: list[tuple[float, float]], size: float, full_bytes: int
) -> dict:
    """Return the result row for one kind of change."""
    return {
        "change": name,
        "adopt ms p50": 1000 * statistics.median(total for total, _ in durations),
        "step ms max": 1000 * max(step for _, step in durations),
        "answer bytes": size,
        "of a full one": size / full_bytes,
        "bytes/s a node": size * CHANGES_PER_DAY / SECONDS_PER_DAY,
    }


def sends_no_parts(node: Node) -> bool:
    """Return whether the pull response to an up-to-date node has no parts."""
    revisions = node.env.revisions
    answer: PullResponse = node.env.pull_server.respond(
        revisions, node.env.content, PullRequest(revisions.number)
    )
    return not answer.parts
