"""The connections of a listener, and which of them to close.

Connections without a request would otherwise use up the descriptors that the
process needs for the store, for other instances and for endpoints.
"""

import resource
import typing

__all__ = [
    "ConnectionTable",
    "DescriptorShares",
    "Limits",
    "descriptor_shares",
    "max_descriptors",
]

# Kept for files.
FILE_DESCRIPTORS = 200
# At most this share of a low limit is kept for files.
MAX_FILE_SHARE = 0.25
# Share of the descriptors for connections with the store and other instances,
# for readiness checks and for connections that were accepted and not counted
# yet.
OWN_SHARE = 0.25
# Connections accepted at once after many instances failed.
MAX_BACKLOG = 1024
# Callers send their request as soon as a connection is open: one that has
# sent nothing for so long is closed before those that were used.
UNUSED_S = 0.2


def max_descriptors(setting=None):
    """Return how many descriptors this process may have open.

    Parameters
    ----------
    setting : int, optional
        Holds if it is lower than the limit of the process.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return limit if setting is None else min(limit, setting)


class DescriptorShares(typing.NamedTuple):
    """How many descriptors the listeners of a process may use.

    Parameters
    ----------
    callers : int
        Connections of callers.  As many are left for the connections to
        endpoints that their requests need.
    instances : int
        Connections of other instances.
    backlog : int
        Connections that may wait to be accepted.
    """

    callers: int
    instances: int
    backlog: int


def descriptor_shares(limit):
    """Return the `DescriptorShares` for a limit of open descriptors.

    Examples
    --------
    >>> descriptor_shares(4100)
    DescriptorShares(callers=1462, instances=487, backlog=975)
    >>> descriptor_shares(512)
    DescriptorShares(callers=144, instances=48, backlog=96)
    """
    files = min(FILE_DESCRIPTORS, int(limit * MAX_FILE_SHARE))
    own = int((limit - files) * OWN_SHARE)
    return DescriptorShares(
        callers=max(1, (limit - files - own) // 2),
        instances=max(1, own // 2),
        backlog=max(1, min(MAX_BACKLOG, own)),
    )


class Limits(typing.NamedTuple):
    """What a peer may send, and how long it may take.

    Parameters
    ----------
    idle_s : float
        Seconds without a byte of a request.
    head_s : float
        Seconds from the first byte of a request to the end of its head.
    header_bytes : int
        Of the request line, and of all header fields together.
    """

    idle_s: float
    head_s: float
    header_bytes: int


class ConnectionTable:
    """Open connections by what they wait for.

    A connection is unused until its first byte, receives the head of a
    request, is busy with the request, and then idle until the next one.

    Parameters
    ----------
    max_open : int
        Connections that may be open.

    Examples
    --------
    >>> table = ConnectionTable(max_open=2)
    >>> table.add("a", now=0.0), table.add("b", now=0.1)
    ([], [])
    >>> table.record_request("a")
    >>> table.add("c", now=2.0)
    ['b']
    """

    def __init__(self, *, max_open):
        self._max_open = max_open
        # Times since when they wait; the first ones wait longest.
        self._unused = {}
        self._receiving = {}
        self._idle = {}
        self._busy = set()

    def __len__(self):
        waiting = len(self._unused) + len(self._receiving) + len(self._idle)
        return waiting + len(self._busy)

    def add(self, connection, now):
        """Add a new connection; return those to close, maybe itself."""
        self._unused[connection] = now
        surplus = []
        while len(self) > self._max_open:
            surplus.append(self._select_surplus(now))
            self.remove(surplus[-1])
        return surplus

    def record_data(self, connection, now):
        """Record that bytes of a connection arrived."""
        if connection in self._unused or connection in self._idle:
            self.remove(connection)
            self._receiving[connection] = now

    def __contains__(self, connection):
        return connection in self._busy or any(
            connection in waiting
            for waiting in (self._unused, self._receiving, self._idle)
        )

    def record_request(self, connection):
        """Record that the head of a request has arrived.

        Does nothing if the connection was removed meanwhile.
        """
        if connection in self:
            self.remove(connection)
            self._busy.add(connection)

    def record_response(self, connection, now):
        """Record that the response to a request was written."""
        if connection in self._busy:
            self._busy.remove(connection)
            self._idle[connection] = now

    def remove(self, connection):
        """Remove a connection, which may have been removed before."""
        for waiting in (self._unused, self._receiving, self._idle):
            waiting.pop(connection, None)
        self._busy.discard(connection)

    def expired(self, now, *, idle_s, head_s):
        """Return the connections that have waited too long for a request.

        Parameters
        ----------
        now : float
        idle_s : float
            Seconds without a byte of a request.
        head_s : float
            Seconds from the first byte of a request to the end of its head.
        """
        result = []
        for waiting, limit_s in (
            (self._unused, idle_s),
            (self._idle, idle_s),
            (self._receiving, head_s),
        ):
            for connection, since in waiting.items():
                if now - since < limit_s:
                    break
                result.append(connection)
        return result

    def _select_surplus(self, now):
        # The new connection is among the unused ones.
        oldest = next(iter(self._unused))
        if now - self._unused[oldest] >= UNUSED_S:
            return oldest
        waiting = self._idle or self._receiving or self._unused
        return next(iter(waiting))
