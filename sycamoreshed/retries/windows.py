"""Counts of events in a sliding window of time."""

import collections
import math

__all__ = ["SlidingMaximum", "SlidingWindow"]


class SlidingWindow:
    """Counts events in a sliding time window that is divided into slots.

    Parameters
    ----------
    span_s : float

    Examples
    --------
    >>> window = SlidingWindow(span_s=10)
    >>> window.add(0.0)
    >>> window.count(9.0), window.count(12.0)
    (1, 0)
    """

    SLOTS = 50

    def __init__(self, *, span_s):
        self._slot_s = span_s / self.SLOTS
        self._counts = collections.deque()
        self._total = 0

    def add(self, now, count=1):
        """Count events at `now`, which is not before earlier ones."""
        slot = math.floor(now / self._slot_s)
        if self._counts and self._counts[-1][0] >= slot:
            self._counts[-1][1] += count
        else:
            self._counts.append([slot, count])
        self._total += count

    def take_back(self, count=1):
        """Discount events that were counted last.

        Those that have left the window are not counted anyway.
        """
        while count and self._counts:
            taken = min(count, self._counts[-1][1])
            self._counts[-1][1] -= taken
            self._total -= taken
            count -= taken
            if not self._counts[-1][1]:
                self._counts.pop()

    def count(self, now):
        """Return the events of the last `span_s` seconds, or a slot more."""
        oldest = math.floor(now / self._slot_s) - self.SLOTS
        while self._counts and self._counts[0][0] < oldest:
            self._total -= self._counts.popleft()[1]
        return self._total

    def events(self, now):
        """Return the time of the end of each slot, and its events."""
        self.count(now)
        return [
            ((slot + 1) * self._slot_s, count) for slot, count in self._counts
        ]


class SlidingMaximum:
    """The highest value of something within a sliding window.

    Parameters
    ----------
    span_s : float

    Examples
    --------
    >>> highest = SlidingMaximum(span_s=10)
    >>> highest.set(9, 0.0)
    >>> highest.set(3, 50.0)
    >>> highest.get(59.0), highest.get(61.0)
    (9, 3)
    """

    def __init__(self, *, span_s):
        self._span_s = span_s
        # Values with the times from which they held.
        self._values = collections.deque()

    def set(self, value, now):
        """Record the value from `now` on."""
        if not self._values or self._values[-1][1] != value:
            self._values.append((now, value))

    def get(self, now):
        """Return the highest value of the last `span_s` seconds.

        Raises
        ------
        ValueError
            If none was recorded.
        """
        while (
            len(self._values) > 1 and self._values[1][0] <= now - self._span_s
        ):
            self._values.popleft()
        return max(value for _, value in self._values)
