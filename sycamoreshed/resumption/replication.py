"""Copies of the origins of streams at other instances.

A caller takes a stream up at any instance, and the one that began it may be
gone.  Each instance therefore sends the origins of its streams to a few
others, which the id of the stream selects.  A service whose endpoints have
one software version needs no copies; when a second one arrives, those of the
streams so far are sent.

A stream of a later version begins only when a majority of its holders knows
it.  So one that a majority does not know began at the oldest version, which
holds also for streams whose instance was lost before it could send copies.
"""

import asyncio
import collections

from sycamoreshed.errors import kinds
from sycamoreshed.kernel import timeouts
from sycamoreshed.resumption import holders
from sycamoreshed.resumption import origins

__all__ = ["PATH", "Replicator"]

PATH = "/control/origins"
# Instances besides the own one that get each origin.
COPIES = 3
TIMEOUT_S = 1.0
# Until origins that an instance did not take are sent to the next ones.
RETRY_S = 0.5
# For a majority of holders to take an origin; the caller waits for its first
# event meanwhile.
MAJORITY_S = 0.3


class _Batch:
    """Entries that are sent to an instance together."""

    def __init__(self):
        self.entries = []
        # Whether the instance took them.
        self.is_taken = asyncio.get_running_loop().create_future()

    def end(self, is_taken):
        if not self.is_taken.done():
            self.is_taken.set_result(is_taken)


