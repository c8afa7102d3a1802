"""Endpoints that say that they fail if they have to reject too many requests.

A first rejection shows too late what they can take: until all instances know
of it, many more requests are on their way.  What an endpoint can run follows
from its slots and from how long requests take there, or at the others of its
service while it has just started.
"""

import typing

import msgspec

from sycamoreshed.findings import topics
from sycamoreshed.kernel import kernel

__all__ = ["CapacityRecords"]

# Seconds that requests take at an endpoint or service.  Endpoints say in each
# answer that they are fragile; without further ones it is forgotten.
RUN_TIMES = topics.register(
    topics.Topic("run_time", 10.0, 1024, value_type=float)
)
# Age at which an instance tells them again.
REFRESH_S = 2.0
# Share of what an endpoint can run that it may get, as requests take more or
# less time than usual.
CAPACITY_SHARE = 0.85
# Requests from which an instance tells how long they take, and the weight of
# each further one in their mean.
MIN_RUNS = 4
WEIGHT = 0.2
# Endpoints and services of which an instance measures this; the one that
# answered longest ago is forgotten first.
MAX_MEASURED = 1024


class _Runs(typing.NamedTuple):
    """How long requests took at an endpoint or service."""

    count: int
    mean_s: float


class CapacityRecords:
    """Rates up to which endpoints of fragile services run what they get.

    Parameters
    ----------
    board : Board
    journal : Journal

    Examples
    --------
    >>> from sycamoreshed.catalog import types
    >>> from sycamoreshed.findings import board
    >>> from testkit import journals
    >>> records = CapacityRecords(
    ...     board=board.Board(), journal=journals.Journal()
    ... )
    >>> endpoint = types.Endpoint("e", "s", "", "z", 4)
    >>> for at in range(4):
    ...     _ = records.record_run(
    ...         endpoint, 0.5, 3.0, now=float(at), unix_ms=1000 * at
    ...     )
    >>> round(records.rate(endpoint, 4.0), 1), records.rate(endpoint, 20.0)
    (6.8, None)
    >>> started = types.Endpoint("e2", "s", "", "z", 2)
    >>> round(records.rate(started, 4.0), 1)
    3.4
    """

    def __init__(self, *, board, journal):
        self._board = board
        self._journal = journal
        self._runs = {}

    def rate(self, endpoint, now):
        """Return how many requests a second an endpoint may get, or None."""
        mean_s = self._mean_s(endpoint.boot, now)
        if mean_s is None:
            mean_s = self._mean_s(_service_key(endpoint), now)
        return None if not mean_s else _rate(endpoint, mean_s)

    def record_run(self, endpoint, seconds, tolerated, *, now, unix_ms):
        """Record that a fragile endpoint ran a request; return new findings.

        Parameters
        ----------
        endpoint : Endpoint
        seconds : float
            From when it was sent to the end of the answer.
        tolerated : float
            Rejections per second that the endpoint survives.
        now : float
        unix_ms : int

        Returns
        -------
        list of Finding
            Empty if all was told a moment ago, or is not known yet.
        """
        made = []
        for key in (endpoint.boot, _service_key(endpoint)):
            runs = self._add_run(key, seconds)
            entry = self._board.find(RUN_TIMES.name, key, now)
            if runs.count < MIN_RUNS or not runs.mean_s:
                continue
            if entry is not None and now - entry.at < REFRESH_S:
                continue
            rate = _rate(endpoint, runs.mean_s)
            if tolerated >= rate:
                # It survives what is sent before instances know of it.
                continue
            if entry is None:
                self._journal.write(
                    "endpoint_capacity",
                    endpoint=endpoint.id,
                    tolerated=tolerated,
                    rate=round(rate, 2),
                )
            made.append(
                self._board.add(
                    RUN_TIMES.name, key, runs.mean_s, now=now, unix_ms=unix_ms
                )
            )
        return made

    def _mean_s(self, key, now):
        entry = self._board.find(RUN_TIMES.name, key, now)
        if entry is None:
            return None
        try:
            return msgspec.convert(entry.value, float)
        except msgspec.ValidationError as err:
            # Another version of the program may tell more.
            self._journal.write(
                "finding_bad", topic=RUN_TIMES.name, why=str(err)
            )
            return None

    def _add_run(self, key, seconds):
        # Keeps the order of the dict that of the latest answers.
        earlier = self._runs.pop(key, None)
        runs = _Runs(1, seconds)
        if earlier is not None:
            count = earlier.count + 1
            weight = max(WEIGHT, 1 / count)
            mean_s = earlier.mean_s + weight * (seconds - earlier.mean_s)
            runs = _Runs(count, mean_s)
        self._runs[key] = runs
        while len(self._runs) > MAX_MEASURED:
            del self._runs[next(iter(self._runs))]
        return runs


def _service_key(endpoint):
    return f"service/{endpoint.service}"


def _rate(endpoint, mean_s):
    return CAPACITY_SHARE * endpoint.slots / mean_s


@kernel.plugin("capacity_records", needs=("board", "journal"))
async def capacity_records(core):
    """Provide the rates of fragile endpoints."""
    yield CapacityRecords(
        board=core.part("board"), journal=core.part("journal")
    )
