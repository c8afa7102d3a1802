"""Queueing disciplines for requests that wait for a slot.

`WeightedFair` applies start-time fair queueing between teams; within a
team the lower priority number goes first, then the earlier deadline.
`Fifo` is the baseline.
"""

import bisect
import collections
import heapq
import math
import operator
import typing

from sycamoreshed.kernel import registry

__all__ = ["DISCIPLINES", "Entry", "Fifo", "WeightedFair"]

DISCIPLINES = registry.Registry(kind="admission order")
SWEEP_INTERVAL = 256
_get_rank = operator.attrgetter("rank")


class Entry(typing.NamedTuple):
    """A request that may have to wait.

    Parameters
    ----------
    request, team, pipeline : str
    weight : float
        Weight of the team.
    rank : tuple
        Priority, deadline and sequence number; the lowest of a team goes
        first.
    start_deadline : float
        Monotonic time from which on the request is too late to start.
    decision : asyncio.Future or None
        Result of the wait: None if a slot was assigned, else a failure.
    """

    request: str
    team: str
    pipeline: str
    weight: float
    rank: tuple
    start_deadline: float
    decision: typing.Any = None


@DISCIPLINES.register("fifo")
class Fifo:
    """First come, first served; an overflow evicts the newest entry."""

    def __init__(self):
        self._entries = collections.deque()

    def __len__(self):
        return len(self._entries)

    def add(self, entry):
        """Append an entry."""
        self._entries.append(entry)

    def pop(self):
        """Remove and return the oldest entry."""
        return self._entries.popleft()

    def remove(self, entry):
        """Remove an entry that no longer waits."""
        self._entries.remove(entry)

    def evict(self):
        """Remove and return the entry to reject from a full queue."""
        return self._entries.pop()

    def count_ahead(self, team, weight):
        """Return how many entries would be served before a new one."""
        return len(self._entries)


class _Team:
    """The queue of one team; ``tag`` is the start tag of its first entry."""

    __slots__ = ("entries", "in_heap", "tag", "weight")

    def __init__(self, tag):
        self.entries = []
        self.in_heap = False
        self.tag = tag
        self.weight = 1.0


@DISCIPLINES.register("weighted_fair")
class WeightedFair:
    """Start-time fair queueing between teams.

    Notes
    -----
    A team that used less than its share has a start tag equal to the
    virtual time, so it is served before the backlog of any other team.
    Only teams that wait or were served recently have state.  That of idle
    teams is removed regularly, so that they cost no memory.

    Examples
    --------
    >>> queue = WeightedFair()
    >>> for number in range(3):
    ...     queue.add(Entry(f"a{number}", "a", "p", 1.0, (1, number), 9.0))
    >>> queue.add(Entry("b0", "b", "p", 1.0, (1, 3), 9.0))
    >>> [queue.pop().request for _ in range(4)]
    ['a0', 'b0', 'a1', 'a2']
    """

    def __init__(self):
        self._teams = {}
        self._heap = []
        self._virtual_time = 0.0
        self._length = 0
        self._serve_count = 0
        self._push_count = 0

    def __len__(self):
        return self._length

    @property
    def team_count(self):
        """Number of teams that have state."""
        return len(self._teams)

    def add(self, entry):
        """Insert an entry into its team's queue."""
        team = self._get_team(entry.team, entry.weight)
        if not team.entries:
            team.tag = max(team.tag, self._virtual_time)
        bisect.insort(team.entries, entry, key=_get_rank)
        self._length += 1
        self._push_to_heap(entry.team, team)

    def pop(self):
        """Remove and return the first entry of the team with the least tag."""
        while True:
            _, _, name = heapq.heappop(self._heap)
            team = self._teams[name]
            team.in_heap = False
            if team.entries:
                break
        entry = team.entries.pop(0)
        self._length -= 1
        self._record_service(team)
        if team.entries:
            self._push_to_heap(name, team)
        elif not self._length:
            self._reset()
        return entry

    def remove(self, entry):
        """Remove an entry that no longer waits."""
        entries = self._teams[entry.team].entries
        index = bisect.bisect_left(entries, entry.rank, key=_get_rank)
        del entries[index]
        self._length -= 1

    def evict(self):
        """Remove and return the last entry of the longest team queue.

        Notes
        -----
        Lengths are relative to the weights of the teams.  If the new entry
        were rejected instead, one team that fills the queue would block
        all others.
        """
        longest = max(
            (team for team in self._teams.values() if team.entries),
            key=lambda team: len(team.entries) / team.weight,
        )
        self._length -= 1
        return longest.entries.pop()

    def count_ahead(self, team, weight):
        """Return how many entries would be served before a new one."""
        own = self._teams.get(team)
        waiting = len(own.entries) if own else 0
        tag = max(own.tag if own else 0.0, self._virtual_time)
        tag += waiting / weight
        count = waiting
        for name, other in self._teams.items():
            if name == team or not other.entries:
                continue
            turns = math.ceil((tag - other.tag) * other.weight)
            count += min(max(turns, 0), len(other.entries))
        return count

    def _record_service(self, team):
        self._virtual_time = max(self._virtual_time, team.tag)
        team.tag += 1.0 / team.weight
        self._serve_count += 1
        if self._serve_count % SWEEP_INTERVAL == 0:
            self._remove_idle_teams()

    def _get_team(self, name, weight):
        team = self._teams.get(name)
        if team is None:
            team = self._teams[name] = _Team(self._virtual_time)
        team.weight = weight
        return team

    def _push_to_heap(self, name, team):
        if not team.in_heap:
            team.in_heap = True
            # Equal tags are served in the order of insertion; comparing
            # the names instead would always prefer the same teams.
            self._push_count += 1
            heapq.heappush(self._heap, (team.tag, self._push_count, name))

    def _reset(self):
        """Drop all state: with an empty queue, past service has no effect."""
        self._teams.clear()
        self._heap.clear()
        self._virtual_time = 0.0

    def _remove_idle_teams(self):
        idle = [
            name
            for name, team in self._teams.items()
            if not team.entries
            and not team.in_heap
            and team.tag <= self._virtual_time
        ]
        for name in idle:
            del self._teams[name]
