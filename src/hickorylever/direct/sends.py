"""The sends of a request to endpoints."""

from dataclasses import dataclass

from ..http import Channel


@dataclass(slots=True)
class Send:
    """One send of a request on a connection.

    :param number: of the requests on the connection, from 1.
    :param named: whether a rejection named the request; None where there was none.
    """

    channel: Channel
    number: int
    named: bool | None = None

    def log_fields(self) -> dict[str, object]:
        """Return the log fields that tell this send from others of the same request."""
        return {"connection": self.channel.number, "sends": self.number, "named": self.named}
