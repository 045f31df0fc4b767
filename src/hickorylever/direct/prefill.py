"""Prompt tokens that an endpoint has been sent and has not read yet."""

from .endpoints import Endpoint


class PendingPrefill:
    """Prompt tokens that count as unread at an endpoint until it sends its first event."""

    def __init__(self, endpoint: Endpoint, tokens: float, peer_sync):
        self.peer_sync = peer_sync
        self.endpoint = endpoint
        self.tokens = tokens

    def complete(self) -> None:
        """Remove the tokens from the endpoint's load and announce the change."""
        self.endpoint.prefill = max(0.0, self.endpoint.prefill - self.tokens)
        self.tokens = 0.0
        self.peer_sync.announce_load(self.endpoint)
