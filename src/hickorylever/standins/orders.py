"""A stand-in for the orders of a model engine: models load slowly, with or without a check."""

import curio
import msgspec

from ..decisions.placement import Assignment
from ..exceptions import Kind, RequestError
from ..http import Exchange
from ..node import respond_json
from ..orders import EngineOrder, EngineState

NOTHING = Assignment()


class Loader:
    """Answers ``/orders``.

    :param checks: refuses an order with a fencing number lower than one it has seen.
    :param seconds: how long loading takes.
    :param held: what is loaded from the start.
    """

    def __init__(self, checks: bool, seconds: float, held: Assignment = NOTHING):
        self.checks = checks
        self.seconds = seconds
        self.number = 0
        self.taken: list[EngineOrder] = []
        self.state = EngineState("ready" if held.models else "empty", held)

    async def handle(self, exchange: Exchange) -> None:
        """Answer what is loaded, or take an order."""
        if exchange.method == "POST":
            await self.take(msgspec.json.decode(await exchange.body(), type=EngineOrder))
        await respond_json(exchange, self.state)

    async def take(self, order: EngineOrder) -> None:
        """Load what an order says.

        :raises RequestError: when its number is too low and this engine checks.
        """
        if self.checks and order.number < self.number:
            raise RequestError(Kind.FORBIDDEN, f"{order.number} is older than {self.number}")
        self.number = max(self.number, order.number)
        self.taken.append(order)
        self.state = EngineState("loading")
        await curio.spawn(self.load, order, daemon=True)

    async def load(self, order: EngineOrder) -> None:
        """Finish loading after a while."""
        await curio.sleep(self.seconds)
        self.state = EngineState("ready", order.assignment)
