"""The configuration in force, indexed for requests."""

import random

from ..exceptions import Kind, RequestError
from .records import Account, Configuration, Route, Service


class Routes:
    """Finds routes, services and client accounts of one configuration."""

    def __init__(self, configuration: Configuration):
        self.configuration = configuration
        self.limits = configuration.limits
        self.by_prefix: dict[tuple[str, str], Route] = {
            (route.host, route.prefix): route for route in configuration.routes
        }
        self.services: dict[str, Service] = {
            service.name: service for service in configuration.services
        }
        accounts = configuration.accounts
        self.needs_key = accounts is not None
        self.accounts: dict[str, Account] = {
            key: account for account in accounts or () for key in account.keys
        }

    def find(self, host: str, path: str) -> Route:
        """Return the route with the longest prefix of the path.

        :raises RequestError: when there is none.
        """
        host = host.partition(":")[0].lower()
        end = path.rfind("/")
        while end >= 0:
            route = self.by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        raise RequestError(Kind.NOT_FOUND, "no route serves this host and path")

    def identify(self, route: Route, key: str) -> Account | None:
        """Return the account that a key belongs to; None where none is needed.

        :raises RequestError: when a key is needed and not known.
        """
        if not self.needs_key or route.public:
            return None
        account = self.accounts.get(key)
        if account is None:
            raise RequestError(Kind.UNAUTHENTICATED, "send a known key as a bearer token")
        return account

    def choose_service(self, route: Route, chance: random.Random) -> Service:
        """Return one of a route's services by weight.

        :raises RequestError: when the route has none.
        """
        weights = [weighted.weight for weighted in route.weighted_services]
        if not weights or sum(weights) <= 0:
            raise RequestError(Kind.NO_ENDPOINT, "the route has no service")
        weighted = chance.choices(route.weighted_services, weights)[0]
        service = self.services.get(weighted.service)
        return service or Service(weighted.service, "", 0)
