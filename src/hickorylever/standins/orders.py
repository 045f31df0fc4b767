"""Simulated order API of a model engine, with or without a check of fencing numbers."""

import curio
import msgspec

from ..decisions.placement import Assignment
from ..exceptions import Kind, RequestError
from ..http import Exchange
from ..node import respond_json
from ..orders import EngineOrder, EngineState

NO_MODELS = Assignment()


class ModelLoader:
    """Handles calls to ``/orders`` and simulates the loading of models.

    :param checks_fencing: whether to refuse orders with a fencing number below
        `highest_number`.
    :param load_seconds: time to load models.
    :param initial: assignment that is loaded initially.
    :ivar highest_number: highest fencing number of accepted orders; 0 initially.
    :ivar accepted: accepted orders.
    """

    def __init__(self, checks_fencing: bool, load_seconds: float, initial: Assignment = NO_MODELS):
        self.checks_fencing = checks_fencing
        self.load_seconds = load_seconds
        self.highest_number = 0
        self.accepted: list[EngineOrder] = []
        self.state = EngineState("ready" if initial.models else "empty", initial)

    async def handle(self, exchange: Exchange) -> None:
        """Accept an order on POST, and respond with the loading state."""
        if exchange.method == "POST":
            await self.accept(msgspec.json.decode(await exchange.body(), type=EngineOrder))
        await respond_json(exchange, self.state)

    async def accept(self, order: EngineOrder) -> None:
        """Start to load the models of an order.

        :raises RequestError: if fencing numbers are checked and that of the order is too low.
        """
        if self.checks_fencing and order.number < self.highest_number:
            raise RequestError(
                Kind.FORBIDDEN,
                f"fencing number {order.number} is lower than {self.highest_number}",
            )
        self.highest_number = max(self.highest_number, order.number)
        self.accepted.append(order)
        self.state = EngineState("loading")
        await curio.spawn(self.finish_loading, order, daemon=True)

    async def finish_loading(self, order: EngineOrder) -> None:
        """Wait for the loading time, then set the state to ready."""
        await curio.sleep(self.load_seconds)
        self.state = EngineState("ready", order.assignment)
