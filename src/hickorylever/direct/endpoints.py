"""Endpoints as a router knows them: entries of the store, and what its own requests met there."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..exceptions import ContentError
from .capacity import PREFILL_TOKENS_PER_SECOND
from .news import short
from .prompt_cache import PromptCacheIndex
from .records import EndpointEntry, Listing, Part, StoredObject

RETURN_TIME = 2.0  # Seconds in which entries that lapsed during an outage come back.
FIRST_PAUSE = 0.25  # Seconds that an endpoint is left out after a failed connection.
MAX_PAUSE = 2.0  # Seconds.
FAILURE_WEIGHT = 0.2  # Weight of the latest answer in the share of failures.
FAILURE_HALF_LIFE = 3.0  # Seconds in which an old share of failures halves.
SILENCE = 0.4  # Seconds without a byte from an endpoint that works, beyond its prefill.
LOG_LENGTH = 256  # Changes kept for other routers.
LOAD_LIFETIME = 4.0  # Seconds that a peer's load counts; it is told again sooner.


@dataclass(slots=True)
class PeerLoad:
    """What another router has under way at an endpoint.

    :param prefill: prompt tokens that the endpoint has still to read.
    :param time: when the router told it.
    """

    requests: int
    prefill: int
    time: float


@dataclass(slots=True)
class Endpoint:
    """One endpoint and this router's view of it.

    :param running: this router's requests there.
    :param prefill: tokens of their prompts that the endpoint has still to read.
    :param failed_share: share of answers that were failures, as of `failed_at`.
    :param heard: when it last sent a byte of an answer.
    :param busy_since: when the first of the requests under way was sent.
    :param paused_until: monotonic time until which no new work goes there.
    :param warm_at: monotonic time at which it is no longer slow after its start.
    :param missing_since: when its entry was first missing after an outage of the store.
    :param peers: what other routers have under way there, by their address.
    :param peer_requests: sum over `peers`.
    :param peer_prefill: sum over `peers`.
    """

    entry: EndpointEntry
    running: int = 0
    prefill: float = 0.0
    failed_share: float = 0.0
    failed_at: float = 0.0
    heard: float = 0.0
    busy_since: float = 0.0
    misses: int = 0
    paused_until: float = 0.0
    warm_at: float = 0.0
    missing_since: float | None = None
    peers: dict[str, PeerLoad] = field(default_factory=dict)
    peer_requests: int = 0
    peer_prefill: int = 0
    held: PromptCacheIndex = field(default_factory=PromptCacheIndex)

    @property
    def name(self) -> str:
        """Return the endpoint's id."""
        return self.entry.name

    def usable(self, now: float) -> bool:
        """Tell whether new work may go there."""
        return not self.entry.draining and now >= self.paused_until

    def load(self) -> tuple[int, float]:
        """Return requests and prompt tokens under way there, by all routers that tell."""
        return self.running + self.peer_requests, self.prefill + self.peer_prefill

    def take_load(self, router: str, load: PeerLoad) -> None:
        """Take what another router has under way there; an idle one is forgotten."""
        self.forget_load(router)
        if load.requests or load.prefill:
            self.peers[router] = load
            self.peer_requests += load.requests
            self.peer_prefill += load.prefill

    def forget_load(self, router: str) -> None:
        """Forget what a router has under way there."""
        load = self.peers.pop(router, None)
        if load is not None:
            self.peer_requests -= load.requests
            self.peer_prefill -= load.prefill

    def expire_loads(self, now: float) -> None:
        """Forget the loads of routers that tell nothing any more."""
        for router, load in list(self.peers.items()):
            if now - load.time > LOAD_LIFETIME:
                self.forget_load(router)

    def pause(self, now: float) -> None:
        """Leave the endpoint out after a failed connection, longer each time in a row."""
        self.misses += 1
        self.paused_until = now + min(MAX_PAUSE, FIRST_PAUSE * 2 ** (self.misses - 1))

    def failures(self, now: float) -> float:
        """Return the recent share of answers that were failures."""
        return self.failed_share * 0.5 ** ((now - self.failed_at) / FAILURE_HALF_LIFE)

    def answered(self, failed: bool, now: float) -> None:
        """Note an answer's outcome."""
        self.misses = 0
        share = self.failures(now)
        self.failed_share = share + FAILURE_WEIGHT * (failed - share)
        self.failed_at = now

    def begin(self, tokens: float, now: float) -> None:
        """Count a request that is sent there."""
        if not self.running:
            self.busy_since = now
        self.running += 1
        self.prefill += tokens

    def silent(self, now: float) -> bool:
        """Tell whether it has requests of this router and sends nothing for suspiciously long."""
        if not self.running:
            return False
        quiet = now - max(self.heard, self.busy_since)
        return quiet > SILENCE + self.prefill / PREFILL_TOKENS_PER_SECOND


