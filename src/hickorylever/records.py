"""Immutable records shared by several modules."""

import enum
from dataclasses import dataclass, field

from . import defaults
from .exceptions import Kind, Ran


@dataclass(frozen=True, slots=True)
class VM:
    """A virtual machine of the inventory.

    :param role: ``entry`` (runs a router) or ``endpoint`` (runs a sidecar).
    """

    name: str
    address: str
    region: str
    failure_domain: str
    role: str


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A model engine or an instance of a plain service, with its sidecar.

    :param capacity: relative weight, the number of accelerators or 1.
    :param adapters: adapters that its engine should load.
    :param engine_role: ``mixed``, ``prefill`` or ``decode``; empty for a plain service.
    :param obeys_fencing: whether its engine refuses orders with an outdated fencing number itself.
    """

    name: str
    vm: str
    address: str
    port: int
    sidecar_port: int
    application: str
    region: str
    failure_domain: str
    capacity: int = 1
    models: tuple[str, ...] = ()
    version: str = ""
    adapters: tuple[str, ...] = ()
    engine_role: str = ""
    obeys_fencing: bool = False


@dataclass(frozen=True, slots=True)
class Application:
    """An application that callers address.

    :param kind: ``model`` (a pool of model engines) or ``service`` (a plain service).
    :param path: the path prefix of a plain service.
    """

    name: str
    kind: str
    path: str = ""


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A caller's account.

    :param key_digests: hexadecimal SHA-256 of each bearer key.
    :param applications: names of the applications that the rules allow.
    :param models: names of the models that the rules allow.
    :param weight: weight in fair queueing when requests compete for endpoints.
    :param priority: a larger number is served earlier by the endpoint.
    """

    name: str
    key_digests: tuple[str, ...]
    applications: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    weight: float = 1.0
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Guard:
    """A rule for requests that must not be executed twice. Empty fields match everything.

    :param retention: seconds for which the outcome of a request is kept at least. All outcomes are
        kept for the longest retention of all guards.
    """

    application: str = ""
    methods: tuple[str, ...] = ()
    path: str = ""
    model: str = ""
    retention: float = defaults.GUARD_RETENTION_SECONDS


@dataclass(frozen=True, slots=True)
class Fleet:
    """A compiled and validated configuration.

    :param load_multiple: multiple of the mean load that an endpoint may have.
    :param load_floor: tokens per unit of capacity that an endpoint may always have.
    :param policy: name of the routing policy.
    :param drain_grace: seconds that in-flight requests get after a stop signal. The demo copies it
        to the settings of its processes; a process itself uses its own settings.
    """

    name: str
    vms: tuple[VM, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    applications: tuple[Application, ...] = ()
    client_accounts: tuple[ClientAccount, ...] = ()
    guards: tuple[Guard, ...] = ()
    load_multiple: float = 1.25
    load_floor: float = 8192.0
    policy: str = "bounded"
    drain_grace: float = 120.0


@dataclass(frozen=True, slots=True)
class Revision:
    """Metadata of an accepted configuration.

    :param number: counts from 1.
    :param digest: digest of the configuration's content.
    :param parent: digest of the previous revision, empty for the first.
    :param nonce: random. It shows whether a write with a lost reply took effect, and names the
        manifest.
    :param parts: number of parts of the content.
    :param changes: one line for each changed object, truncated to a limit.
    """

    number: int
    digest: str
    parent: str
    author: str
    reason: str
    time: str
    nonce: str
    parts: int = 1
    changes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request after authentication and parsing."""

    id: str
    account: str
    application: str
    model: str
    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    stream: bool
    chat: str
    work: float
    deadline: float
    key: str = ""
    guarded: bool = False


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to run a request at an endpoint.

    :param incarnation: incarnation of the sidecar that the attempt is addressed to.
    :param budget: remaining time in seconds.
    :param work: estimated tokens.
    :param stamp: the sidecar's clock in seconds, from the router's latest sample.
    :param trial: crashes that the request is suspected of, if this is its one trial run.
    :param borrowed: whether the account exceeds its share; requests within a share go first.
    :param mean: mean work per unit of capacity of the endpoint's pool, as known to the router.
    :param mean_age: mean age in seconds of the load reports behind `mean`.
    :param members: number of these reports.
    """

    id: str
    endpoint: str
    incarnation: str
    budget: float
    work: float
    stamp: float = 0.0
    account: str = ""
    fingerprint: str = ""
    guarded: bool = False
    trial: tuple[str, ...] = ()
    borrowed: bool = False
    mean: float = 0.0
    mean_age: float = 1e9
    members: int = 0


@dataclass(frozen=True, slots=True)
class ClockSample:
    """A sample of a sidecar's clock.

    :param time: the sidecar's monotonic clock in seconds.
    :param received_at: the router's monotonic clock in seconds when it received the sample.
    """

    incarnation: str
    time: float
    received_at: float


@dataclass(frozen=True, slots=True)
class Load:
    """Load of one endpoint as reported by its sidecar.

    :param work: admitted work in tokens.
    :param running: attempts in flight.
    :param mean: mean work per unit of capacity of the pool, as known to the sidecar.
    :param time: time of the report on the receiver's monotonic clock in seconds.
    """

    endpoint: str
    work: float
    running: int
    capacity: int = 1
    mean: float = 0.0
    time: float = 0.0


class MemberState(enum.StrEnum):
    """State of a member as seen by the other members."""

    JOINING = "joining"
    READY = "ready"
    SUSPECT = "suspect"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Member:
    """A router or a sidecar in the membership.

    :param name: name of its VM.
    :param serial: incremented by the member itself to refute a suspicion.
    :param revision: number of the configuration revision it has in force.
    """

    name: str
    address: str
    port: int
    role: str
    region: str
    failure_domain: str
    incarnation: str
    state: MemberState
    serial: int = 0
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of an attempt at an endpoint. `kind` is None if it succeeded."""

    attempt: str
    endpoint: str
    ran: Ran
    kind: Kind | None = None
    detail: str = ""
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = field(default=())
    body: bytes = b""
