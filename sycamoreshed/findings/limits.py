"""Rates to which endpoints limit the requests of all instances together."""

import msgspec

from sycamoreshed.findings import topics
from sycamoreshed.kernel import kernel

__all__ = ["LimitRecords"]

LIMITS = topics.register(
    topics.Topic("limit", 60.0, 1024, value_type=float | None)
)
# Age at which a limit that is still named is told again, so that it does not
# expire elsewhere.
REFRESH_S = 20.0


class LimitRecords:
    """Limits that endpoints named in their answers.

    Parameters
    ----------
    board : Board
    journal : Journal
    """

    def __init__(self, *, board, journal):
        self._board = board
        self._journal = journal

    def rate(self, endpoint, now):
        """Return an endpoint's limit in requests per second, or None."""
        entry = self._board.find(LIMITS.name, endpoint.boot, now)
        return None if entry is None else self._decode(entry.value)

    def record_answer(self, endpoint, rate, *, sent_at, now, unix_ms):
        """Record the limit that an answer names; return a new `Finding`.

        Parameters
        ----------
        endpoint : Endpoint
        rate : float or None
            None if the answer names none.
        sent_at : float
            When the request was sent.  An answer without a limit lifts only
            one that had been named by then, as answers may overtake others.
        now : float
        unix_ms : int

        Returns
        -------
        Finding or None
            None if nothing has changed.
        """
        entry = self._board.find(LIMITS.name, endpoint.boot, now)
        known = None if entry is None else self._decode(entry.value)
        if rate is None and (known is None or sent_at <= entry.at):
            return None
        if rate == known and now - entry.at < REFRESH_S:
            return None
        if rate != known:
            self._journal.write(
                "endpoint_limited", endpoint=endpoint.id, rate=rate
            )
        return self._board.add(
            LIMITS.name, endpoint.boot, rate, now=now, unix_ms=unix_ms
        )

    def _decode(self, value):
        try:
            return msgspec.convert(value, float | None)
        except msgspec.ValidationError as err:
            # Another version of the program may tell more.
            self._journal.write("finding_bad", topic=LIMITS.name, why=str(err))
            return None


@kernel.plugin("limit_records", needs=("board", "journal"))
async def limit_records(core):
    """Provide the limits that endpoints named."""
    yield LimitRecords(board=core.part("board"), journal=core.part("journal"))
