"""In-memory table and object store with fault injection."""

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds

__all__ = ["FakeObjects", "FakeTable"]

UNAVAILABLE = kinds.Failure(kinds.Kind.STORE_AWAY, "away", sent=True)


class FakeTable:
    """In-memory table; each call consumes one entry of ``faults``.

    ``ok``: no fault; ``refused``: no effect, and the caller can tell;
    ``down``: no effect, outcome unknown to the caller; ``lost``: takes
    effect without a response; ``late``: no response, takes effect just
    before the next call; ``stale``: reads return no rows.
    """

    def __init__(self):
        self.rows = {}
        self.faults = []
        self.calls = []
        self.era = 0
        self._versions = 0
        self._late = None
        self._listeners = []

    def on_restored(self, func):
        """Register a function to call by `restore`."""
        self._listeners.append(func)

    def restore(self, kept):
        """Come back with the rows kept, in the next era."""
        self.rows = dict(kept)
        self.era += 1
        for func in self._listeners:
            func()

    async def read(self, key):
        fault = self._next_fault("read")
        if fault not in ("ok", "stale"):
            return UNAVAILABLE
        if fault == "stale" or key not in self.rows:
            return tables.Row(key, None, tables.ABSENT)
        return tables.Row(key, *self.rows[key])

    async def scan(self, prefix, *, after="", limit=1000):
        fault = self._next_fault("scan")
        if fault not in ("ok", "stale"):
            return UNAVAILABLE
        if fault == "stale":
            return []
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        keys = [key for key in keys if key > after][:limit]
        return [tables.Row(key, *self.rows[key]) for key in keys]

    async def write(self, *writes):
        fault = self._next_fault("write")
        if fault == "refused":
            return UNAVAILABLE._replace(sent=False)
        if fault == "down":
            return UNAVAILABLE
        if fault == "late":
            self._late = writes
            return UNAVAILABLE
        result = self._put(writes)
        return UNAVAILABLE if fault == "lost" else result

    def _next_fault(self, call):
        if self._late:
            self._put(self._late)
            self._late = None
        self.calls.append(call)
        return self.faults.pop(0) if self.faults else "ok"

    def _put(self, writes):
        conflicting = [
            tables.Row(write.key, *self.rows.get(write.key, (None, 0)))
            for write in writes
            if self.rows.get(write.key, (None, 0))[1] != write.if_version
        ]
        if conflicting:
            return tables.Conflict(tuple(conflicting))
        versions = []
        for write in writes:
            self._versions += 1
            versions.append(self._versions)
            self.rows[write.key] = (write.value, self._versions)
            if write.value is None:
                del self.rows[write.key]
        return tables.Written(tuple(versions))


class FakeObjects:
    """In-memory object store."""

    def __init__(self):
        self.stored = {}
        self.is_unavailable = False

    async def get(self, name):
        return UNAVAILABLE if self.is_unavailable else self.stored.get(name)

    async def put(self, name, value):
        if self.is_unavailable:
            return UNAVAILABLE
        self.stored[name] = value
        return True

    async def delete(self, name):
        if self.is_unavailable:
            return UNAVAILABLE
        return self.stored.pop(name, None) is not None
