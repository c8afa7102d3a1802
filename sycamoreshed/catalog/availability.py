"""Which endpoints take new work.

Whatever chooses an endpoint, or sends something to one, goes by this.
"""

from sycamoreshed.catalog import evacuations
from sycamoreshed.catalog import rests
from sycamoreshed.catalog import staleentries

__all__ = ["Availability"]


class Availability:
    """What keeps listed endpoints from getting new work.

    Parameters
    ----------
    journal : Journal

    Attributes
    ----------
    evacuations : Evacuations
    rests : Rests
    stale_entries : StaleEntries
    """

    def __init__(self, *, journal):
        self._departures = frozenset()
        self.evacuations = evacuations.Evacuations(journal=journal)
        self.rests = rests.Rests()
        self.stale_entries = staleentries.StaleEntries()

    def set_departures(self, boots):
        """Replace the endpoints that leave by their answers.

        Parameters
        ----------
        boots : frozenset of str
            See `Endpoint.boot`.

        Returns
        -------
        bool
            Whether they changed.
        """
        is_new = boots != self._departures
        self._departures = boots
        return is_new

    def is_leaving(self, endpoint):
        """Return whether an endpoint leaves, as listed or by its answers.

        An older copy of the store may list one as staying that had left.
        """
        return (
            endpoint.is_draining
            or endpoint.boot in self._departures
            or endpoint.boot in self.stale_entries
        )

    def is_open(self, endpoint):
        """Return whether an endpoint takes work, unless it rests."""
        is_evacuated = endpoint.zone in self.evacuations
        return not is_evacuated and not self.is_leaving(endpoint)

    def takes_work(self, endpoint, now):
        """Return whether an endpoint takes work at a time."""
        is_resting = self.rests.remaining_s(endpoint, now) > 0
        return not is_resting and self.is_open(endpoint)
