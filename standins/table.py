"""Stand-in for the platform's table service."""

import bisect
import collections
import math
import time

from aiohttp import web

from standins import registry

__all__ = ["TableStore"]

ERA_HEADER = "Table-Era"


class TableStore:
    """Versioned rows with conditional transactions.

    Parameters
    ----------
    faults : Faults
    reads_per_s, writes_per_s : float
        Rate limits; calls above them are refused with status 429.
    era : int or None
        Told in all answers, and raised by each restore; None tells none.
    """

    def __init__(self, *, faults, reads_per_s, writes_per_s, era=None):
        self._faults = faults
        self._limits = {"reads": reads_per_s, "writes": writes_per_s}
        self._window = (0, collections.Counter())
        self._previous_rows = {}
        self._rows = {}
        self._keys = []
        self._last_version = 0
        self._backup = None
        self._era = era
        self.counters = collections.Counter()

    def routes(self):
        """Return the routes of the service."""
        return [
            web.get("/rows/{key}", self.read),
            web.get("/scan", self.scan),
            web.post("/transact", self.transact),
            web.get("/counts", self.counts),
            web.post("/backup", self.backup),
            web.post("/restore", self.restore),
        ]

    async def read(self, http):
        """Answer with one row."""
        if self._exceeds_limit("reads"):
            return _too_many_requests()
        key = http.match_info["key"]
        row = self._row(key)
        if self._faults.occurs(self._faults.spec.get("stale", 0.0)):
            self.counters["stale_reads"] += 1
            row = self._previous_rows.get(key, row)
        if not row["version"]:
            return self._reply({"error": "no row"}, status=404)
        return self._reply(row)

    async def scan(self, http):
        """Answer with the rows of a key prefix that follow a given key."""
        if self._exceeds_limit("reads"):
            return _too_many_requests()
        prefix = http.query["prefix"]
        after = http.query.get("after", "")
        limit = int(http.query.get("limit", "1000"))
        start = bisect.bisect_left(self._keys, prefix)
        if after:
            start = max(start, bisect.bisect_right(self._keys, after))
        rows = []
        for key in self._keys[start:]:
            if not key.startswith(prefix) or len(rows) == limit:
                break
            rows.append(self._row(key))
        return self._reply({"rows": rows})

    async def transact(self, http):
        """Write all rows, or none if any version does not match."""
        body = await http.json()
        if self._exceeds_limit("writes"):
            return _too_many_requests()
        stale = [
            write["key"]
            for write in body["writes"]
            if self._version(write["key"]) != write["if_version"]
        ]
        if stale:
            rows = [self._row(key) for key in stale]
            return self._reply({"conflicts": rows}, status=409)
        versions = [self._put(write) for write in body["writes"]]
        return self._reply({"versions": versions})

    async def counts(self, _http):
        """Answer with the numbers of calls and rows."""
        return web.json_response(
            {
                "reads": 0,
                "writes": 0,
                **self.counters,
                "rows": len(self._rows),
            }
        )

    async def backup(self, _http):
        """Keep a copy of all rows."""
        self._backup = (dict(self._rows), self._last_version)
        return web.json_response({})

    async def restore(self, _http):
        """Come back from the copy, in the next era."""
        rows, self._last_version = self._backup
        self._rows = dict(rows)
        self._keys = sorted(rows)
        self._previous_rows = {}
        if self._era is not None:
            self._era += 1
        return web.json_response({})

    def _reply(self, body, status=200):
        headers = {}
        if self._era is not None:
            headers[ERA_HEADER] = str(self._era)
        return web.json_response(body, status=status, headers=headers)

    def _exceeds_limit(self, operation):
        """Count a call; return whether it exceeds the rate limit."""
        second = int(time.monotonic())
        if second != self._window[0]:
            self._window = (second, collections.Counter())
        self._window[1][operation] += 1
        if self._window[1][operation] > self._limits[operation]:
            self.counters[f"refused_{operation}"] += 1
            return True
        self.counters[operation] += 1
        return False

    def _version(self, key):
        return self._rows[key][1] if key in self._rows else 0

    def _row(self, key):
        value, version = self._rows.get(key, (None, 0))
        return {"key": key, "value": value, "version": version}

    def _put(self, write):
        key = write["key"]
        self._previous_rows[key] = self._row(key)
        if write["value"] is None:
            if self._rows.pop(key, None) is not None:
                del self._keys[bisect.bisect_left(self._keys, key)]
            return 0
        if key not in self._rows:
            bisect.insort(self._keys, key)
        self._last_version += 1
        self._rows[key] = (write["value"], self._last_version)
        return self._last_version


@registry.KINDS.register("table")
def table(spec, faults):
    """Create a table service."""
    return TableStore(
        faults=faults,
        reads_per_s=spec.get("reads_per_s", math.inf),
        writes_per_s=spec.get("writes_per_s", math.inf),
        era=spec.get("era"),
    )


def _too_many_requests():
    return web.json_response({"error": "too many"}, status=429)
