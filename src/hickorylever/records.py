"""The frozen data classes that cross the borders between modules."""

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
    :param adapters: adapters that its engine is to hold.
    :param engine_role: ``mixed``, ``prefill`` or ``decode``; empty for a plain service.
    :param obeys_fencing: its engine itself refuses orders with an old fencing number.
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
    """What callers reach: a model pool (``model``) or a plain service (``service``).

    :param path: the path prefix of a plain service.
    """

    name: str
    kind: str
    path: str = ""


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A caller's account.

    :param key_digests: hexadecimal SHA-256 of each bearer key.
    :param applications: names it may use, from the rules.
    :param models: models it may use, from the rules.
    :param weight: share when endpoints are contended.
    """

    name: str
    key_digests: tuple[str, ...]
    applications: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    weight: float = 1.0
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Guard:
    """A rule: matching requests must never repeat. Empty fields match everything."""

    application: str = ""
    methods: tuple[str, ...] = ()
    path: str = ""
    model: str = ""
    retention: float = defaults.GUARD_RETENTION_SECONDS


@dataclass(frozen=True, slots=True)
class Fleet:
    """One compiled and validated configuration."""

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
    """The head of an accepted configuration.

    :param number: counts from 1.
    :param digest: of the configuration's content.
    :param parent: digest of the previous revision, empty for the first.
    :param nonce: random, settles a lost reply and names the revision's manifest.
    :param parts: number of the content's parts.
    :param changes: what changed, one line an object, cut to a bounded number.
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
    """A caller's request after it was identified and parsed."""

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
    """One hand-over of a request to a sidecar.

    :param incarnation: of the sidecar that it is meant for.
    :param budget: remaining time in seconds.
    :param work: estimated tokens.
    :param stamp: the sidecar's clock in seconds, as the router last heard it.
    :param trial: crashes that the request is a suspect for, when this is its one further run.
    :param borrowed: the account is beyond its share, so others go before it.
    :param mean: mean work per unit of capacity of the endpoint's pool, as the router knows it.
    :param mean_age: mean age in seconds of the reports behind it, of `members` endpoints.
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
class Stamp:
    """A sidecar's clock as a router heard it.

    :param time: the sidecar's monotonic seconds.
    :param heard: the router's monotonic seconds at that moment.
    """

    incarnation: str
    time: float
    heard: float


@dataclass(frozen=True, slots=True)
class Load:
    """Load of one endpoint as its sidecar sees it.

    :param work: admitted work in tokens.
    :param running: attempts in flight.
    :param mean: the mean work per unit of capacity that the sidecar uses.
    :param time: when it was true, in the receiver's monotonic seconds.
    """

    endpoint: str
    work: float
    running: int
    capacity: int = 1
    mean: float = 0.0
    time: float = 0.0


class MemberState(enum.StrEnum):
    """State of an endpoint or node as others see it."""

    JOINING = "joining"
    READY = "ready"
    SUSPECT = "suspect"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Member:
    """A router or a sidecar in the membership.

    :param name: the VM's name.
    :param serial: raised by the member itself to refute a suspicion.
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
    """How a request ended at an endpoint."""

    attempt: str
    endpoint: str
    ran: Ran
    kind: Kind | None = None
    detail: str = ""
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = field(default=())
    body: bytes = b""
