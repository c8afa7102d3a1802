"""Zones whose endpoints operators have asked not to use."""

__all__ = ["Evacuations"]


class Evacuations:
    """Evacuated zones, and since when they are known to be.

    Parameters
    ----------
    journal : Journal

    Examples
    --------
    >>> from testkit import journals
    >>> evacuations = Evacuations(journal=journals.Journal())
    >>> evacuations.update({"north-a"}, 5.0, "store")
    True
    >>> "north-a" in evacuations, evacuations.ages(7.0)
    (True, {'north-a': 2.0})
    """

    def __init__(self, *, journal):
        self._journal = journal
        self._since = {}

    def __contains__(self, zone):
        return zone in self._since

    def update(self, zones, now, source):
        """Replace the evacuated zones; return whether they changed.

        Parameters
        ----------
        zones : set of str
        now : float
            Monotonic time in seconds.
        source : str
            Who told, for the journal.
        """
        if zones == self._since.keys():
            return False
        for zone in zones - self._since.keys():
            self._journal.write("zone_evacuated", zone=zone, source=source)
        for zone in self._since.keys() - zones:
            self._journal.write(
                "zone_restored",
                zone=zone,
                source=source,
                after_s=round(now - self._since[zone], 3),
            )
        self._since = {zone: self._since.get(zone, now) for zone in zones}
        return True

    def ages(self, now):
        """Return the seconds since each zone was known to be evacuated."""
        return {zone: now - at for zone, at in self._since.items()}
