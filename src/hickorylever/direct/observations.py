"""What attempts show about endpoints and about the requests themselves."""

import time

from ..events import Event, log
from .attempt import Outcome, Result
from .call import Call
from .endpoints import Endpoint
from .hashes import name_hash
from .peer_protocol import LeavingUpdate
from .records import MISDIRECTED_STATUS, AnswerInfo
from .sends import Send


class Observations:
    """Records what attempts show.

    :param node: components of this router: directory, metrics, peer_sync, quarantine.
    """

    def __init__(self, node):
        self.node = node

    def record_head(self, endpoint: Endpoint, info: AnswerInfo, sent_at: float) -> None:
        """Record what the head of an endpoint's answer says about the endpoint.

        :param sent_at: monotonic seconds at which the request was sent.
        """
        node = self.node
        now = time.monotonic()
        if info.status != MISDIRECTED_STATUS:
            node.quarantine.record_alive(endpoint, sent_at)
            node.restarts.record_connection(endpoint, sent_at)
        if info.retry_after is not None:
            endpoint.defer(info.retry_after, now)
            log(Event.ENDPOINT_DEFERS, endpoint.name, seconds=info.retry_after)
        node.peer_sync.paces.record_head(endpoint, info, now)
        if info.stamped:
            self.record_rate_limit(endpoint, info.rate_limit, now)
            node.directory.cold_starts.record_answer(endpoint, info.warmup_left, sent_at, now)
        if info.leaving and not endpoint.leaving:
            endpoint.leaving = True
            started_ms = endpoint.entry.started_ms
            update = LeavingUpdate(name_hash(endpoint.name), started_ms)
            node.directory.mark_leaving(update, now)
            node.peer_sync.outbox.queue_leaving(update)
            log(Event.ENDPOINT_LEAVES, endpoint.name, started_ms=started_ms)

    def record_rate_limit(self, endpoint: Endpoint, rate: float | None, now: float) -> None:
        """Record the limit that an endpoint's answer names, and tell the other routers.

        :param rate: requests per second, or None for any number.
        """
        if rate is None and endpoint.rate_limit is None:
            return
        limits = self.node.peer_sync.limits
        if endpoint.limit_rate(rate, limits.router_count, now):
            log(Event.ENDPOINT_LIMITS, endpoint.name, rate=rate)
            limits.queue(endpoint)

    def record_outcome(
        self,
        call: Call,
        endpoint: Endpoint,
        outcome: Outcome,
        send: Send | None,
        seconds: float,
    ) -> None:
        """Record what an attempt showed about the endpoint and the request.

        :param send: of the attempt; None if nothing was sent.
        """
        now = time.monotonic()
        result = outcome.result
        call.attempt_results.append(
            f"{endpoint.name}@{endpoint.entry.failure_domain}:{result.value}"
        )
        self.node.metrics.attempts.inc({"result": result.value})
        if result is Result.NOT_SENT or outcome.connection_lost:
            self.node.directory.cold_starts.record_failed_connection(endpoint, now)
        if result is Result.NOT_SENT:
            endpoint.pause(now)
        elif result is Result.NOT_RUN:
            call.rejections += 1
            if outcome.status == MISDIRECTED_STATUS:
                endpoint.pause(now)
        else:
            call.attempts += 1
            failed = result not in (Result.ANSWERED, Result.EXPIRED)
            endpoint.record_answer(failed, now)
            if outcome.lost_early:
                self.node.quarantine.record_loss(call, endpoint, now)
        if result is not Result.ANSWERED:
            log(
                Event.ATTEMPT_FAILED,
                result.value,
                request=call.info.id,
                endpoint=endpoint.name,
                detail=outcome.detail,
                status=outcome.status,
                seconds=round(seconds, 3),
                **(send.log_fields() if send else {"connection": 0}),
            )
