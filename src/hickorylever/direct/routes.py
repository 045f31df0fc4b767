"""Routing table built from the active configuration."""

import random

from ..exceptions import Kind, RequestError
from .records import Account, Configuration, Route, Service


class RouteTable:
    """Looks up the routes, services and client accounts of a configuration.

    :ivar split_services: names of the services that share a route for resumable streams.
    """

    def __init__(self, configuration: Configuration):
        self.configuration = configuration
        self.limits = configuration.limits
        self.by_prefix: dict[tuple[str, str], Route] = {
            (route.host, route.prefix): route for route in configuration.routes
        }
        self.services: dict[str, Service] = {
            service.name: service for service in configuration.services
        }
        self.split_services: frozenset[str] = frozenset().union(
            *(
                names
                for route in configuration.routes
                if route.resumable and len(names := used_services(route)) > 1
            )
        )
        accounts = configuration.accounts
        self.requires_key = accounts is not None
        self.accounts: dict[str, Account] = {
            key: account for account in accounts or () for key in account.keys
        }

    def find(self, host: str, path: str) -> Route:
        """Return the route with the longest matching path prefix.

        :raises RequestError: if no route matches.
        """
        host = host.partition(":")[0].lower()
        end = path.rfind("/")
        while end >= 0:
            route = self.by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        raise RequestError(Kind.NOT_FOUND, "no route matches this host and path")

    def identify(self, route: Route, key: str) -> Account | None:
        """Return the client account of a bearer key, or None if the route needs no key.

        :raises RequestError: if the route needs a key and this one is unknown.
        """
        if not self.requires_key or route.public:
            return None
        account = self.accounts.get(key)
        if account is None:
            raise RequestError(Kind.UNAUTHENTICATED, "a valid key is required as a bearer token")
        return account

    def choose_service(self, route: Route, rng: random.Random) -> Service:
        """Return one of the route's services, picked at random by weight.

        :raises RequestError: if the route has no service with a positive weight.
        """
        weights = [weighted.weight for weighted in route.weighted_services]
        if not weights or sum(weights) <= 0:
            raise RequestError(Kind.NO_ENDPOINT, "the route has no service with a positive weight")
        weighted = rng.choices(route.weighted_services, weights)[0]
        return self.service(weighted.service)

    def service(self, name: str) -> Service:
        """Return a service by its name."""
        return self.services.get(name) or Service(name, "", 0)


def used_services(route: Route) -> list[str]:
    """Return the names of the services that requests of a route go to."""
    return [weighted.service for weighted in route.weighted_services if weighted.weight > 0]
