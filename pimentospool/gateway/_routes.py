"""Lookup of routes by host and longest path prefix."""

import hashlib

from pimentospool.gateway._model import Configuration, HttpRoute
from pimentospool.ids import ServiceId


class RouteTable:
    """Routes of one configuration, indexed by host and path prefix.

    Parameters
    ----------
    configuration : Configuration
        Configuration that holds the routes.
    """

    def __init__(self, *, configuration: Configuration) -> None:
        self._routes = {
            (route.host, route.prefix): route for route in configuration.routes
        }

    def match(self, host: str, path: str) -> HttpRoute | None:
        """Return the route with the longest prefix of `path`.

        Prefixes end with a slash, so only substrings up to a slash are looked up.
        """
        path_only = path.split("?", 1)[0]
        end = path_only.rfind("/")
        while end >= 0:
            route = self._routes.get((host, path_only[: end + 1]))
            if route is not None:
                return route
            end = path_only.rfind("/", 0, end)
        return None

    def routes_for_host(self, host: str) -> list[HttpRoute]:
        """Return all routes of `host`."""
        return [
            route
            for (route_host, _), route in self._routes.items()
            if route_host == host
        ]


def choose_service(route: HttpRoute, request_id: str) -> ServiceId:
    """Return the service of `route` for a request, in proportion to the weights.

    The choice depends only on the request id, so that every entry VM makes the same
    one.
    """
    if len(route.services) == 1:
        return route.services[0].service
    digest = hashlib.blake2b(request_id.encode(), digest_size=4).digest()
    total = sum(item.weight for item in route.services)
    point = int.from_bytes(digest, "big") / 2**32 * total
    for item in route.services:
        point -= item.weight
        if point < 0:
            return item.service
    return route.services[-1].service
