"""Endpoints at whose address another one has answered.

The list of endpoints may have an endpoint for a while after it ended, and its
address may be another one's by then.  Each request that is sent there is
rejected and has to be sent again.  What one instance hears is told to all.
"""

from sycamoreshed.findings import topics
from sycamoreshed.kernel import kernel

__all__ = ["MisdirectionRecords"]

# An entry of an endpoint that ended is removed within seconds.  If the list
# is not brought up to date, one request at a time finds out again.
TTL_S = 10.0
MISDIRECTIONS = topics.register(
    topics.Topic("misdirection", TTL_S, 2048, value_type=None)
)


class MisdirectionRecords:
    """Endpoints that were not found at their addresses.

    Parameters
    ----------
    board : Board
    journal : Journal
    """

    def __init__(self, *, board, journal):
        self._board = board
        self._journal = journal

    def is_misdirected(self, endpoint, now):
        """Return whether another endpoint answered at this one's address."""
        entries = self._board.entries(MISDIRECTIONS.name, now)
        return bool(entries) and _key(endpoint) in entries

    def record_answer(self, endpoint, *, now, unix_ms):
        """Record that another endpoint answered; return a new `Finding`.

        Parameters
        ----------
        endpoint : Endpoint
            The one that was meant.
        now : float
        unix_ms : int

        Returns
        -------
        Finding or None
            None if it is known.
        """
        if self.is_misdirected(endpoint, now):
            return None
        self._journal.write(
            "endpoint_misdirected",
            endpoint=endpoint.id,
            address=endpoint.address,
        )
        return self._board.add(
            MISDIRECTIONS.name,
            _key(endpoint),
            None,
            now=now,
            unix_ms=unix_ms,
        )


def _key(endpoint):
    return f"{endpoint.boot}@{endpoint.address}"


@kernel.plugin("misdirection_records", needs=("board", "journal"))
async def misdirection_records(core):
    """Provide the endpoints that were not found at their addresses."""
    yield MisdirectionRecords(
        board=core.part("board"), journal=core.part("journal")
    )
