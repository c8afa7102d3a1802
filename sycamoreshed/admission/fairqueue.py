"""Orders in which waiting requests are taken.

`WeightedFair` is start-time fair queueing between teams; within a team
the lower priority number goes first, then the earlier deadline.  `Fifo`
is the baseline.
"""

import bisect
import collections
import heapq
import math
import operator
import typing

from sycamoreshed.kernel import registry

__all__ = ["ORDERS", "Entry", "Fifo", "WeightedFair"]

ORDERS = registry.Registry(kind="admission order")
SWEEP_EVERY = 256
_RANK = operator.attrgetter("rank")


class Entry(typing.NamedTuple):
    """A request that may have to wait.

    Parameters
    ----------
    request, team, pipeline : str
    weight : float
        Of the team.
    rank : tuple
        Priority, deadline, number; lower goes first within the team.
    give_up : float
        Monotonic seconds after which it cannot be answered in time.
    woken : asyncio.Future or None
        Takes a ticket or a failure.
    """

    request: str
    team: str
    pipeline: str
    weight: float
    rank: tuple
    give_up: float
    woken: typing.Any = None


@ORDERS.register("fifo")
class Fifo:
    """First come, first served; the newest is refused when it is full."""

    def __init__(self):
        self._entries = collections.deque()

    def __len__(self):
        return len(self._entries)

    def add(self, entry):
        """Put an entry at the end."""
        self._entries.append(entry)

    def pop(self):
        """Take the next entry."""
        return self._entries.popleft()

    def remove(self, entry):
        """Take out one that gave up."""
        self._entries.remove(entry)

    def push_out(self):
        """Take out the entry that has to go when the queue is too long."""
        return self._entries.pop()

    def ahead(self, team, weight):
        """Return how many would be taken before a new entry."""
        return len(self._entries)


class _Team:
    """The queue of one team; ``tag`` is the start tag of its head."""

    __slots__ = ("entries", "in_heap", "tag", "weight")

    def __init__(self, tag):
        self.entries = []
        self.in_heap = False
        self.tag = tag
        self.weight = 1.0


@ORDERS.register("weighted_fair")
class WeightedFair:
    """Start-time fair queueing between teams.

    Notes
    -----
    A team that stayed under its share has a start tag equal to the
    virtual time, so it is taken before the backlog of any other.  State
    is held for teams that wait or were served lately; the rest is swept,
    so known teams cost nothing.

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
        self._virtual = 0.0
        self._length = 0
        self._served = 0
        self._pushes = 0

    def __len__(self):
        return self._length

    @property
    def known(self):
        """Number of teams that state is held for."""
        return len(self._teams)

    def add(self, entry):
        """Put an entry in its team's queue."""
        team = self._team(entry.team, entry.weight)
        if not team.entries:
            team.tag = max(team.tag, self._virtual)
        bisect.insort(team.entries, entry, key=_RANK)
        self._length += 1
        self._push(entry.team, team)

    def pop(self):
        """Take the head of the team whose start tag is least."""
        while True:
            _, _, name = heapq.heappop(self._heap)
            team = self._teams[name]
            team.in_heap = False
            if team.entries:
                break
        entry = team.entries.pop(0)
        self._length -= 1
        self._serve(team)
        if team.entries:
            self._push(name, team)
        elif not self._length:
            self._forget()
        return entry

    def remove(self, entry):
        """Take out one that gave up."""
        entries = self._teams[entry.team].entries
        index = bisect.bisect_left(entries, entry.rank, key=_RANK)
        del entries[index]
        self._length -= 1

    def push_out(self):
        """Take out the last of the team that waits most for its weight.

        Notes
        -----
        Refusing the newcomer instead would let one team that filled the
        queue shut out all others.
        """
        longest = max(
            (team for team in self._teams.values() if team.entries),
            key=lambda team: len(team.entries) / team.weight,
        )
        self._length -= 1
        return longest.entries.pop()

    def ahead(self, team, weight):
        """Return how many would be taken before a new entry."""
        own = self._teams.get(team)
        waiting = len(own.entries) if own else 0
        tag = max(own.tag if own else 0.0, self._virtual)
        tag += waiting / weight
        count = waiting
        for name, other in self._teams.items():
            if name == team or not other.entries:
                continue
            turns = math.ceil((tag - other.tag) * other.weight)
            count += min(max(turns, 0), len(other.entries))
        return count

    def _serve(self, team):
        self._virtual = max(self._virtual, team.tag)
        team.tag += 1.0 / team.weight
        self._served += 1
        if self._served % SWEEP_EVERY == 0:
            self._sweep()

    def _team(self, name, weight):
        team = self._teams.get(name)
        if team is None:
            team = self._teams[name] = _Team(self._virtual)
        team.weight = weight
        return team

    def _push(self, name, team):
        if not team.in_heap:
            team.in_heap = True
            # Equal tags go by order of arrival, or names early in the
            # alphabet would go first for ever.
            self._pushes += 1
            heapq.heappush(self._heap, (team.tag, self._pushes, name))

    def _forget(self):
        """Begin anew: nobody waits, so nobody was kept from anything."""
        self._teams.clear()
        self._heap.clear()
        self._virtual = 0.0

    def _sweep(self):
        idle = [
            name
            for name, team in self._teams.items()
            if not team.entries
            and not team.in_heap
            and team.tag <= self._virtual
        ]
        for name in idle:
            del self._teams[name]
