"""Chooses the route of a request by host and path, and a service of the route by weight."""

import random
from collections.abc import Callable, Iterable

from liftrill.gateway.records import RouteRule

# Whole-number weights that add up to 100 have rounds of at most this length.
MAX_ROUND_LENGTH = 100


class RouteTable:
    """The routes of one configuration."""

    def __init__(self, routes: Iterable[RouteRule]) -> None:
        self._by_host: dict[str, dict[str, RouteRule]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> RouteRule | None:
        """Return the route of a host with the longest prefix of a path, or None."""
        by_prefix = self._by_host.get(host.lower())
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class WeightedSplit:
    """Smooth weighted round robin over the services of each route.

    Each node starts at a random position in the round. If all started at its beginning, the first
    requests of many nodes would all go to the service with the largest weight.
    """

    def __init__(
        self, skip: Callable[[], int] = lambda: random.randrange(MAX_ROUND_LENGTH)
    ) -> None:
        self._initial_offset = skip
        self._balances: dict[str, dict[str, float]] = {}

    def next_service(self, route: RouteRule) -> str:
        """Return the service that the next request of a route goes to."""
        if len(route.backends) == 1:
            return route.backends[0].service
        if route.name not in self._balances:
            self._balances[route.name] = {share.service: 0.0 for share in route.backends}
            for _ in range(self._initial_offset()):
                self._advance(route)
        return self._advance(route)

    def _advance(self, route: RouteRule) -> str:
        balances = self._balances[route.name]
        for share in route.backends:
            balances[share.service] = balances.get(share.service, 0.0) + share.weight
        best = max(route.backends, key=lambda share: balances[share.service])
        balances[best.service] -= sum(share.weight for share in route.backends)
        return best.service

    def reset(self) -> None:
        """Restart all rounds, after a change of the configuration."""
        self._balances.clear()
