"""Summaries of crashes, by which a request is known after a restart of all.

What each instance had in flight at an endpoint that crashed is told to all,
but not stored: an endpoint has requests of many instances.  One instance
writes what they amount to, once a request is suspected of several crashes.
"""

import asyncio

from sycamoreshed.findings import crashes
from sycamoreshed.kernel import kernel
from sycamoreshed.membership import rendezvous

__all__ = ["CrashSummaries"]

# Within which instances tell of the same crash, and requests beside it are
# answered elsewhere.
GATHER_S = 0.3


class CrashSummaries:
    """Summarises crashes that this instance is responsible for.

    Parameters
    ----------
    records : CrashRecords
    own : str
        Name of this instance.
    peers : PeerDirectory
    publish : callable
        Tells and stores findings.
    clock, unix_ms : callable
        Return the monotonic time in seconds, and the Unix time in ms.
    """

    def __init__(self, *, records, own, peers, publish, clock, unix_ms):
        self._records = records
        self._own = own
        self._peers = peers
        self._publish = publish
        self._clock = clock
        self._unix_ms = unix_ms
        self._changed = asyncio.Event()

    def wake(self):
        """Summarise what has changed."""
        self._changed.set()

    async def run(self):
        """Summarise crashes until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            await asyncio.sleep(GATHER_S)
            now = self._clock()
            self._publish(
                *self._records.summarise(
                    now=now,
                    unix_ms=self._unix_ms(),
                    is_responsible=self._responsibility(now),
                )
            )

    def _responsibility(self, now):
        """Return a function that tells for which endpoints this one is."""
        names = [
            name
            for zone in self._peers.zones()
            for name in self._peers.of_zone(zone, now)
        ]

        def is_responsible(endpoint):
            first = rendezvous.top(f"crash {endpoint}", names, 1)
            return first == [self._own]

        return is_responsible


@kernel.plugin(
    "crash_summaries", needs=("board", "crash_records", "findings", "peers")
)
async def crash_summaries(core):
    """Summarise crashes while the daemon runs."""
    made = CrashSummaries(
        records=core.part("crash_records"),
        own=core.settings.instance,
        peers=core.part("peers"),
        publish=core.part("findings").publish,
        clock=core.clock,
        unix_ms=core.unix_ms,
    )
    for topic in (crashes.CRASHES, crashes.SERVED):
        core.part("board").listen(topic.name, made.wake)
    core.keep_running(made.run, name="summarise crashes")
    yield made
