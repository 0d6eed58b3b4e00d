"""Lookup of routes by host and longest path prefix."""

import hashlib
from urllib.parse import unquote

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

    def needs_key(self, host: str, path: str, route: HttpRoute) -> bool:
        """Whether a request that `route` matches has to come with an API key.

        It has to, too, if a target that resolves dot segments and escapes of the path
        serves it as one of a route that isn't public.
        """
        if not route.public:
            return True
        path_only = path.split("?", 1)[0]
        resolved_path = _resolved_path(path_only)
        if resolved_path == path_only:
            return False
        resolved = self.match(host, resolved_path)
        return resolved is not None and not resolved.public

    def routes_for_host(self, host: str) -> list[HttpRoute]:
        """Return all routes of `host`."""
        return [
            route
            for (route_host, _), route in self._routes.items()
            if route_host == host
        ]


def _resolved_path(path: str) -> str:
    """Return a path without escapes, parameters, and dot or empty segments."""
    decoded = unquote(path, errors="surrogateescape")
    names: list[str] = []
    name = ""
    for segment in decoded.replace("\\", "/").split("/"):
        name = segment.partition(";")[0]
        if name == "..":
            names = names[:-1]
        elif name not in ("", "."):
            names.append(name)
    end = "/" if names and name in ("", ".", "..") else ""
    return "/" + "/".join(names) + end


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
