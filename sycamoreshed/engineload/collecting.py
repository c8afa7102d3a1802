"""What an instance is told by those that report to it, and what it answers.

Nothing here sends messages; see `sycamoreshed.engineload.sharing`.
"""

import collections
import typing

from sycamoreshed.engineload import messages
from sycamoreshed.engineload import view as views
from sycamoreshed.engineload import work

__all__ = ["MAX_SYNCS_PER_S", "Collector", "pool"]

# Reports of instances of the zone that one instance takes per second.
MAX_SYNCS_PER_S = 200.0
# Reports that it takes at once after a quiet second.
BURST_SYNCS = 100.0
# An instance that has requests at engines reports more often than this.
MEMBER_TTL_S = 1.2
MAX_SOURCES = 1024


class _Source(typing.NamedTuple):
    """What an instance has told for itself, or as a total.

    Parameters
    ----------
    counts : Counts
    at : float
        When it was received.
    speeds : dict
        What it last told of speeds.
    """

    counts: messages.Counts
    at: float
    speeds: dict


def _key(sender, *, is_total):
    """Return the name of a source in the `LoadView`."""
    return f"total of {sender}" if is_total else f"member {sender}"


def pool(reports):
    """Return mean log ratios, weighted over reports, with their weights.

    Examples
    --------
    >>> pool([{"e1@7": (0.0, 1.0)}, {"e1@7": (0.4, 3.0)}])
    {'e1@7': (0.3, 4.0)}
    """
    sums = collections.defaultdict(lambda: [0.0, 0.0])
    for report in reports:
        for boot, (log_ratio, weight) in report.items():
            sums[boot][0] += log_ratio * weight
            sums[boot][1] += weight
    return {
        boot: (round(total / weight, 3), round(weight, 2))
        for boot, (total, weight) in sums.items()
        if weight > 0
    }


class Collector:
    """Collects what other instances report, for the view and for replies.

    Parameters
    ----------
    own : str
        Name of this instance.
    view : LoadView
    speeds : Speeds
    """

    def __init__(self, *, own, view, speeds):
        self._own = own
        self._view = view
        self._speeds = speeds
        self._sources = {}
        self._budget = BURST_SYNCS
        self._budget_at = 0.0

    def has_member(self, name, now):
        """Return whether an instance reports to this one."""
        self._expire(now)
        return _key(name, is_total=False) in self._sources

    def member_count(self, now):
        """Return how many instances report to this one."""
        self._expire(now)
        return sum(
            not source.counts.is_total for source in self._sources.values()
        )

    def receive(self, counts, now):
        """Accept what an instance tells.

        Returns
        -------
        bool
            Whether it counts: not if a later message came first, or if too
            many instances report.
        """
        self._expire(now)
        key = _key(counts.sender, is_total=counts.is_total)
        known = self._sources.get(key)
        if counts.sender == self._own:
            return False
        if known is None and len(self._sources) >= MAX_SOURCES:
            return False
        # A restarted instance counts anew, whatever its clock says.
        if known is not None and known.counts.boot == counts.boot:
            if counts.sequence <= known.counts.sequence:
                return False
        if counts.speeds is not None:
            self._speeds.record_report(key, counts.speeds, now)
        elif known is not None:
            counts = counts._replace(speeds=known.counts.speeds)
        # Sources are forgotten in the order in which they were heard of.
        self._sources.pop(key, None)
        self._sources[key] = _Source(counts, now, counts.speeds or {})
        self._view.record_report(key, counts.loads, now)
        return True

    def reply(self, sender, now, *, is_first_hand, told=(), has_speeds=False):
        """Return the `Reply` to an instance that reported.

        Parameters
        ----------
        sender : str
        now : float
        is_first_hand : bool
            Whether this instance collects for its zone.
        told : collection of str
            Sources of the view that are not to be passed on.
        has_speeds : bool
            Whether the reply contains speeds.
        """
        self._expire(now)
        keys = {_key(sender, is_total=each) for each in (False, True)}
        loads = self._view.all_others(now, without=keys.union(told))
        for boot, load in self._view.ledger.loads().items():
            loads[boot] = loads.get(boot, work.NO_LOAD).plus(load)
        speeds = None
        if has_speeds:
            speeds = pool(
                [self._speeds.report(now)]
                + [
                    source.speeds
                    for key, source in self._sources.items()
                    if key not in keys
                ]
            )
        return messages.Reply(
            loads=loads,
            is_first_hand=is_first_hand,
            age_s=round(self.age_s(now), 3),
            pause_s=round(self._pause_s(now), 3),
            speeds=speeds,
        )

    def total(self, now, *, with_own):
        """Return the loads of those that report, and of this instance."""
        self._expire(now)
        result = dict(self._view.ledger.loads()) if with_own else {}
        for source in self._sources.values():
            if source.counts.is_total:
                continue
            for boot, load in source.counts.loads.items():
                result[boot] = result.get(boot, work.NO_LOAD).plus(load)
        return result

    def total_speeds(self, now):
        """Return the speeds learnt by the same instances, pooled."""
        members = [
            source.speeds
            for source in self._sources.values()
            if not source.counts.is_total
        ]
        return pool([self._speeds.report(now), *members])

    def age_s(self, now):
        """Return the seconds since the newest total of another instance.

        Returns
        -------
        float
            0 if nobody tells one: no other zone has requests at engines.
        """
        self._expire(now)
        ages = [
            now - source.at
            for source in self._sources.values()
            if source.counts.is_total
        ]
        return min(ages, default=0.0)

    def _pause_s(self, now):
        """Count a report; return until when its sender has to pause.

        Without a pause until half of the burst is used up.  Then all that
        report together send `MAX_SYNCS_PER_S` at most.
        """
        elapsed_s = now - self._budget_at
        self._budget_at = now
        self._budget = (
            min(BURST_SYNCS, self._budget + elapsed_s * MAX_SYNCS_PER_S) - 1
        )
        if self._budget >= BURST_SYNCS / 2:
            return 0.0
        return self.member_count(now) / MAX_SYNCS_PER_S

    def _expire(self, now):
        for key, source in list(self._sources.items()):
            is_total = source.counts.is_total
            ttl_s = views.TTL_S if is_total else MEMBER_TTL_S
            if now - source.at >= ttl_s:
                self._forget(key)

    def _forget(self, key):
        if self._sources.pop(key, None) is not None:
            self._view.forget(key)
