"""A table and an object store in memory, with a fault for each call."""

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds

__all__ = ["FakeObjects", "FakeTable"]

AWAY = kinds.Failure(kinds.Kind.STORE_AWAY, "away", sent=True)


class FakeTable:
    """Rows in memory.  ``faults`` are used up one by each call.

    ``ok``; ``refused``: no effect and known so; ``down``: no effect and
    not known so; ``lost``: effect without answer; ``late``: no effect
    now, but before the next call; ``stale``: reads show no rows.
    """

    def __init__(self):
        self.rows = {}
        self.faults = []
        self.calls = []
        self._versions = 0
        self._late = None

    async def read(self, key):
        fault = self._begin("read")
        if fault not in ("ok", "stale"):
            return AWAY
        if fault == "stale" or key not in self.rows:
            return tables.Row(key, None, tables.ABSENT)
        return tables.Row(key, *self.rows[key])

    async def scan(self, prefix, *, after="", limit=1000):
        fault = self._begin("scan")
        if fault not in ("ok", "stale"):
            return AWAY
        if fault == "stale":
            return []
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        keys = [key for key in keys if key > after][:limit]
        return [tables.Row(key, *self.rows[key]) for key in keys]

    async def write(self, *writes):
        fault = self._begin("write")
        if fault == "refused":
            return AWAY._replace(sent=False)
        if fault == "down":
            return AWAY
        if fault == "late":
            self._late = writes
            return AWAY
        result = self._put(writes)
        return AWAY if fault == "lost" else result

    def _begin(self, call):
        if self._late:
            self._put(self._late)
            self._late = None
        self.calls.append(call)
        return self.faults.pop(0) if self.faults else "ok"

    def _put(self, writes):
        stale = [
            tables.Row(write.key, *self.rows.get(write.key, (None, 0)))
            for write in writes
            if self.rows.get(write.key, (None, 0))[1] != write.if_version
        ]
        if stale:
            return tables.Conflict(tuple(stale))
        for write in writes:
            self._versions += 1
            self.rows[write.key] = (write.value, self._versions)
            if write.value is None:
                del self.rows[write.key]
        return tables.Written((self._versions,) * len(writes))


class FakeObjects:
    """Objects in memory."""

    def __init__(self):
        self.held = {}
        self.away = False

    async def get(self, name):
        return AWAY if self.away else self.held.get(name)

    async def put(self, name, value):
        if self.away:
            return AWAY
        self.held[name] = value
        return True

    async def delete(self, name):
        if self.away:
            return AWAY
        return self.held.pop(name, None) is not None
