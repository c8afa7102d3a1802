"""Retries of this instance in the store, where they outlast its process.

Each write goes to the next of a few rows, so that one that takes effect late
replaces no newer one.  The latest row tells all requests and retries of the
window, also those that this process found there when it started.
"""

import typing

import msgspec

from sycamoreshed.adapters import decoding
from sycamoreshed.errors import kinds

__all__ = ["Events", "Record", "RetryRecords"]

# Rows of an instance, which are written in turn.
SLOTS = 4
READ_TIMEOUT_S = 2.0
WRITE_TIMEOUT_S = 0.5
# After which a row is removed if its instance is not registered.
MAX_AGE_MS = 3_600_000
# Rows removed after a start, so that it costs the store little.
MAX_REMOVALS = 20


# Times and counts of events, by service.
Events = dict[str, list[tuple[float, int]]]


class Record(typing.NamedTuple):
    """Requests and retries of an instance, by service.

    Parameters
    ----------
    requests, retries : Events
        With monotonic times in seconds.
    """

    requests: Events
    retries: Events


class _Row(typing.NamedTuple):
    """Retries of an instance, with times of the store's clock.

    Rows are ordered by `generation`, the number of the process, then by
    `sequence`, the number of the write.  ``member_since_ms`` is when the
    first process started.
    """

    generation: int
    sequence: int
    written_at_ms: int
    member_since_ms: int
    requests: dict[str, list[tuple[int, int]]]
    retries: dict[str, list[tuple[int, int]]]


class RetryRecords:
    """Reads and writes what this instance has spent.

    Parameters
    ----------
    own : str
        Name of this instance.
    store : TableStore
    store_table : str
        Name of the table in the store.
    journal : Journal
    clock, unix_ms : callable
        Return the monotonic time in seconds, and the Unix time in ms, which
        is used if the store tells no time.
    """

    def __init__(self, *, own, store, store_table, journal, clock, unix_ms):
        self._own = own
        self._store = store
        self._store_table = store_table
        self._journal = journal
        self._clock = clock
        self._unix_ms = unix_ms
        self._generation = None
        self._sequence = 0
        self._member_since_ms = 0
        # Difference of the store's clock and the monotonic one.
        self._offset_ms = 0.0
        # Keys of rows of other instances that may have left.
        self._old = []

    @property
    def is_loaded(self):
        """Whether the store has told what earlier processes have spent."""
        return self._generation is not None

    def age_s(self, now):
        """Return the seconds since the first process of this instance."""
        return (1000 * now + self._offset_ms - self._member_since_ms) / 1000

    async def load(self):
        """Read what earlier processes of this instance have spent.

        Returns
        -------
        Record or Failure
        """
        result = await self._store.read(
            self._store_table, timeout=READ_TIMEOUT_S
        )
        if isinstance(result, kinds.Failure):
            self._journal.write("retries_unread", why=result.reason)
            return result
        now = self._clock()
        now_ms = self._unix_ms() if result.now_ms is None else result.now_ms
        self._offset_ms = now_ms - 1000 * now
        rows = {row.key: self._decode(row) for row in result.rows}
        own = [
            row
            for key, row in rows.items()
            if row is not None and key.rpartition("/")[0] == self._own
        ]
        latest = max(
            own, key=lambda e: (e.generation, e.sequence), default=None
        )
        self._generation = 1 + (latest.generation if latest else 0)
        self._sequence = latest.sequence if latest else 0
        self._member_since_ms = (
            latest.member_since_ms if latest else self._store_ms(now)
        )
        record = Record({}, {})
        if latest is not None:
            record = Record(
                self._events(latest.requests, now),
                self._events(latest.retries, now),
            )
        self._journal.write(
            "retries_read",
            generation=self._generation,
            count=_count(record.retries),
        )
        self._old = [
            key
            for key, row in rows.items()
            if row is None or now_ms - row.written_at_ms > MAX_AGE_MS
        ]
        return record

    async def save(self, record):
        """Write what this instance has spent; return whether it is stored.

        Parameters
        ----------
        record : Record
        """
        started_at = self._clock()
        self._sequence += 1
        row = _Row(
            self._generation,
            self._sequence,
            self._store_ms(started_at),
            self._member_since_ms,
            self._stored(record.requests),
            self._stored(record.retries),
        )
        failure = await self._store.put(
            self._store_table,
            f"{self._own}/{self._sequence % SLOTS}",
            msgspec.json.encode(row),
            timeout=WRITE_TIMEOUT_S,
        )
        if failure is not None:
            self._journal.write("retries_unwritten", why=failure.reason)
            return False
        self._journal.write(
            "retries_written",
            count=_count(record.retries),
            took_s=round(self._clock() - started_at, 4),
        )
        return True

    def _store_ms(self, at):
        return round(1000 * at + self._offset_ms)

    def _stored(self, events):
        return {
            service: [(self._store_ms(at), count) for at, count in each]
            for service, each in events.items()
        }

    def _events(self, stored, now):
        # What seems to come from the future has happened just now: the store
        # may have come back with another clock.
        return {
            service: [
                (min(now, (ms - self._offset_ms) / 1000), count)
                for ms, count in each
            ]
            for service, each in stored.items()
        }

    def _decode(self, row):
        try:
            return decoding.decode(row.value, _Row)
        except msgspec.MsgspecError as err:
            self._journal.write("retries_unread", why=f"{row.key}: {err}")
            return None

    async def remove_old(self, registered):
        """Remove rows of instances that have left.

        Parameters
        ----------
        registered : collection of str
            Names of the instances that have not.
        """
        left = [
            key
            for key in self._old
            if key.rpartition("/")[0] not in registered
        ]
        for key in left[:MAX_REMOVALS]:
            failure = await self._store.remove(
                self._store_table, key, timeout=WRITE_TIMEOUT_S
            )
            if failure is not None:
                self._journal.write("retries_unwritten", why=failure.reason)
                return


def _count(events):
    return sum(count for each in events.values() for _, count in each)
