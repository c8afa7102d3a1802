"""What the table service may have lost of the idempotency records.

A service that comes back from an older copy lacks the records of the last
seconds.  Instances write again what they wrote themselves; until they have,
no key without a record can be claimed.  A record whose instance is gone as
well stays lost, so that an older key that has none is never claimed either.
"""

import asyncio
import contextlib
import random
import time
import typing

from loguru import logger
import msgspec

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import keys
from sycamoreshed.kernel import kernel

__all__ = ["Losses"]

ROW_KEY = "store-era"
# Time for all instances to hear of the new era and to write records again.
REWRITE_S = 5.0
# For how long a key that does not tell when it was made is not claimed.
UNDATED_S = 60.0
RETRY_S = (0.1, 0.5)
LOAD_TIMEOUT_S = 2.0


class _EraRow(typing.TypedDict):
    """Value of the row; ``at`` is the Unix time when the era was noticed."""

    era: int
    at: float


class Losses:
    """Which keys may have had a record that is lost.

    Parameters
    ----------
    table : Table
    clock, unix_time : callable
        Return monotonic seconds, and the Unix time in seconds.
    spawn : callable
        Runs a coroutine in the background.
    """

    def __init__(self, *, table, clock, unix_time, spawn):
        self._table = table
        self._clock = clock
        self._unix_time = unix_time
        self._spawn = spawn
        self._loaded = asyncio.Event()
        self._rewritten_at = float("-inf")
        # Records made before this Unix time may be lost.
        self._lost_before = 0.0
        self._noticed_era = None
        table.on_restored(self._on_restored)

    def remaining_s(self, now):
        """Return the seconds until records have been written again."""
        if not self._loaded.is_set():
            return RETRY_S[1]
        return max(0.0, self._rewritten_at - now)

    async def is_restored(self):
        """Return whether what the table may have lost is written again."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LOAD_TIMEOUT_S):
                await self._loaded.wait()
        return not self.remaining_s(self._clock())

    def check(self, key, repeat, now, unix_time):
        """Return a failure if a key without a record may have had one.

        Parameters
        ----------
        key : str
            The caller's key.
        repeat : bool or None
            Whether the caller says that it sent an earlier request.
        now : float
            Monotonic seconds.
        unix_time : float

        Returns
        -------
        Failure or None
        """
        remaining_s = self.remaining_s(now)
        if remaining_s:
            return kinds.Failure(
                kinds.Kind.STORE_AWAY,
                "records are being written again",
                retry_after=remaining_s,
                earlier_may_have_run=True,
            )
        if repeat is False or not self._may_be_lost(key, unix_time):
            return None
        return kinds.Failure(
            kinds.Kind.OUTCOME_UNKNOWN,
            "the store may have lost the record of an earlier request",
            # Of the earlier request.
            sent=True,
        )

    def _may_be_lost(self, key, unix_time):
        made_at = keys.issued_at(key)
        if made_at is not None:
            return made_at < self._lost_before
        return unix_time < self._lost_before + UNDATED_S

    def hear(self, era):
        """Take note of an era that another instance has heard of.

        An instance that asks the table for nothing would have its records
        written again too late.
        """
        if isinstance(era, int) and era > self._table.era:
            self._spawn(self._table.read(ROW_KEY), name="hear of an era")

    async def load(self):
        """Find out when the present era began, and tell other instances.

        An instance that started later knows it only from the row.
        """
        while not await self._load_once():
            await asyncio.sleep(random.uniform(*RETRY_S))
        self._loaded.set()

    async def _load_once(self):
        row = await self._table.read(ROW_KEY)
        if isinstance(row, kinds.Failure):
            return False
        era = self._table.era
        if not era:
            return True
        stored = _decode(row)
        has_noticed = self._noticed_era == era
        if stored is not None and stored["era"] == era:
            self._extend(stored["at"])
            # An instance that started first in this era wrote 0.
            if stored["at"] or not has_noticed:
                return True
        elif stored is not None and not has_noticed:
            # The era changed while no instance ran.
            self._notice()
        value = _EraRow(era=era, at=self._lost_before)
        result = await self._table.write(
            tables.Write(ROW_KEY, value, row.version)
        )
        return isinstance(result, tables.Written)

    def _on_restored(self):
        self._notice()
        self._loaded.set()
        self._spawn(self.load(), name="share the era")

    def _notice(self):
        self._noticed_era = self._table.era
        self._rewritten_at = self._clock() + REWRITE_S
        self._extend(self._unix_time())
        logger.bind(era=self._table.era).warning("records may be lost")

    def _extend(self, unix_time):
        self._lost_before = max(self._lost_before, unix_time)


def _decode(row):
    """Return the stored era, or None without a row."""
    if row.value is None:
        return None
    try:
        return msgspec.convert(row.value, _EraRow)
    except msgspec.ValidationError as err:
        logger.bind(key=row.key).warning("not the row of an era: {}", err)
        return _EraRow(era=0, at=0.0)


@kernel.plugin("losses", needs=("gossip", "table"))
async def losses(core):
    """Provide what may be lost of the records."""
    part = Losses(
        table=core.part("table"),
        clock=core.clock,
        unix_time=time.time,
        spawn=core.spawn,
    )
    core.spawn(part.load(), name="load the era")
    table = core.part("table")
    core.part("gossip").add_field(
        "table_era",
        write=lambda _name, _now: table.era or None,
        read=lambda era, _name, _now: part.hear(era),
    )
    yield part
