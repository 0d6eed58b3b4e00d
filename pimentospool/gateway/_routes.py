"""Look-up of routes by host and longest path prefix."""

import hashlib

from pimentospool.gateway._model import Configuration, HttpRoute
from pimentospool.ids import ServiceId


class RouteTable:
    """Routes of one configuration.

    Parameters
    ----------
    configuration : Configuration
        Source of the routes.
    """

    def __init__(self, *, configuration: Configuration) -> None:
        self._routes = {(rt.host, rt.prefix): rt for rt in configuration.routes}

    def match(self, host: str, path: str) -> HttpRoute | None:
        """Return the route with the longest prefix that begins `path`.

        Prefixes end with a slash, so only the path's slashes are tried.
        """
        bare = path.split("?", 1)[0]
        end = bare.rfind("/")
        while end >= 0:
            route = self._routes.get((host, bare[: end + 1]))
            if route is not None:
                return route
            end = bare.rfind("/", 0, end)
        return None

    def routes_of(self, host: str) -> list[HttpRoute]:
        """Return all routes of `host`."""
        return [rt for (owner, _), rt in self._routes.items() if owner == host]


def choose_service(route: HttpRoute, request_id: str) -> ServiceId:
    """Return the service of `route` for a request, in proportion to the weights.

    The choice depends on the request's id alone, so that every entry VM makes the
    same one.
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
