"""Reports and questions between routers about the versions that began streams.

While a service has several versions, the router that passes on the first event of a stream reports
it to a few others, which are chosen by the stream's key. A router that is asked to go on with a
stream that it doesn't know asks these first, and then all.
"""

import dataclasses
from collections.abc import Iterable

import curio

from . import rendezvous
from .peer_protocol import Datagram
from .peer_table import Peer, PeerTable
from .stream_records import StreamRecords, other_writers
from .streams import ANY_ENDPOINT, StreamRecord, StreamTable, StreamUpdate

REPLICA_COUNT = 3  # Routers that a stream is reported to, as some may end with the reporting one.
FIRST_ASKED_COUNT = 6  # The alive routers may have changed since the replicas were chosen.
QUESTION_SECONDS = 0.05  # For the answers of one round.
QUESTION_ROUNDS = 3
EXTENSION_SECONDS = 2.0  # By which a time limit must grow for the stream to be stored again.
MAX_STREAM_UPDATES = 24  # In one datagram, so that it fits a packet.


def rank_for_stream(key: int, peers: Iterable[Peer]) -> list[Peer]:
    """Return routers in the order in which they keep a stream, which all routers agree on."""
    return sorted(peers, key=lambda peer: rendezvous.score(key, peer.address))


def needs_storing(record: StreamRecord, known: StreamRecord | None) -> bool:
    """Return whether a reported stream must be stored, possibly again.

    :param known: what this router knew of it, or None.
    """
    return (
        known is None
        or known.endpoint != record.endpoint
        or known.expires_at + EXTENSION_SECONDS < record.expires_at
    )


class StreamReports:
    """Reports streams to other routers, and asks them.

    :param node: the components of this router.
    :param peers: table of the other routers.
    :param rank: rank of this router.
    :ivar table: the streams that this router knows.
    :ivar own: services of the streams whose first event this router passed on, by key.
    :ivar records: the records of streams in the store.
    :ivar unreported: services of streams that only this router knows, by key.
    :ivar questions: set when another router reports the stream, by key.
    """

    def __init__(self, node, peers: PeerTable, rank: int):
        self.node = node
        self.peers = peers
        self.rank = rank
        self.table = StreamTable()
        self.records = StreamRecords(node, peers, rank, self.table, self.report_again)
        self.own: dict[int, str] = {}
        self.unreported: dict[int, str] = {}
        self.questions: dict[int, curio.Event] = {}

    def record(self, key: int, service: str, record: StreamRecord) -> None:
        """Record a stream whose first event this router passes on."""
        self.table.add(key, record)
        self.unreported[key] = self.own[key] = service

    def report_again(self) -> None:
        """Report this router's own streams to a new writer, as the former one may have ended."""
        self.unreported.update(self.own)

    def take(self, services: set[str], now: float) -> dict[str, list[StreamUpdate]]:
        """Remove and return the streams to report to others, by the address of the router.

        :param services: services whose streams other routers must know.
        """
        taken: dict[str, list[StreamUpdate]] = {}
        if not services or not self.unreported:
            return taken
        keys = [key for key, service in self.unreported.items() if service in services]
        keys = keys[:MAX_STREAM_UPDATES]
        alive = self.peers.alive(now)
        writers = {peer.address for peer in other_writers(self.rank, alive)}
        self.records.add(keys)
        for key in keys:
            del self.unreported[key]
            update = self.table.update(key, now)
            if update is not None:
                replicas = rank_for_stream(key, alive)[:REPLICA_COUNT]
                for address in writers.union(peer.address for peer in replicas):
                    taken.setdefault(address, []).append(update)
        return taken

    def settle_endpoint(self, endpoint: int, service: str) -> None:
        """Report again the streams that this router knows from an endpoint that has ended.

        It refused a connection, so that the next process has not started yet, and none of the
        connections before was to it.

        :param endpoint: hash of its name.
        """
        for key in self.table.settle_endpoint(endpoint):
            self.unreported[key] = service

    def find(self, key: int, now: float) -> StreamRecord | None:
        """Return a stream whose version is certain, or None."""
        record = self.table.get(key, now)
        return record if record is not None and self.is_certain(record) else None

    def is_certain(self, record: StreamRecord) -> bool:
        """Return whether the endpoint that began a stream had the recorded version then.

        It may have started again with another one before its entry said so.
        """
        endpoint = self.node.directory.by_hash.get(record.endpoint)
        return (
            endpoint is None
            or endpoint.entry.version == record.version
            or record.began_before(endpoint.entry.started_ms)
        )

    async def apply(self, datagram: Datagram, now: float) -> None:
        """Record the streams that another router reports.

        Those of an endpoint that has started again with another version are left out, as in
        :meth:`.StreamTable.forget_endpoint`.
        """
        for update in datagram.streams:
            expires_at = now + update.seconds_left
            record = StreamRecord(update.endpoint, update.version, expires_at, update.opened_ms)
            if not self.is_certain(record):
                continue
            known = self.table.get(update.key, now)
            if known is not None and known.endpoint == ANY_ENDPOINT:
                record = dataclasses.replace(record, endpoint=ANY_ENDPOINT)
            if needs_storing(record, known):
                self.records.add([update.key])
            self.table.add(update.key, record)
            if update.key in self.questions:
                await self.questions[update.key].set()

    def answers(self, datagram: Datagram, now: float) -> list[StreamUpdate]:
        """Return what this router knows of the streams that another one asks for."""
        updates = [self.table.update(key, now) for key in datagram.stream_questions]
        return [update for update in updates if update is not None]

    async def ask(self, keys: list[int], send) -> None:
        """Ask other routers for streams until one answers, or none does.

        :param keys: of the same stream in several services.
        :param send: async function that sends a question to some routers.
        """
        answered = curio.Event()
        new = [key for key in keys if key not in self.questions]
        self.questions.update(dict.fromkeys(new, answered))
        peers = rank_for_stream(keys[0], self.peers.by_address.values())
        try:
            for number in range(QUESTION_ROUNDS):
                await send(peers if number else peers[:FIRST_ASKED_COUNT], stream_questions=keys)
                async with curio.ignore_after(QUESTION_SECONDS):
                    await answered.wait()
                    return
        finally:
            for key in new:
                del self.questions[key]

    def expire(self, now: float) -> None:
        """Forget streams that their callers don't take up any more."""
        self.table.expire(now)
        known = self.table.records
        self.unreported = {key: name for key, name in self.unreported.items() if key in known}
        self.own = {key: name for key, name in self.own.items() if key in known}
