"""Finds out what began a stream that a caller takes up."""

import asyncio
import typing

import msgspec

from sycamoreshed.errors import kinds
from sycamoreshed.resumption import origins

__all__ = ["PATH", "Finder", "Found"]

PATH = "/control/origin"
# Instances that are asked; more than hold an origin, as the list of instances
# may have changed since the stream began.
MAX_ASKED = 6
# Several round trips between regions, and a small part of the time for which
# callers wait for the next event.
TIMEOUT_S = 0.3


class Found(typing.NamedTuple):
    """The origin of a stream, and the instance that knew it."""

    origin: origins.Origin
    source: str


class Finder:
    """Finds the origins of streams at this instance and at others.

    Parameters
    ----------
    own : str
        Name of this instance.
    table : OriginTable
    holders : Holders
    send : callable
        As for `Replicator`.
    journal : Journal
    clock : callable
    """

    def __init__(self, *, own, table, holders, send, journal, clock):
        self._own = own
        self._table = table
        self._holders = holders
        self._send = send
        self._journal = journal
        self._clock = clock

    def answer(self, stream):
        """Return the `Origin` of a stream that another instance asks for."""
        return self._table.find(stream, self._clock())

    async def find(self, stream):
        """Return what began a stream.

        Returns
        -------
        Found or Failure
            A failure of kind ``refused`` if others may know, but none
            answered; else of kind ``no-endpoint``.
        """
        origin = self._table.find(stream, self._clock())
        if origin is not None:
            return Found(origin, self._own)
        asked = self._holders.of(stream)[:MAX_ASKED]
        tasks = [
            asyncio.create_task(self._ask(name, control, stream))
            for name, control in asked
        ]
        failures = 0
        try:
            for finished in asyncio.as_completed(tasks):
                answer = await finished
                if isinstance(answer, Found):
                    return answer
                failures += isinstance(answer, kinds.Failure)
        finally:
            for task in tasks:
                task.cancel()
        if tasks and failures == len(tasks):
            return kinds.Failure(kinds.Kind.REFUSED, "no instance answered")
        return kinds.Failure(kinds.Kind.NO_ENDPOINT, "no instance knows")

    async def _ask(self, name, control, stream):
        """Return `Found`, None if the instance does not know, or `Failure`."""
        reply = await self._send(control, PATH, stream, TIMEOUT_S)
        if not isinstance(reply, kinds.Failure):
            try:
                origin = msgspec.convert(reply.body, origins.Origin | None)
            except msgspec.ValidationError as err:
                reply = kinds.Failure(kinds.Kind.REFUSED, str(err))
            else:
                return None if origin is None else Found(origin, name)
        self._journal.write("origin_lost", peer=name, why=reply.reason)
        return reply
