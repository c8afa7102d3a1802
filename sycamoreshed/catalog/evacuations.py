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
        self._listed = frozenset()
        self._retained_until = {}

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
        self._listed = frozenset(zones)
        for zone in zones & self._retained_until.keys():
            del self._retained_until[zone]
        return self._set(zones | self._retained_until.keys(), now, source)

    def retain(self, until):
        """Keep the present zones evacuated until a time, listed or not."""
        self._retained_until = dict.fromkeys(self._since, until)

    def release(self, now):
        """End what was retained for a time; return whether zones changed."""
        over = [z for z, until in self._retained_until.items() if now >= until]
        for zone in over:
            del self._retained_until[zone]
        if not over:
            return False
        zones = self._listed | self._retained_until.keys()
        return self._set(zones, now, "lapse")

    def _set(self, zones, now, source):
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
