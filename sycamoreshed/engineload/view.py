"""The one view of an engine's load, which every sender asks.

It adds what this instance has at an engine to what others have told.  What
has not been told again for a while no longer counts: the instance that told it
may have ended with requests in flight, or be cut off.
"""

import typing

from sycamoreshed.engineload import ledger as ledgers
from sycamoreshed.engineload import work
from sycamoreshed.kernel import kernel

__all__ = ["LoadView", "Report", "TTL_S"]

# Reports are repeated several times within this time while they hold.
TTL_S = 2.5


class Report(typing.NamedTuple):
    """What a source has at engines, as it told.

    Parameters
    ----------
    loads : dict of str to Load
        By `Endpoint.boot`.
    at : float
        Monotonic time at which it held.
    """

    loads: dict
    at: float


class LoadView:
    """What all instances have at each engine, as far as this one knows.

    Parameters
    ----------
    ledger : Ledger

    Examples
    --------
    >>> from sycamoreshed.catalog import types
    >>> engine = types.Endpoint("e1", "llm", "e1:80", "north-a", 64)
    >>> view = LoadView(ledger=ledgers.Ledger())
    >>> view.record_report("edge-2", {engine.boot: work.Load(3, 0, 900)}, 5.0)
    >>> view.load(engine, 6.0).requests, view.load(engine, 8.0).requests
    (3, 0)
    """

    def __init__(self, *, ledger):
        self.ledger = ledger
        self._reports = {}
        # The sum of all reports; None after one of them has changed.
        self._sum = None

    def load(self, endpoint, now):
        """Return the `Load` of an engine by all instances."""
        return self.ledger.load(endpoint.boot).plus(
            self.others(endpoint.boot, now)
        )

    def others(self, boot, now):
        """Return the `Load` of an engine by the sources that told theirs."""
        return self.all_others(now).get(boot, work.NO_LOAD)

    def all_others(self, now, *, without=()):
        """Return the `Load` of each engine by the sources that told theirs.

        Parameters
        ----------
        now : float
        without : collection of str
            Sources that do not count.

        Returns
        -------
        dict of str to Load
            By `Endpoint.boot`; not to be changed.
        """
        current = self._current(now)
        if without:
            return _sum_loads(
                report.loads
                for source, report in current
                if source not in without
            )
        if self._sum is None:
            self._sum = _sum_loads(report.loads for _, report in current)
        return self._sum

    def record_report(self, source, loads, at):
        """Replace what a source has told.

        Parameters
        ----------
        source : str
        loads : dict of str to Load
        at : float
            Monotonic time at which it held; an older report than the one
            that is known is ignored.
        """
        known = self._reports.get(source)
        if known is None or at >= known.at:
            self._reports[source] = Report(loads, at)
            self._sum = None

    def forget(self, source):
        """Forget what a source has told."""
        if self._reports.pop(source, None) is not None:
            self._sum = None

    def age_s(self, now):
        """Return the seconds since the newest report, or infinity."""
        newest = max(
            (report.at for _, report in self._current(now)),
            default=float("-inf"),
        )
        return now - newest

    def _current(self, now):
        expired = [
            source
            for source, report in self._reports.items()
            if now - report.at >= TTL_S
        ]
        for source in expired:
            self.forget(source)
        return self._reports.items()


def _sum_loads(reports):
    result = {}
    for loads in reports:
        for boot, load in loads.items():
            known = result.get(boot)
            result[boot] = load if known is None else known.plus(load)
    return result


@kernel.plugin("engine_load")
async def engine_load(_core):
    """Provide the `LoadView`."""
    yield LoadView(ledger=ledgers.Ledger())
