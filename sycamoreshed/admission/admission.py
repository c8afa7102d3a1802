"""Admission: which request may run here, and in what order."""

import asyncio
import collections
import typing

from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel

__all__ = ["Admission", "Ticket"]


class Ticket(typing.NamedTuple):
    """Leave to run; given back by `Admission.leave`."""

    request: str
    team: str


class Admission:
    """Bounded queue before a bounded number of slots.

    Parameters
    ----------
    slots : int
    queue : int
    clock : callable
    """

    def __init__(self, *, slots, queue, clock):
        self._free = slots
        self._most = queue
        self._clock = clock
        self._waiting = collections.deque()
        self._running = {}

    @property
    def in_flight(self):
        """Requests running or waiting."""
        return len(self._running) + len(self._waiting)

    async def enter(self, request, now):
        """Wait for a slot.

        Parameters
        ----------
        request : Request
        now : float
            Monotonic seconds.

        Returns
        -------
        Ticket or Failure
        """
        if request.deadline <= now:
            return kinds.Failure(kinds.Kind.HOPELESS, "no time left")
        ticket = Ticket(request.id, request.team)
        if self._free:
            self._free -= 1
            self._running[ticket.request] = ticket
            return ticket
        if len(self._waiting) >= self._most:
            return kinds.Failure(kinds.Kind.SHED, "queue full")
        return await self._wait(ticket, request.deadline - now)

    def leave(self, ticket, now):
        """Give a slot back."""
        del self._running[ticket.request]
        while self._waiting:
            next_ticket, woken = self._waiting.popleft()
            if not woken.done():
                self._running[next_ticket.request] = next_ticket
                woken.set_result(next_ticket)
                return
        self._free += 1

    async def _wait(self, ticket, seconds):
        woken = asyncio.get_running_loop().create_future()
        item = (ticket, woken)
        self._waiting.append(item)
        try:
            async with asyncio.timeout(seconds):
                return await asyncio.shield(woken)
        except TimeoutError:
            return self._give_up(item)
        except asyncio.CancelledError:
            if not isinstance(self._give_up(item), kinds.Failure):
                self.leave(ticket, self._clock())
            raise

    def _give_up(self, item):
        ticket, woken = item
        if woken.done():
            return ticket
        woken.cancel()
        self._waiting.remove(item)
        return kinds.Failure(kinds.Kind.SHED, "deadline passed in queue")


@kernel.plugin("admission")
async def admission(core):
    """Provide admission."""
    yield Admission(
        slots=core.settings.slots,
        queue=core.settings.queue,
        clock=core.clock,
    )