class Directory:
    """Endpoints by name and by service.

    :ivar newest: highest revision of an entry, or of the removal of one, that is known.

    :param decode: turns an object's name and spec into an entry, or raises :exc:`ContentError`.
    :param reject: called with the error of an entry that can't be read.
    """

    def __init__(self, decode, reject=lambda error: None):
        self.decode = decode
        self.reject = reject
        self.endpoints: dict[str, Endpoint] = {}
        self.pools: dict[str, list[Endpoint]] = {}
        self.by_number: dict[int, Endpoint] = {}
        self.objects: dict[str, StoredObject] = {}
        self.newest = 0
        self.log: deque[StoredObject] = deque(maxlen=LOG_LENGTH)
        self.log_since = 0

    def pool(self, service: str) -> list[Endpoint]:
        """Return a service's endpoints."""
        return self.pools.get(service, [])

    def take_listing(self, listing: Listing, now: float, patient: bool) -> None:
        """Take a whole list.

        :param patient: the store was away; entries that are missing may come back.
        """
        present = {entry.name for entry in listing.objects}
        for entry in listing.objects:
            self.take(entry, now)
        for name in [name for name in self.endpoints if name not in present]:
            self.miss(name, now, patient)
        self.log.clear()
        self.log_since = self.newest
        self.index()

    def take_changes(self, objects: Iterable[StoredObject], revision: int, now: float) -> None:
        """Take changes in their order."""
        for entry in objects:
            self.remember(entry)
            if entry.deleted:
                self.remove(entry.name, entry.revision)
            else:
                self.take(entry, now)
        self.newest = max(self.newest, revision)
        self.index()

    def take(self, stored: StoredObject, now: float) -> None:
        """Take one entry; one that can't be read names no endpoint."""
        self.newest = max(self.newest, stored.revision)
        try:
            entry = self.decode(stored.name, stored.spec)
        except ContentError as error:
            self.reject(error)
            self.remove(stored.name)
            return
        self.objects[stored.name] = stored
        known = self.endpoints.get(entry.name)
        if known is None or known.entry.born != entry.born:
            known = self.endpoints[entry.name] = Endpoint(entry)
        known.entry = entry
        known.missing_since = None
        known.warm_at = now + entry.cold_for

    def miss(self, name: str, now: float, patient: bool) -> None:
        """Note that a list lacks an endpoint."""
        if not patient:
            self.remove(name)
        elif self.endpoints[name].missing_since is None:
            self.endpoints[name].missing_since = now

    def remove(self, name: str, revision: int = 0) -> None:
        """Forget an endpoint."""
        self.newest = max(self.newest, revision)
        self.endpoints.pop(name, None)
        self.objects.pop(name, None)

    def remember(self, entry: StoredObject) -> None:
        """Keep a change for other routers."""
        if len(self.log) == LOG_LENGTH:
            self.log_since = self.log[0].revision
        self.log.append(entry)

    def since(self, revision: int) -> list[StoredObject] | None:
        """Return the changes after a revision, or None when they are not known any more."""
        if revision < self.log_since:
            return None
        return [entry for entry in self.log if entry.revision > revision]

    def held(self) -> dict[str, dict[str, int]]:
        """Return the prompt parts that each endpoint was lately sent, with their tokens."""
        return {name: endpoint.held.latest_parts() for name, endpoint in self.endpoints.items()}

    def take_held(self, held: dict[str, dict[str, int]]) -> None:
        """Take what another router knows of held prompt parts."""
        for name, parts in held.items():
            endpoint = self.endpoints.get(name)
            if endpoint is not None:
                endpoint.held.add([Part(part, tokens) for part, tokens in parts.items()], 0)

    def stored(self) -> list[StoredObject]:
        """Return the objects of the endpoints, for another router."""
        return list(self.objects.values())

    def forget_router(self, router: str) -> None:
        """Forget the loads of a router that ended or started anew."""
        for endpoint in self.endpoints.values():
            endpoint.forget_load(router)

    def expire(self, now: float) -> None:
        """Forget endpoints whose entries have not come back, and loads of routers gone silent."""
        for endpoint in self.endpoints.values():
            endpoint.expire_loads(now)
        overdue = [
            name
            for name, endpoint in self.endpoints.items()
            if endpoint.missing_since is not None and now - endpoint.missing_since >= RETURN_TIME
        ]
        for name in overdue:
            self.remove(name)
        if overdue:
            self.index()

    def index(self) -> None:
        """File the endpoints by service; an address belongs to its latest entry."""
        pools: dict[str, list[Endpoint]] = {}
        for name in sorted(self.endpoints):
            endpoint = self.endpoints[name]
            pools.setdefault(endpoint.entry.service, []).append(endpoint)
        self.pools = pools
        self.by_number = {short(name): endpoint for name, endpoint in self.endpoints.items()}
