"""Tells which parts of prompts endpoints still answer, before it is too late.

Each instance knows of some answers, and all would tell of a part that most
requests have.  So each waits for a random time, and says nothing if another
one has told meanwhile.  With the distribution of the delays the number of
messages hardly depends on the number of instances (Nonnenmacher and Biersack,
Scalable Feedback for Large Groups, 1999).
"""

import asyncio
import math
import random

from sycamoreshed.findings import crashes
from sycamoreshed.kernel import kernel

__all__ = ["Clearing", "feedback_delay_s"]

# Less than `partblame.DEFENCE_S`, by the time in which a finding reaches all.
MAX_DELAY_S = 0.6


def feedback_delay_s(instances, rng):
    """Return a random delay, close to `MAX_DELAY_S` for most instances.

    Parameters
    ----------
    instances : int
    rng : random.Random

    Examples
    --------
    >>> 0.0 <= feedback_delay_s(410, random.Random(1)) <= MAX_DELAY_S
    True
    """
    drawn = 1.0 - rng.random()
    share = 1.0 + math.log(drawn) / math.log(max(2, instances))
    return MAX_DELAY_S * max(0.0, share)


class Clearing:
    """Tells other instances of parts that are suspected and answered.

    Parameters
    ----------
    records : CrashRecords
    own : str
        Name of this instance.
    publish : callable
        Tells other instances findings.
    instance_count : callable
    clock, unix_ms : callable
        Return the monotonic time in seconds, and the Unix time in ms.
    rng : random.Random, optional
    """

    def __init__(
        self,
        *,
        records,
        own,
        publish,
        instance_count,
        clock,
        unix_ms,
        rng=None,
    ):
        self._records = records
        self._own = own
        self._publish = publish
        self._instance_count = instance_count
        self._clock = clock
        self._unix_ms = unix_ms
        self._rng = rng or random.Random()
        self._changed = asyncio.Event()

    def delay_s(self, text):
        """Return a random delay, each time the same for a text."""
        rng = random.Random(f"{self._own} {text}")
        return feedback_delay_s(self._instance_count(), rng)

    def wake(self):
        """Check the parts that are at risk."""
        self._changed.set()

    async def run(self):
        """Clear parts until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            self._clear()
            while self._records.suspected_parts(self._clock()):
                await asyncio.sleep(
                    feedback_delay_s(self._instance_count(), self._rng)
                )
                self._clear(self._records.suspected_parts(self._clock()))

    def _clear(self, suspected=frozenset()):
        """Clear suspected parts, and rejected ones that are answered."""
        now = self._clock()
        self._publish(
            *self._records.clear_parts(
                suspected | self._records.rejected_parts(now),
                now=now,
                unix_ms=self._unix_ms(),
            )
        )


@kernel.plugin(
    "clearing", needs=("board", "crash_records", "findings", "peers")
)
async def clearing(core):
    """Clear parts of prompts while the daemon runs."""
    made = Clearing(
        records=core.part("crash_records"),
        own=core.settings.instance,
        publish=core.part("findings").publish,
        instance_count=core.part("peers").count,
        clock=core.clock,
        unix_ms=core.unix_ms,
    )
    core.part("board").listen(crashes.CRASHES.name, made.wake)
    core.keep_running(made.run, name="clear parts of prompts")
    yield made
