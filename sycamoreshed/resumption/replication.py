"""Copies of the origins of streams at other instances.

A caller takes a stream up at any instance, and the one that began it may be
gone.  Each instance therefore sends the origins of its streams to a few
others, which the id of the stream selects.  A service whose endpoints have
one software version needs no copies; when a second one arrives, those of the
streams so far are sent.
"""

import asyncio
import collections

from sycamoreshed.errors import kinds
from sycamoreshed.resumption import origins

__all__ = ["PATH", "Replicator"]

PATH = "/control/origins"
# Instances besides the own one that get each origin.
COPIES = 3
TIMEOUT_S = 1.0
# Until origins that an instance did not take are sent to the next ones.
RETRY_S = 0.5


class Replicator:
    """Records the origins of streams, here and at other instances.

    Parameters
    ----------
    table : OriginTable
        Of the streams that any instance began.
    catalog : Catalog
    holders : Holders
    peers : PeerDirectory
    send : callable
        Coroutine function of a control address, a path, a body and a timeout
        in seconds; returns a `Reply` or a `Failure`.
    tasks : BackgroundTasks
    journal : Journal
    clock : callable
    """

    def __init__(
        self, *, table, catalog, holders, peers, send, tasks, journal, clock
    ):
        self._table = table
        self._catalog = catalog
        self._holders = holders
        self._peers = peers
        self._send = send
        self._tasks = tasks
        self._journal = journal
        self._clock = clock
        # Streams of this instance that too few others know of.
        self._uncopied = origins.OriginTable()
        self._outboxes = collections.defaultdict(list)
        self._sending = set()

    def record(self, stream, origin, *, is_ambiguous):
        """Record what began a stream.

        Parameters
        ----------
        stream : str
        origin : Origin
        is_ambiguous : bool
            Whether it does not follow from the service's route.
        """
        now = self._clock()
        self._table.add(stream, origin, now)
        if is_ambiguous or self._has_versions(origin.service, now):
            self._copy(origins.Entry(stream, origin), now)
        else:
            self._uncopied.add(stream, origin, now)

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
        entries = self._uncopied.entries(now)
        services = {
            service
            for service in {each.origin.service for each in entries}
            if self._has_versions(service, now)
        }
        for each in entries:
            if self._table.find(each.stream, now) is None:
                self._uncopied.remove(each.stream)
            elif each.origin.service in services:
                self._uncopied.remove(each.stream)
                self._copy(each, now)

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
        return len(self._catalog.software_versions(service, now)) > 1

    def _copy(self, entry, now):
        controls = [
            control
            for _, control in self._holders.of(entry.stream)
            if not self._peers.is_avoided(control, now)
        ]
        if not controls:
            self._uncopied.add(entry.stream, entry.origin, now)
        for control in controls[:COPIES]:
            self._outboxes[control].append(entry)
            if control not in self._sending:
                self._sending.add(control)
                self._tasks.spawn(
                    self._send_to(control), name="send origins of streams"
                )

    async def _send_to(self, control):
        """Send all that waits for an instance; more gathers meanwhile."""
        try:
            while entries := self._outboxes.pop(control, None):
                reply = await self._send(control, PATH, entries, TIMEOUT_S)
                if isinstance(reply, kinds.Failure):
                    entries += self._outboxes.pop(control, [])
                    self._on_lost(control, entries, reply)
                    return
        finally:
            self._sending.discard(control)

    def _on_lost(self, control, entries, failure):
        """Avoid an instance that did not answer, and send to others."""
        now = self._clock()
        self._peers.record_failure(control, now, failure.reason)
        for each in entries:
            self._uncopied.add(each.stream, each.origin, now)
        self._journal.write(
            "origins_lost",
            peer=control,
            count=len(entries),
            why=failure.reason,
        )
