"""Finds out what began a stream that a caller takes up."""

import asyncio
import collections
import typing

import msgspec

from sycamoreshed.errors import kinds
from sycamoreshed.resumption import holders
from sycamoreshed.resumption import origins

__all__ = ["MAJORITY", "PATH", "Answer", "Finder", "Found", "Question"]

PATH = "/control/origin"
# Instances that are asked; more than hold an origin, as the list of instances
# may have changed since the stream began.
MAX_ASKED = 6
# Several round trips between regions, and a small part of the time for which
# callers wait for the next event.
TIMEOUT_S = 0.3
# Source of an origin that follows from what a majority of holders lacks.
MAJORITY = "majority"


class Question(typing.NamedTuple):
    """What an instance asks others.

    Parameters
    ----------
    stream : str
        Id of the request that brought its first event.
    service : str or None
        The only service that can have begun it, if there is one.
    """

    stream: str
    service: str | None


class Answer(typing.NamedTuple):
    """What an instance knows of a stream.

    Parameters
    ----------
    origin : Origin or None
    versions : list of str
        Without an origin, the software versions of the service that can have
        begun the stream as far as this instance knows.
    """

    origin: origins.Origin | None
    versions: list[str] = ()


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
    history : VersionHistory
    send : callable
        As for `Replicator`.
    journal : Journal
    clock : callable
    """

    def __init__(self, *, own, table, holders, history, send, journal, clock):
        self._own = own
        self._table = table
        self._holders = holders
        self._history = history
        self._send = send
        self._journal = journal
        self._clock = clock

    def answer(self, question):
        """Return the `Answer` to another instance, or to this one."""
        now = self._clock()
        origin = self._table.find(question.stream, now)
        if origin is not None or question.service is None:
            return Answer(origin)
        return Answer(None, self._history.possible(question.service, now))

    async def find(self, question):
        """Return what began a stream.

        If nobody knows, it follows where a majority of the stream's holders
        names the same version as the only possible one: what another version
        began would be known to one of them.

        Parameters
        ----------
        question : Question

        Returns
        -------
        Found or Failure
            A failure of kind ``refused`` if no majority answered; else of
            kind ``no-endpoint``.
        """
        own = self.answer(question)
        if own.origin is not None:
            return Found(own.origin, self._own)
        votes = _Votes(self._holders.group(question.stream))
        votes.add(self._own, own.versions)
        asked = self._holders.of(question.stream)[:MAX_ASKED]
        tasks = [
            asyncio.create_task(self._ask(name, control, question))
            for name, control in asked
        ]
        try:
            for finished in asyncio.as_completed(tasks):
                name, answer = await finished
                if isinstance(answer, kinds.Failure):
                    continue
                if answer.origin is not None:
                    return Found(answer.origin, name)
                votes.add(name, answer.versions)
                if votes.version is not None:
                    break
        finally:
            for task in tasks:
                task.cancel()
        if votes.version is not None:
            origin = origins.Origin(question.service, votes.version)
            return Found(origin, MAJORITY)
        if not votes.has_majority:
            return kinds.Failure(
                kinds.Kind.REFUSED, "no majority of its holders answered"
            )
        return kinds.Failure(
            kinds.Kind.NO_ENDPOINT, "several versions may have begun it"
        )

    async def _ask(self, name, control, question):
        """Return the name, and an `Answer` or `Failure`."""
        reply = await self._send(control, PATH, question, TIMEOUT_S)
        if not isinstance(reply, kinds.Failure):
            try:
                return name, msgspec.convert(reply.body, Answer)
            except msgspec.ValidationError as err:
                reply = kinds.Failure(kinds.Kind.REFUSED, str(err))
        self._journal.write("origin_lost", peer=name, why=reply.reason)
        return name, reply


class _Votes:
    """Answers of the holders of a stream that do not know it."""

    def __init__(self, group):
        self._group = {name for name, _ in group}
        self._needed = holders.majority(group)
        self._votes = {}

    def add(self, name, versions):
        if name in self._group:
            self._votes[name] = versions

    @property
    def has_majority(self):
        return len(self._votes) >= self._needed

    @property
    def version(self):
        """The only version that is possible for a majority, or None."""
        single = collections.Counter(
            versions[0]
            for versions in self._votes.values()
            if len(versions) == 1
        )
        for version, count in single.most_common(1):
            if count >= self._needed:
                return version
        return None
