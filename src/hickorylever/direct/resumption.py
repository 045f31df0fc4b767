"""Where streams go on: only at endpoints of the software version that began them."""

import enum
import time

import curio

from ..events import Event, log
from ..exceptions import Kind, Ran, RequestError
from .availability import longest_retry_after
from .call import Call
from .clocks import boot_time
from .crash_checks import check_idle
from .endpoints import Endpoint
from .hashes import name_hash
from .peer_table import CONTACT_SECONDS
from .routes import used_services
from .streams import KnownBy, StreamRecord, stream_key

UNLIMITED_STREAM_SECONDS = 600.0  # For which a stream without a time limit is remembered.
EXPIRY_MARGIN_SECONDS = 1.0
UNKNOWN_RETRY_AFTER_SECONDS = 0.25  # Another router may know the stream.
LOAD_WAIT_SECONDS = 1.0  # After the start, for the records in the store.


class KnownFrom(enum.Enum):
    """From where the version of a stream that a caller takes up is known."""

    OWN_RECORD = "own_record"
    STORED_RECORD = "stored_record"
    ONLY_VERSION = "only_version"
    OTHER_ROUTER = "other_router"
    NOBODY = "nobody"


class Resumption:
    """Finds the version of streams that go on, and records that of streams that begin.

    :param node: the components of this router.
    """

    def __init__(self, node):
        self.node = node

    async def resolve(self, call: Call) -> None:
        """Set the service and the version at which a caller's stream goes on.

        :raises RequestError: if they are not known.
        """
        known_from = await self.find_version(call)
        now = time.monotonic()
        self.node.metrics.resumed.inc({"known_from": known_from.value})
        log(
            Event.STREAM_RESUMED,
            known_from.value,
            request=call.info.id,
            resumes=call.info.resumes,
            service=call.service.name,
            version=call.version or "",
            possible=sorted(self.node.directory.versions.possible(call.service.name, now)),
            complete=self.node.directory.versions.knows_all(call.service.name, now),
        )
        if known_from is KnownFrom.NOBODY:
            detail = "which software version began the stream is not known"
            time_left = max(0.0, call.deadline - time.monotonic())
            retry_after = min(UNKNOWN_RETRY_AFTER_SECONDS, longest_retry_after(time_left))
            raise RequestError(Kind.STREAM_UNKNOWN, detail, Ran.NO, retry_after)

    async def find_version(self, call: Call) -> KnownFrom:
        """Set the service and the version of a caller's stream, and return how they are known."""
        streams = self.node.peer_sync.streams
        await self.wait_for_records()
        record = self.apply_record(call) or await self.confirm_record(call)
        if record is not None:
            stored = record.known_by is KnownBy.STORE
            return KnownFrom.STORED_RECORD if stored else KnownFrom.OWN_RECORD
        if len(used_services(call.route)) == 1:
            call.version = self.only_version(call.service.name)
        if call.version is not None:
            return KnownFrom.ONLY_VERSION
        if call.info.resumes:
            await streams.ask(list(self.keys(call).values()), self.node.peer_sync.broadcast)
        return KnownFrom.OTHER_ROUTER if self.apply_record(call) else KnownFrom.NOBODY

    async def confirm_record(self, call: Call) -> StreamRecord | None:
        """Ask the store for versions and streams that this router has missed.

        It is not asked where several versions are known already. Return the record of the stream
        that a call resumes, if there is one now.
        """
        possible = self.node.directory.versions.possible(call.service.name, time.monotonic())
        if len(possible) != 1 or len(used_services(call.route)) != 1:
            return None
        await self.node.peer_sync.registration.confirm_versions()
        return self.apply_record(call)

    async def wait_for_records(self) -> None:
        """Wait until the records in the store are loaded, for a short time after the start.

        Callers may come within milliseconds of it.
        """
        node = self.node
        loaded = node.peer_sync.streams.records.loaded
        left = node.peer_sync.peers.started_at + LOAD_WAIT_SECONDS - time.monotonic()
        if left > 0 and not loaded.is_set() and not node.directory.versions.complete:
            async with curio.ignore_after(left):
                await loaded.wait()

    def keys(self, call: Call) -> dict[str, int]:
        """Return the keys of the stream that a call resumes, by the services of its route."""
        return {
            service: stream_key(call.account_name, service, call.info.resumes)
            for service in used_services(call.route)
        }

    def apply_record(self, call: Call) -> StreamRecord | None:
        """Set a call's service and version from the record of the stream that it resumes.

        Return the record, or None if this router doesn't know the stream.
        """
        streams = self.node.peer_sync.streams
        now = time.monotonic()
        for name, key in self.keys(call).items():
            record = streams.find(key, now)
            if record is not None:
                call.service = self.node.routes.service(name)
                call.version = record.version
                return record
        return None

    def only_version(self, service: str) -> str | None:
        """Return the only version that can have begun a stream of a service, if there is one."""
        now = time.monotonic()
        versions = self.node.directory.versions
        possible = versions.possible(service, now)
        if len(possible) != 1 or not versions.knows_all(service, now):
            return None
        if not (self.node.peer_sync.registration.is_confirmed() or self.is_up_to_date(now)):
            return None
        return next(iter(possible))

    def is_up_to_date(self, now: float) -> bool:
        """Return whether :meth:`is_current` holds, and not because of messages that are old.

        A router that stood still reads what arrived meanwhile as if it were new.
        """
        stalls = self.node.peer_sync.stalls
        return self.is_current(now) and not stalls.stalled_within(2 * CONTACT_SECONDS, boot_time())

    def is_current(self, now: float) -> bool:
        """Return whether this router has learned of all changes of endpoints."""
        node = self.node
        latest = node.peer_sync.peers.latest_endpoints
        return node.directory.latest >= latest and self.in_contact(now)

    def in_contact(self, now: float) -> bool:
        """Return whether the store or enough other routers were heard lately.

        Answers about other objects may come while those about endpoints stay out.
        """
        node = self.node
        heard_store = node.peer_sync.registration.is_confirmed() or any(
            watcher.heard_within(CONTACT_SECONDS, now)
            for watcher in node.store_watchers
            if watcher.kind == node.codec.ENDPOINTS
        )
        return heard_store or node.peer_sync.peers.in_contact(now)

    def check_contact(self, now: float) -> None:
        """Take the history of versions for incomplete while this router is cut off.

        Versions may come and go meanwhile.
        """
        if not self.in_contact(now):
            self.node.directory.versions.complete = False

    def uncertain_services(self, now: float) -> set[str]:
        """Return the services whose streams may have been begun by one of several versions.

        Other services that share a route are such versions, too.
        """
        versions = self.node.directory.versions
        if not versions.complete or not self.is_current(now):
            return set(self.node.directory.pools)
        mixed = {service for service, _ in versions.mixed(now)}
        split = self.node.routes.split_services if self.node.routes else ()
        return versions.incomplete_services(now).union(mixed, split)

    def unsettled_endpoints(self, call: Call) -> set[str]:
        """Return the names of the endpoints at which a new stream should not begin yet."""
        if call.stream is None or not call.route.resumable or call.version is not None:
            return set()
        directory = self.node.directory
        service = call.service.name
        unsettled = directory.versions.unsettled(service, time.monotonic())
        if not unsettled:
            return set()
        return {
            endpoint.name
            for endpoint in directory.pool(service)
            if endpoint.entry.version in unsettled
        }

    def doubted_endpoints(self, call: Call) -> set[str]:
        """Return the names of the endpoints at which a stream that has begun must not go on now.

        Their entries may be out of date, see :mod:`.restarts`.
        """
        if call.version is None or not call.route.resumable:
            return set()
        node = self.node
        now = time.monotonic()
        pool = node.directory.endpoints_of_version(call.service.name, call.version)
        if call.service.name in self.uncertain_services(now):
            for endpoint in pool:
                check_idle(node, endpoint, now)
        return {endpoint.name for endpoint in pool if node.restarts.is_doubted(endpoint, now)}

    def record_first_event(self, call: Call, endpoint: Endpoint, opened_at: float) -> None:
        """Record which version begins a stream, or goes on with it.

        Nothing is recorded if the endpoint has started again with another version, or may have,
        since its first event may be from either process.

        :param opened_at: monotonic seconds at which the connection to the endpoint was opened.
        """
        version = endpoint.entry.version
        key = name_hash(endpoint.name)
        current = self.node.directory.by_hash.get(key)
        if current is not None and current.entry.version != version:
            return
        if call.route.resumable and not self.settle_connection(endpoint, opened_at):
            return
        limit = call.info.time_limit
        lifetime = UNLIMITED_STREAM_SECONDS if limit is None else limit
        expires_at = call.started_at + lifetime + EXPIRY_MARGIN_SECONDS
        began_with = call.info.resumes if call.resumes_stream else ""
        call.stream_key = stream_key(
            call.account_name, call.service.name, began_with or call.info.id
        )
        call.version = version
        opened_ms = self.node.peer_sync.unix_ms(opened_at)
        record = StreamRecord(key, version, expires_at, opened_ms, KnownBy.OWN_EVENT)
        self.node.peer_sync.streams.record(call.stream_key, call.service.name, record)

    def settle_connection(self, endpoint: Endpoint, opened_at: float) -> bool:
        """Return whether the process behind a connection is the one of the endpoint's entry."""
        restarts = self.node.restarts
        restarts.record_connection(endpoint, opened_at)
        now = time.monotonic()
        doubt = restarts.doubt(endpoint)
        return doubt is None or opened_at < doubt.since or not restarts.is_doubted(endpoint, now)

    def may_continue(self, call: Call) -> bool:
        """Return whether a call may be sent to another endpoint.

        A stream that has an event may not if its version is no longer known.
        """
        if call.stream is None or not call.stream.event_count:
            return True
        known = self.node.peer_sync.streams.find(call.stream_key, time.monotonic())
        return known is not None and known.version == call.version
