"""Finds the endpoint for each attempt of a call, and queues calls that no endpoint can take."""

import time

import curio

from ..exceptions import Kind, Ran, RequestError
from .availability import wait_until
from .call import Call
from .placement import Choice, PlacementRequest, place
from .timeouts import caller_idle_timeout
from .wait_queue import QueueParameters, WaitQueue

CAPACITY_POLL_SECONDS = 0.01
QUARANTINE_POLL_SECONDS = 0.1  # Between two checks whether queued calls are in quarantine now.


class Placer:
    """Places calls on endpoints.

    :param node: components of this router: directory, quarantine, metrics, settings.
    :ivar queues: calls that wait for an endpoint with capacity, by service and by the version that
        the endpoint must have.
    """

    def __init__(self, node):
        self.node = node
        self.queues: dict[tuple[str, str | None], WaitQueue] = {}

    async def recheck_queued(self) -> None:
        """Wake queued calls when the quarantine changes so that they check it, until cancelled."""
        known = self.node.quarantine.tracker.quarantine
        while True:
            await curio.sleep(QUARANTINE_POLL_SECONDS)
            current = self.node.quarantine.tracker.quarantine
            if current != known:
                known = current
                for queue in self.queues.values():
                    await queue.wake_all()

    async def place(self, call: Call) -> Choice | None:
        """Return the next endpoint to try once it has capacity, or None if there is none.

        A stream that has started is not queued.

        :raises RequestError: if a call that has not run waited too long for capacity.
        """
        choice = self.choose_endpoint(call) or await self.await_endpoint(call)
        queue = self.queues.setdefault((call.service.name, call.version), WaitQueue())
        started = call.stream is not None and call.stream.started
        if choice is None or started or (choice.available and not queue.entries):
            return choice
        return await self.wait_for_capacity(call, queue, choice)

    async def await_endpoint(self, call: Call) -> Choice | None:
        """Wait for an endpoint that defers requests, if the call can still be on time then."""
        if call.ran is not Ran.NO:
            return None
        pool = self.node.directory.endpoints_of_version(call.service.name, call.version)
        now = time.monotonic()
        until = wait_until(pool, now, call.started_at, call.route.latency_objective)
        if until is None:
            return None
        call.tried.clear()
        await curio.sleep(until - now)
        return self.choose_endpoint(call)

    async def wait_for_capacity(self, call: Call, queue: WaitQueue, best: Choice) -> Choice | None:
        """Queue the call and return an endpoint when it has capacity and the call is next.

        :param best: the best endpoint at this moment.

        :raises RequestError: if the wait is too long and the call has not run.
        """
        joined = time.monotonic()
        ends_at = call.deadline
        if call.stream is not None:
            ends_at = min(ends_at, call.started_at + caller_idle_timeout(call.route))
        parameters = QueueParameters(
            call.priority,
            call.started_at,
            call.route.latency_objective,
            ends_at,
            self.node.draining,
            self.node.peer_sync.paces.expected_seconds(best, joined),
        )
        queued = queue.enqueue(parameters, joined)
        choice = None
        try:
            while not queue.should_refuse(queued, now := time.monotonic()):
                self.node.quarantine.check(call)
                if queue.next_entry(now) is not queued:
                    await queue.wake_next(now)
                    await queued.wait(now)
                    continue
                choice = self.choose_endpoint(call)
                if choice is None or choice.available:
                    return choice
                choice = None
                await curio.sleep(CAPACITY_POLL_SECONDS)
        finally:
            now = time.monotonic()
            queue.dequeue(queued, choice is not None, now)
            call.queued_seconds += now - joined
            labels = {"service": call.service.name, "result": "placed" if choice else "left"}
            self.node.metrics.wait_seconds.observe(labels, now - joined)
            await queue.wake_next(now)
        if call.ran is not Ran.NO:
            return None
        expected_rate = self.node.peer_sync.paces.placement_rate(call.service, now)
        retry_after = queue.retry_after(now, call.deadline - now, expected_rate)
        detail = f"no endpoint had capacity within {now - joined:.3f} s"
        raise RequestError(Kind.OVERLOADED, detail, Ran.NO, retry_after)

    def choose_endpoint(self, call: Call) -> Choice | None:
        """Return the best endpoint for the call at this moment."""
        unsettled = self.node.resumption.unsettled_endpoints(call)
        choice = self.choose_endpoint_except(call, call.tried | unsettled)
        if choice is None and unsettled:
            return self.choose_endpoint_except(call, call.tried)
        return choice

    def choose_endpoint_except(self, call: Call, avoid: set[str]) -> Choice | None:
        """Return the best endpoint for the call at this moment.

        :param avoid: names of endpoints that are left out.
        """
        node = self.node
        placement_request = PlacementRequest(
            now=time.monotonic(),
            failure_domain=node.settings.failure_domain,
            load_multiple=node.settings.load_multiple,
            engine=call.service.engine,
            parts=call.info.parts,
            prompt_tokens=call.info.prompt_tokens,
            avoid=frozenset(avoid),
            version=call.version,
            objective=call.route.latency_objective,
        )
        return place(node.directory.pool(call.service.name), placement_request)
