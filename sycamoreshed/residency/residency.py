"""Decides in which regions a request may be served.

Operators restrict routes and teams to regions.  Everything that sends a
request, a piece of it or its results asks here, each time that it sends: a
new configuration holds for requests that are under way, too.
"""

from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel

__all__ = ["Residency", "common_regions"]


def common_regions(*allowed):
    """Return the regions that all restrictions allow, or None for all.

    Parameters
    ----------
    *allowed : frozenset of str
        Each is empty if it restricts nothing.

    Returns
    -------
    frozenset of str or None
        Empty if the restrictions have no region in common.

    Examples
    --------
    >>> common_regions(frozenset(), frozenset()) is None
    True
    >>> sorted(common_regions(frozenset(("north", "east")), frozenset()))
    ['east', 'north']
    >>> common_regions(frozenset(("north",)), frozenset(("south",)))
    frozenset()
    """
    restrictions = [each for each in allowed if each]
    if not restrictions:
        return None
    return frozenset.intersection(*restrictions)


class Residency:
    """The regions that routes and teams allow, by the configuration in force.

    Parameters
    ----------
    catalog : Catalog
    regions : dict of str to str
        Region of each zone.
    """

    def __init__(self, *, catalog, regions):
        self._catalog = catalog
        self._regions = regions
        self._known_regions = frozenset(regions.values())

    def regions(self, request):
        """Return the regions in which a request may be served.

        Returns
        -------
        frozenset of str or None
            None for all.
        """
        route = self._catalog.routes.named(request.route.name)
        allowed_by_route = (route or request.route).allowed_regions
        team = request.team
        if team is None:
            return common_regions(allowed_by_route)
        teams = self._catalog.configuration.teams
        # A key that was revoked meanwhile leaves the team as it was.
        team = teams.get(request.head.key, team)
        return common_regions(allowed_by_route, team.allowed_regions)

    def allows(self, regions, zone):
        """Return whether a zone is in one of some regions.

        Parameters
        ----------
        regions : frozenset of str or None
            As `regions` returns them.
        zone : str
        """
        return regions is None or self._regions.get(zone) in regions

    def select(self, request, endpoints):
        """Return those of some endpoints that are in an allowed region."""
        regions = self.regions(request)
        if regions is None:
            return endpoints
        return tuple(
            each for each in endpoints if self.allows(regions, each.zone)
        )

    def rejection(self, request, *, sent=False):
        """Return the `Failure` of a request that no region may serve, or None.

        Parameters
        ----------
        request : Request
        sent : bool
            Whether an attempt of this request may have run.
        """
        regions = self.regions(request)
        if regions is None or regions & self._known_regions:
            return None
        return kinds.Failure(
            kinds.Kind.NO_REGION,
            "its route and its team allow no region in common",
            sent=sent,
        )


@kernel.plugin("residency", needs=("catalog",))
async def residency(core):
    """Provide the `Residency` of requests."""
    yield Residency(catalog=core.part("catalog"), regions=core.settings.zones)
