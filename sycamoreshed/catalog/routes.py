"""Finds the route of a request by host and longest path prefix."""

__all__ = ["RouteTable"]


class RouteTable:
    """Routes by host, longest prefix first.

    Parameters
    ----------
    routes : sequence of Route

    Examples
    --------
    >>> from sycamoreshed.catalog import types
    >>> table = RouteTable(
    ...     routes=[
    ...         types.Route("r1", "a.example", "/x/", (("s", 1.0),)),
    ...         types.Route("r2", "a.example", "/x/y/", (("s", 1.0),)),
    ...     ]
    ... )
    >>> table.find("A.example:80", "/x/y/z?q=1").name
    'r2'
    >>> table.find("a.example", "/x/ya").name
    'r1'
    >>> table.find("b.example", "/x/") is None
    True
    """

    def __init__(self, *, routes):
        self._by_host = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        self._by_name = {route.name: route for route in routes}
        for each in self._by_host.values():
            each.sort(key=lambda route: len(route.prefix), reverse=True)
        self._resumable_services = frozenset(
            service
            for route in routes
            if route.streaming and route.resumable
            for service, _ in route.services
        )

    @property
    def resumable_services(self):
        """Names of the services whose streams callers may take up."""
        return self._resumable_services

    def named(self, name):
        """Return the route with a name, or None."""
        return self._by_name.get(name)

    def find(self, host, target):
        """Return the route of a request target, or None."""
        name = host.lower()
        routes = self._by_host.get(name)
        if routes is None:
            # The header may carry a port, the route's host has none.
            routes = self._by_host.get(name.partition(":")[0], ())
        path = target.partition("?")[0]
        for route in routes:
            if path.startswith(route.prefix):
                return route
        return None
