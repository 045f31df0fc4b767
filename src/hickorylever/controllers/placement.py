"""Orders endpoints to load the models, versions, adapters and roles that the inventory lists."""

import curio
import msgspec

from .. import defaults
from ..decisions.placement import Loaded, LoadState, Order, plan_orders
from ..events import Event, log
from ..exceptions import ConnectionLost
from ..orders import PATH, OrderReport
from ..records import Endpoint
from . import controllers

CALL_ERRORS = (ConnectionLost, curio.TaskTimeout, msgspec.DecodeError)


@controllers.register("placement")
class Placement:
    """Polls sidecars in turn and sends them load orders.

    :param lease_client: client of this controller's lease.
    :param loaded: last reported state of each endpoint, removed if its sidecar does not respond.
    """

    def __init__(self, env, lease_client):
        self.env = env
        self.lease_client = lease_client
        self.loaded: dict[str, Loaded] = {}
        self.poll_index = 0

    async def run(self, number: int) -> None:
        """Poll the next few sidecars and send the orders that are due."""
        endpoints = tuple(entry for entry in self.env.fleet.endpoints if entry.models)
        if not endpoints:
            return
        async with curio.TaskGroup() as group:
            for _ in range(min(defaults.MAX_CONCURRENT_PLACEMENT_POLLS, len(endpoints))):
                self.poll_index = (self.poll_index + 1) % len(endpoints)
                await group.spawn(self.poll, endpoints[self.poll_index])
        usable = {entry.name for entry in endpoints if self.env.usable(entry.name)}
        orders = plan_orders(endpoints, self.loaded, usable, self.demand(), number)
        by_name = {entry.name: entry for entry in endpoints}
        for order in orders:
            await self.send_order(by_name[order.endpoint], order)

    def demand(self) -> dict[str, float]:
        """Return the admitted work on the endpoints of each model, in tokens."""
        now = self.env.clock()
        total_load = self.env.loads.total
        return {model: total_load(pool.name, now).work for model, pool in self.env.models.items()}

    async def poll(self, endpoint: Endpoint) -> None:
        """Poll a sidecar for what it has loaded."""
        report = await self.call(endpoint, "GET")
        if report is None:
            self.loaded.pop(endpoint.name, None)
        else:
            state = LoadState(report.state)
            self.loaded[endpoint.name] = Loaded(state, report.assignment)

    async def send_order(self, endpoint: Endpoint, order: Order) -> None:
        """Send an order if the lease is still held.

        The verdict ``older`` means that another holder has a higher fencing number; the lease is
        then treated as lost.
        """
        if not self.lease_client.lease.holds(self.env.clock()):
            return
        body = msgspec.json.encode(order)
        report = await self.call(endpoint, "POST", body)
        if report is None:
            self.loaded.pop(endpoint.name, None)
            return
        log(Event.ORDER_GIVEN, f"{endpoint.name}: {report.verdict}", number=order.number)
        if report.verdict == "older":
            self.lease_client.lease.write_conflicted()
        self.loaded[endpoint.name] = Loaded(LoadState.LOADING)

    async def call(self, endpoint: Endpoint, method: str, body: bytes = b"") -> OrderReport | None:
        """Call the orders page of a sidecar; None if it does not respond in time."""
        client = self.env.client
        try:
            async with curio.timeout_after(defaults.CONNECT_TIMEOUT_SECONDS):
                _, _, data = await client.fetch(
                    endpoint.address, endpoint.sidecar_port, method, PATH, (), body
                )
            return msgspec.json.decode(data, type=OrderReport)
        except CALL_ERRORS:
            return None
