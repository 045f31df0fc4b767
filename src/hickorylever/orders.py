"""Placement orders at the sidecar: fencing, engine state and warm-up."""

import curio
import msgspec

from . import defaults
from .decisions.leases import FencingCheck, LeaseRecord, Verdict
from .decisions.placement import Assignment, Loaded, LoadState, Order
from .events import Event, log
from .exceptions import ConnectionLost, Kind, PlatformError, RequestError
from .http import Exchange
from .node import respond_json

PATH = "/orders"
LEASE_OBJECT = ("leases", "placement")
CONNECTION_ERRORS = (ConnectionLost, curio.TaskTimeout)


class OrderReport(msgspec.Struct, frozen=True):
    """Response of a sidecar to an order or a status query.

    :param state: value of :class:`LoadState`.
    :param verdict: whether the order was obeyed, empty for a status query.
    :param number: highest fencing number that the sidecar knows.
    """

    state: str
    assignment: Assignment = Assignment()
    verdict: str = ""
    number: int = 0


class EngineState(msgspec.Struct, frozen=True):
    """State that an engine with support for orders reports."""

    state: str
    assignment: Assignment = Assignment()


class EngineOrder(msgspec.Struct, frozen=True):
    """Order to an engine to load models. Some engines check the fencing number themselves."""

    assignment: Assignment
    number: int


class Orders:
    """Checks the orders for one endpoint and passes them to its engine.

    Orders are processed one at a time. An engine that does not check fencing numbers may apply a
    delayed older order; the sidecar detects that in the engine's state and repeats the last order
    that it accepted.

    :param endpoint: returns the endpoint of the configuration in force, or None.
    """

    def __init__(self, env, address: str, port: int, endpoint):
        self.env = env
        self.address = address
        self.port = port
        self.endpoint = endpoint
        self.fencing = FencingCheck()
        self.order: Order | None = None
        self.loaded = Loaded(LoadState.LOADING)
        self.warmed_up: Loaded | None = None
        self.lock = curio.Lock()
        env.timers.subscribe("orders", defaults.ORDER_CHECK_SECONDS, self.check)

    async def read_fencing_number(self) -> None:
        """Read the current fencing number, with retries. All orders are refused before that."""
        while self.fencing.number is None:
            try:
                entry = await self.env.platform.get(*LEASE_OBJECT)
            except PlatformError as error:
                log(Event.PLATFORM_FAILED, str(error), 30)
                await curio.sleep(defaults.PLATFORM_RETRY_SECONDS)
                continue
            missing = not entry.version
            record = (
                LeaseRecord() if missing else msgspec.json.decode(entry.value, type=LeaseRecord)
            )
            self.fencing.set_stored_number(record.number)

    async def respond(self, exchange: Exchange) -> None:
        """Respond to a controller with the loaded models and, for an order, its verdict."""
        verdict = ""
        if exchange.method == "POST":
            verdict = (await self.accept(await exchange.body())).value
        await respond_json(exchange, self.report(verdict))

    def report(self, verdict: str = "") -> OrderReport:
        """Return the report of what is loaded."""
        number = self.fencing.number or 0
        return OrderReport(self.loaded.state, self.loaded.assignment, verdict, number)

    async def accept(self, body: bytes) -> Verdict:
        """Check an order and pass it to the engine if it is current.

        :raises RequestError: when it is malformed.
        """
        try:
            order = msgspec.json.decode(body, type=Order)
        except msgspec.DecodeError as error:
            raise RequestError(Kind.BAD_REQUEST, str(error)) from None
        async with self.lock:
            verdict = self.fencing.validate(order.number)
            if verdict is Verdict.OBEY:
                self.order = order
                await self.send_order()
            else:
                log(Event.ORDER_REFUSED, verdict.value, 30, number=order.number)
        return verdict

    async def send_order(self) -> None:
        """Send the last order to the engine. :meth:`check` repeats it if that fails."""
        order = self.order
        body = msgspec.json.encode(EngineOrder(order.assignment, order.number))
        self.loaded = Loaded(LoadState.LOADING)
        try:
            async with curio.timeout_after(defaults.ORDER_TIMEOUT_SECONDS):
                await self.env.client.fetch(self.address, self.port, "POST", PATH, (), body)
        except CONNECTION_ERRORS as error:
            log(Event.ORDER_FAILED, f"engine did not accept the order: {error!r}", 30)

    async def check(self) -> None:
        """Query the engine, repeat the last order if its state differs, and warm it up."""
        endpoint = self.endpoint()
        if endpoint is None:
            return
        async with self.lock:
            self.loaded = await self.query_engine() if endpoint.models else Loaded(LoadState.FIXED)
            if self.differs():
                await self.send_order()
        if self.loaded.state is LoadState.READY and self.loaded != self.warmed_up:
            await self.warm_up(self.loaded)

    def differs(self) -> bool:
        """Return whether the engine has settled on another assignment than the last order."""
        order, current = self.order, self.loaded
        if order is None or current.state not in (LoadState.READY, LoadState.EMPTY):
            return False
        return current.assignment != order.assignment

    async def query_engine(self) -> Loaded:
        """Return what the engine has loaded.

        An engine that does not serve the path takes no orders: its models are fixed.
        """
        try:
            async with curio.timeout_after(defaults.CONNECT_TIMEOUT_SECONDS):
                status, _, data = await self.env.client.fetch(self.address, self.port, "GET", PATH)
        except CONNECTION_ERRORS:
            return Loaded(LoadState.LOADING)
        if status != 200:
            return Loaded(LoadState.FIXED)
        try:
            state = msgspec.json.decode(data, type=EngineState)
            return Loaded(LoadState(state.state), state.assignment)
        except (msgspec.DecodeError, ValueError):
            return Loaded(LoadState.FIXED)

    async def warm_up(self, loaded: Loaded) -> None:
        """Generate one token with each model before the endpoint takes traffic."""
        for model in loaded.assignment.models:
            message = {"role": "user", "content": "warm-up"}
            body = msgspec.json.encode({"model": model, "messages": [message], "max_tokens": 1})
            try:
                async with curio.timeout_after(defaults.ORDER_TIMEOUT_SECONDS):
                    status, _, _ = await self.env.client.fetch(
                        self.address, self.port, "POST", "/v1/chat/completions", (), body
                    )
            except CONNECTION_ERRORS:
                return
            if status != 200:
                return
        self.warmed_up = loaded

    def is_warm(self) -> bool:
        """Return whether the endpoint has its models loaded and warmed up."""
        if self.loaded.state is LoadState.FIXED:
            return True
        endpoint = self.endpoint()
        if endpoint is None or self.loaded.state is not LoadState.READY:
            return False
        return self.loaded == self.warmed_up and set(endpoint.models) <= set(
            self.loaded.assignment.models
        )