class Replicator:
    """Records the origins of streams, here and at other instances.

    Parameters
    ----------
    own : str
        Name of this instance.
    table : OriginTable
        Of the streams that any instance began.
    catalog : Catalog
    history : VersionHistory
    holders : Holders
    peers : PeerDirectory
    stored : StoredOrigins
    send : callable
        Coroutine function of a control address, a path, a body and a timeout
        in seconds; returns a `Reply` or a `Failure`.
    tasks : BackgroundTasks
    journal : Journal
    clock : callable
    """

    def __init__(
        self,
        *,
        own,
        table,
        catalog,
        history,
        holders,
        peers,
        stored,
        send,
        tasks,
        journal,
        clock,
    ):
        self._own = own
        self._table = table
        self._catalog = catalog
        self._history = history
        self._holders = holders
        self._peers = peers
        self._stored = stored
        self._send = send
        self._tasks = tasks
        self._journal = journal
        self._clock = clock
        # Streams of this instance that too few others know of.
        self._uncopied = origins.OriginTable()
        # Streams of this instance that the store need not know of so far.
        self._unstored = origins.OriginTable()
        self._outboxes = collections.defaultdict(_Batch)
        self._sending = set()

    async def record(self, stream, origin, *, is_ambiguous, is_new):
        """Record what began a stream; return whether the stream may begin.

        Parameters
        ----------
        stream : str
        origin : Origin
        is_ambiguous : bool
            Whether it does not follow from the service's route.
        is_new : bool
            Whether no event of the stream has been passed on.
        """
        now = self._clock()
        self._table.add(stream, origin, now)
        versions = self._history.of_service(origin.service, now)
        if not is_ambiguous and len(versions) < 2:
            self._uncopied.add(stream, origin, now)
            self._unstored.add(stream, origin, now)
            return True
        entry = origins.Entry(stream, origin)
        self._stored.add(entry)
        batches = self._copy(entry, now)
        if not is_new or self._may_begin_unheld(origin, versions, now):
            return True
        return await self._is_held(stream, batches)

    def can_record(self, stream, now):
        """Return whether a majority of a stream's holders can be reached."""
        group = self._holders.group(stream)
        reached = sum(
            name == self._own or not self._peers.is_avoided(control, now)
            for name, control in group
        )
        return reached >= holders.majority(group)

    def _may_begin_unheld(self, origin, versions, now):
        """Return whether nobody concludes another version than the origin's.

        A stream that no holder knows is taken for one of the oldest version,
        and is not taken up where that has no endpoints.
        """
        if not versions or origin.software_version == versions[0]:
            return True
        return not any(
            each.software_version == versions[0]
            for each in self._catalog.endpoints(origin.service, now)
        )

    async def _is_held(self, stream, batches):
        """Return whether a majority of a stream's holders takes it in time."""
        group = self._holders.group(stream)
        needed = holders.majority(group)
        needed -= any(name == self._own for name, _ in group)
        taking = {
            control: batches[control].is_taken
            for name, control in group
            if name != self._own and control in batches
        }
        if needed <= 0:
            return True
        try:
            async with timeouts.time_limit(MAJORITY_S):
                for each in asyncio.as_completed(taking.values()):
                    needed -= await each
                    if needed <= 0:
                        return True
        except TimeoutError:
            now = self._clock()
            for control, is_taken in taking.items():
                if not is_taken.done():
                    self._peers.record_failure(control, now, "silent holder")
        self._journal.write("origin_unheld", stream=stream, missing=needed)
        return False

    def receive(self, entries):
        """Accept the origins of streams of another instance."""
        now = self._clock()
        for each in entries:
            self._table.add(each.stream, each.origin, now)

    async def run(self):
        """Send origins when a second version arrives, or once more."""
        while True:
            await self._catalog.changed.wait(RETRY_S)
            self.copy_older()

    def copy_older(self):
        """Send the origins of streams of services that have versions now."""
        now = self._clock()
        for each in self._take_needed(self._unstored, now):
            self._stored.add(each)
        for each in self._take_needed(self._uncopied, now):
            self._copy(each, now)

    def _take_needed(self, table, now):
        """Remove and return what others have to know by now."""
        entries = table.entries(now)
        services = {
            service
            for service in {each.origin.service for each in entries}
            if self._has_versions(service, now)
        }
        needed = []
        for each in entries:
            if self._table.find(each.stream, now) is None:
                table.remove(each.stream)
            elif each.origin.service in services:
                table.remove(each.stream)
                needed.append(each)
        return needed

    async def hand_over(self):
        """Send all copies to those that hold them without this instance."""
        now = self._clock()
        for each in self._table.entries(now):
            is_copied = self._uncopied.find(each.stream, now) is None
            if is_copied or self._has_versions(each.origin.service, now):
                self._copy(each, now)
        while self._sending:
            await asyncio.sleep(0.01)

    def _has_versions(self, service, now):
        return len(self._history.of_service(service, now)) > 1

    def _copy(self, entry, now):
        """Send an origin to its holders; return the `_Batch` of each."""
        controls = [
            control
            for _, control in self._holders.of(entry.stream)
            if not self._peers.is_avoided(control, now)
        ]
        if not controls:
            self._uncopied.add(entry.stream, entry.origin, now)
        batches = {}
        for control in controls[:COPIES]:
            batches[control] = self._outboxes[control]
            batches[control].entries.append(entry)
            if control not in self._sending:
                self._sending.add(control)
                self._tasks.spawn(
                    self._send_to(control), name="send origins of streams"
                )
        return batches

    async def _send_to(self, control):
        """Send all that waits for an instance; more gathers meanwhile."""
        try:
            while batch := self._outboxes.pop(control, None):
                reply = await self._send(
                    control, PATH, batch.entries, TIMEOUT_S
                )
                if isinstance(reply, kinds.Failure):
                    self._on_lost(control, batch, reply)
                    return
                batch.end(is_taken=True)
        finally:
            self._sending.discard(control)

    def _on_lost(self, control, batch, failure):
        """Avoid an instance that did not answer, and send to others."""
        now = self._clock()
        self._peers.record_failure(control, now, failure.reason)
        lost = list(batch.entries)
        batch.end(is_taken=False)
        waiting = self._outboxes.pop(control, None)
        if waiting is not None:
            lost += waiting.entries
            waiting.end(is_taken=False)
        for each in lost:
            self._uncopied.add(each.stream, each.origin, now)
        self._journal.write(
            "origins_lost", peer=control, count=len(lost), why=failure.reason
        )
