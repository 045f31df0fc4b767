"""Simulated store and endpoints of the platform, for tests. Routers do not import them."""

from . import behaviours as behaviours  # Registers the behaviours of endpoints.
from . import endless as endless
