"""Finds the endpoint for each attempt of a call, and queues calls that no endpoint can take."""

import time

import curio

from ..exceptions import Kind, Ran, RequestError
from .account_shares import Flow
from .availability import wait_until
from .call import Call
from .candidates import PlacementRequest
from .cold_start import due_after
from .evacuations import remaining_load_multiple
from .placement import Choice, place
from .pool import Pool
from .timeouts import caller_idle_timeout
from .wait_queue import QueueEntry, QueueParameters, WaitQueue

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

    def queue(self, call: Call) -> WaitQueue:
        """Return the queue that a call joins while no endpoint has capacity."""
        queue = self.queues.setdefault((call.service.name, call.version), WaitQueue())
        shares = self.node.account_shares
        queue.shares = shares if shares.enabled else None
        return queue

    def flow(self, call: Call) -> Flow | None:
        """Return the flow of a call, or None where accounts have no shares."""
        shares = self.node.account_shares
        if not shares.enabled:
            return None
        return shares.flow(call.service.name, call.priority, call.account_name)

    def record_offered(self, call: Call) -> None:
        """Count a call in the work that its account asks for."""
        flow = self.flow(call)
        if flow is not None:
            self.node.account_shares.offer(flow, expected_work(call), time.monotonic())

    def record_admitted(self, call: Call, choice: Choice) -> None:
        """Count a call that is sent to an endpoint."""
        flow = self.flow(call)
        if flow is None:
            return
        admitted = expected_work(call, choice)
        self.node.account_shares.admit(flow, admitted, time.monotonic())
        account = self.node.account_labels.label(call.account_name)
        self.node.metrics.admitted_work.add(
            {"service": call.service.name, "account": account}, admitted
        )

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

        A stream that has started is queued only while the endpoints are cold.

        :raises RequestError: if a call that has not run waited too long for capacity.
        """
        choice = await self.next_choice(call)
        while choice is not None and choice.endpoint.held(time.monotonic()):
            # Another call has used the share of this router since the choice.
            choice = await self.next_choice(call)
        return choice

    async def next_choice(self, call: Call) -> Choice | None:
        """Return the next endpoint to try as :meth:`place` does.

        Another call may be sent there first if the endpoint is cold.
        """
        choice = self.choose_endpoint(call) or await self.await_endpoint(call)
        queue = self.queue(call)
        started = call.stream is not None and call.stream.started
        if choice is not None and choice.held:
            self.node.metrics.held.inc({"service": call.service.name})
        elif choice is None or started or (choice.available and not queue.entries):
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
        queued = queue.enqueue(self.queue_parameters(call, best), joined)
        choice = None
        due_at = 0.0
        try:
            while not queue.should_refuse(queued, now := time.monotonic()):
                self.node.quarantine.check(call)
                due_at = self.cold_due_at(call, queue, queued, now)
                if due_at > queued.last_useful_at and call.ran is Ran.NO:
                    break
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
        within_share = self.within_share(call, now)
        expected_rate = self.node.peer_sync.paces.placement_rate(call.service, now)
        retry_after = queue.retry_after(
            now, call.deadline - now, due_at, expected_rate, within_share
        )
        detail = f"no endpoint had capacity within {now - joined:.3f} s"
        if within_share is False:
            detail += ", account beyond its share"
        raise RequestError(Kind.OVERLOADED, detail, Ran.NO, retry_after)

    def within_share(self, call: Call, now: float) -> bool | None:
        """Return whether a call's account is within its share, None where there are none."""
        flow = self.flow(call)
        return None if flow is None else not flow.is_beyond_share(now)

    def queue_parameters(self, call: Call, best: Choice) -> QueueParameters:
        """Return the properties with which a call joins its queue.

        :param best: the best endpoint at this moment.
        """
        ends_at = call.deadline
        if call.stream is not None:
            ends_at = min(ends_at, call.started_at + caller_idle_timeout(call.route))
        expected = self.node.peer_sync.paces.expected_seconds(best, time.monotonic())
        return QueueParameters(
            call.priority,
            call.started_at,
            call.route.latency_objective,
            ends_at,
            self.node.draining,
            expected,
            flow=self.flow(call),
            work=expected_work(call, best),
        )

    def cold_due_at(self, call: Call, queue: WaitQueue, queued: QueueEntry, now: float) -> float:
        """Return when a queued call can be sent if only cold endpoints can take it, else 0."""
        if not self.node.directory.cold_starts.limits:
            return 0.0
        usable = [
            endpoint
            for endpoint in self.node.directory.endpoints_of_version(
                call.service.name, call.version
            )
            if endpoint.usable(now) and endpoint.name not in call.tried
        ]
        if not usable or not all(endpoint.is_cold(now) for endpoint in usable):
            return 0.0
        cold_starts = [endpoint.cold for endpoint in usable]
        return due_after(cold_starts, queue.count_ahead(queued, now), now)

    def choose_endpoint(self, call: Call) -> Choice | None:
        """Return the best endpoint for the call at this moment."""
        return self.choose_from(self.node.directory.pool(call.service.name), call)

    def choose_from(self, pool: Pool, call: Call) -> Choice | None:
        """Return the best endpoint of a pool for the call at this moment."""
        resumption = self.node.resumption
        avoid = call.tried | resumption.doubted_endpoints(call)
        unsettled = resumption.unsettled_endpoints(call)
        choice = place(pool, self.placement_request(call, avoid | unsettled))
        if choice is None and unsettled:
            return place(pool, self.placement_request(call, avoid))
        return choice

    def load_multiple(self, service: str) -> float:
        """Return the limit on an endpoint's load as a multiple of the mean of the candidates."""
        directory = self.node.directory
        load_multiple = self.node.settings.load_multiple
        if not directory.evacuated_domains:
            return load_multiple
        pool = directory.pool(service)
        evacuated = sum(endpoint.evacuated for endpoint in pool)
        return remaining_load_multiple(load_multiple, evacuated, len(pool))

    def placement_request(self, call: Call, avoid: set[str]) -> PlacementRequest:
        """Return the description of the call for its placement.

        :param avoid: names of endpoints that are left out.
        """
        node = self.node
        return PlacementRequest(
            now=time.monotonic(),
            failure_domain=node.settings.failure_domain,
            load_multiple=self.load_multiple(call.service.name),
            engine=call.service.engine,
            parts=call.info.parts,
            prompt_tokens=call.info.prompt_tokens,
            avoid=frozenset(avoid),
            version=call.version,
            objective=call.route.latency_objective,
        )


def expected_work(call: Call, choice: Choice | None = None) -> float:
    """Return the expected work of a call: tokens of unread prompt and output; 1 if it is plain.

    :param choice: the endpoint whose cache determines what is unread; None for the whole prompt.
    """
    if call.service.engine is None:
        return 1.0
    info = call.info
    prompt = max(info.prompt_tokens, sum(part.tokens for part in info.parts))
    unread = choice.uncached if choice is not None and info.parts else prompt
    return max(1.0, unread + info.output_tokens)
