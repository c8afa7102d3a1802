"""Which software versions of a service's endpoints serve, or did lately."""

__all__ = ["SoftwareVersions"]

# Longer than the deadline of any caller of a stream, which may go on only at
# the version that began it.
MEMORY_S = 60.0


class SoftwareVersions:
    """Software versions by service.

    Examples
    --------
    >>> from sycamoreshed.catalog import types
    >>> versions = SoftwareVersions()
    >>> old = types.Endpoint("e", "s", "", "z", 4, software_version="v1")
    >>> new = old._replace(software_version="v2")
    >>> versions.update([old], [new], 10.0)
    >>> sorted(versions.of_service("s", 11.0))
    ['v1', 'v2']
    >>> sorted(versions.of_service("s", 10.0 + MEMORY_S))
    ['v2']
    """

    def __init__(self):
        self._present = {}
        self._left_at = {}

    def update(self, previous, current, now):
        """Record a change of the endpoints.

        Parameters
        ----------
        previous, current : iterable of Endpoint
        now : float
            Monotonic time in seconds.
        """
        for each in previous:
            self._left_at[each.service, each.software_version] = now
        self._present = {}
        for each in current:
            self._left_at.pop((each.service, each.software_version), None)
            self._present.setdefault(each.service, set()).add(
                each.software_version
            )
        for key, left_at in list(self._left_at.items()):
            if now - left_at >= MEMORY_S:
                del self._left_at[key]

    def of_service(self, service, now):
        """Return the versions that serve, or did within `MEMORY_S`."""
        lately = {
            version
            for (name, version), left_at in self._left_at.items()
            if name == service and now - left_at < MEMORY_S
        }
        return self._present.get(service, set()) | lately
