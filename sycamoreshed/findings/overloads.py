"""Overloaded endpoints that fail if they have to reject too many requests."""

import typing

import msgspec

from sycamoreshed.findings import topics
from sycamoreshed.kernel import kernel

__all__ = ["OverloadRecords"]

# Without further rejections an endpoint counts as overloaded for this long.
# Forgotten in a lull, it would get all of the next burst.
OVERLOAD_S = 60.0
# Additive increase and multiplicative decrease of the rate that an overloaded
# endpoint may get: the increase in a second is a share of the rejections that
# it survives, so that few requests exceed what it can take.
INCREASE_SHARE = 0.2
DECREASE = 0.6
# Upper bound of the increase above the rate that led to a rejection, as a
# share of the rejections that it survives.
MAX_INCREASE_SHARE = 0.5
# Rejections within this time are due to requests that were sent before others
# learned of the first one.
DECREASE_INTERVAL_S = 0.3


class _Overload(typing.NamedTuple):
    """Value of a finding.

    Parameters
    ----------
    tolerated : float
        Rejections per second that the endpoint survives.
    rate : float
        Requests per second that it may get from then on.
    """

    tolerated: float
    rate: float


OVERLOADS = topics.register(
    topics.Topic("overload", OVERLOAD_S, 1024, value_type=_Overload)
)


class OverloadRecords:
    """Endpoints that rejected requests and name how many they can reject.

    Parameters
    ----------
    board : Board
    journal : Journal
    """

    def __init__(self, *, board, journal):
        self._board = board
        self._journal = journal

    def rate(self, endpoint, now):
        """Return how many requests a second an endpoint may get, or None."""
        entry = self._board.find(OVERLOADS.name, endpoint.boot, now)
        overload = None if entry is None else self._decode(entry.value)
        if overload is None:
            return None
        increase = INCREASE_SHARE * overload.tolerated
        # A rate that nobody used shows nothing of what the endpoint can take.
        most = (
            overload.rate / DECREASE + MAX_INCREASE_SHARE * overload.tolerated
        )
        return min(most, overload.rate + increase * (now - entry.at))

    def is_overloaded(self, endpoint, now):
        """Return whether an endpoint rejected requests lately."""
        return self._board.find(OVERLOADS.name, endpoint.boot, now) is not None

    def record_rejection(
        self, endpoint, tolerated, *, arrival_rate, now, unix_ms
    ):
        """Record that an endpoint had no room; return a new `Finding`.

        Parameters
        ----------
        endpoint : Endpoint
        tolerated : float
            Rejections per second that it survives.
        arrival_rate : float
            Requests per second that it gets from all instances, as far as
            this one knows.
        now : float
        unix_ms : int

        Returns
        -------
        Finding or None
            None if the same was found a moment ago.
        """
        entry = self._board.find(OVERLOADS.name, endpoint.boot, now)
        rate = arrival_rate
        if entry is None:
            self._journal.write(
                "endpoint_overloaded",
                endpoint=endpoint.id,
                tolerated=tolerated,
                rate=round(rate, 2),
            )
        elif now - entry.at < DECREASE_INTERVAL_S:
            return None
        else:
            rate = self.rate(endpoint, now) or rate
        return self._board.add(
            OVERLOADS.name,
            endpoint.boot,
            _Overload(
                tolerated, max(INCREASE_SHARE * tolerated, DECREASE * rate)
            ),
            now=now,
            unix_ms=unix_ms,
        )

    def _decode(self, value):
        try:
            return msgspec.convert(value, _Overload)
        except msgspec.ValidationError as err:
            # Another version of the program may tell more.
            self._journal.write(
                "finding_bad", topic=OVERLOADS.name, why=str(err)
            )
            return None


@kernel.plugin("overload_records", needs=("board", "journal"))
async def overload_records(core):
    """Provide the records of overloaded endpoints."""
    yield OverloadRecords(
        board=core.part("board"), journal=core.part("journal")
    )
