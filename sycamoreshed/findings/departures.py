"""Endpoints that said in an answer that they leave.

The list of endpoints may tell so much later, or never: the store may be away,
or the endpoint cannot reach it.  What one instance hears is told to all.
"""

import functools

from sycamoreshed.findings import topics
from sycamoreshed.kernel import kernel

__all__ = ["DepartureRecords"]

# Longer than an endpoint goes on for after it said so.
DEPARTURES = topics.register(
    topics.Topic("departure", 3600.0, 2048, value_type=None)
)
# Age at which it is told again if the endpoint still says so.
REFRESH_S = 1200.0


class DepartureRecords:
    """Endpoints that leave, by their own answers.

    It holds until their process ends: whatever an answer or the list says
    later may be older.

    Parameters
    ----------
    board : Board
    journal : Journal
    """

    def __init__(self, *, board, journal):
        self._board = board
        self._journal = journal

    def boots(self, now):
        """Return the `Endpoint.boot` of all endpoints that leave."""
        return frozenset(self._board.entries(DEPARTURES.name, now))

    def record_answer(self, endpoint, status, *, now, unix_ms):
        """Record that an answer said so; return a new `Finding`.

        Parameters
        ----------
        endpoint : Endpoint
        status : int
            Of the answer, for the journal.
        now : float
        unix_ms : int

        Returns
        -------
        Finding or None
            None if it is known.
        """
        entry = self._board.find(DEPARTURES.name, endpoint.boot, now)
        if entry is not None and now - entry.at < REFRESH_S:
            return None
        if entry is None:
            self._journal.write(
                "endpoint_leaves", endpoint=endpoint.id, status=status
            )
        return self._board.add(
            DEPARTURES.name, endpoint.boot, None, now=now, unix_ms=unix_ms
        )


def _tell_catalog(core, records):
    core.part("catalog").set_departures(records.boots(core.clock()))


@kernel.plugin("departure_records", needs=("board", "catalog", "journal"))
async def departure_records(core):
    """Provide the records of endpoints that leave, and tell the catalog."""
    records = DepartureRecords(
        board=core.part("board"), journal=core.part("journal")
    )
    core.part("board").listen(
        DEPARTURES.name, functools.partial(_tell_catalog, core, records)
    )
    yield records
