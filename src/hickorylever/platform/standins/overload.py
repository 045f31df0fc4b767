"""Rejections of a simulated endpoint without room, and answers that it sends once more."""

import contextlib
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio
import h11

from ...http import Channel, Exchange, header
from ...registry import Registry
from .. import names
from .encoding import encode_head

FULL_PERIOD_SECONDS = 0.4  # In each, the endpoint is full for a while at once.
FULL_SECONDS = 0.08
BUSY_SECONDS = 0.05  # Until a slot may be free.
COPY_DELAY_SECONDS = (0.001, 0.05)

SendCopy = Callable[["Overload", Channel, bytes], Awaitable[None]]
copy_times: Registry[SendCopy] = Registry("time of a copy")


@copy_times.register("at_once")
async def send_at_once(overload: "Overload", channel: Channel, data: bytes) -> None:
    """Send a copy right after the answer."""
    await overload.send(channel, data)


@copy_times.register("soon")
async def send_soon(overload: "Overload", channel: Channel, data: bytes) -> None:
    """Send a copy a little later, when the connection may carry another request."""
    await curio.spawn(overload.send_later, channel, data, daemon=True)


@copy_times.register("before_next")
async def send_before_next(overload: "Overload", channel: Channel, data: bytes) -> None:
    """Send a copy where the answer to the next request is expected."""
    overload.pending[channel] = data


def full_seconds_left() -> float:
    """Return the rest of the time in which endpoints are full at once, or 0."""
    return max(0.0, FULL_SECONDS - time.monotonic() % FULL_PERIOD_SECONDS)


@dataclass
class Overload:
    """What a simulated endpoint does beyond its capacity, and with its answers.

    :param rng: chooses what it does.
    :param slots: requests that it runs at once. Further ones are rejected, as are all for
        `FULL_SECONDS` of each `FULL_PERIOD_SECONDS`.
    :param defers: whether rejections have a Retry-After, after which it may have room again.
    :param copy_probability: of sending an answer once more.
    :param early_probability: of sending a rejection before the request's body is read.
    :ivar pending: copies to send before the next answer on a connection.
    :ivar rejection_count: number of rejections, without copies.
    :ivar copy_count: number of copies.
    """

    rng: random.Random
    slots: int = 6
    defers: bool = True
    copy_probability: float = 0.0
    early_probability: float = 0.0
    pending: dict[Channel, bytes] = field(default_factory=dict)
    rejection_count: int = 0
    copy_count: int = 0

    def is_full(self, running: int) -> bool:
        """Return whether a new request is rejected.

        :param running: requests that the endpoint runs now.
        """
        return running >= self.slots or full_seconds_left() > 0.0

    def retry_after(self) -> float:
        """Return the seconds after which a rejected request may come again."""
        return full_seconds_left() or BUSY_SECONDS

    async def reject(self, exchange: Exchange) -> None:
        """Reject a request, before or after its body is read."""
        early = self.rng.random() < self.early_probability
        if not early:
            await exchange.body()
        request_id = header(exchange.headers, names.ATTEMPT_ID)
        fields = [(names.ATTEMPT_ID, request_id), (names.NOT_RUN, b"1")]
        if self.defers:
            fields.append((b"retry-after", b"%.3f" % self.retry_after()))
        self.rejection_count += 1
        # Exchanges with an unread body close their connection; this one stays open.
        unread, exchange.has_unread_body = exchange.has_unread_body, False
        await exchange.respond(503, fields)
        if early and unread:
            await exchange.body()
        await self.copy(exchange, 503, fields)

    async def copy(
        self,
        exchange: Exchange,
        status: int,
        fields: list[tuple[bytes, bytes]],
        body: bytes = b"",
    ) -> None:
        """Send an answer once more, now or later, with the probability of copies."""
        if exchange.closing or self.rng.random() >= self.copy_probability:
            return
        data = encode_head(status, [*fields, (b"Content-Length", b"%d" % len(body))]) + body
        when = self.rng.choice(sorted(copy_times))
        await copy_times[when](self, exchange.channel, data)

    async def send_pending(self, channel: Channel) -> None:
        """Send the copy that a connection has pending."""
        if data := self.pending.pop(channel, b""):
            await self.send(channel, data)

    async def send_later(self, channel: Channel, data: bytes) -> None:
        """Send a copy after a delay, unless another answer is being sent then."""
        await curio.sleep(self.rng.uniform(*COPY_DELAY_SECONDS))
        if channel.protocol.our_state is not h11.SEND_BODY:
            await self.send(channel, data)

    async def send(self, channel: Channel, data: bytes) -> None:
        """Send a copy if the connection is still open."""
        self.copy_count += 1
        with contextlib.suppress(OSError, AttributeError):  # A closed socket has no `_socket`.
            await channel.sock.sendall(data)
