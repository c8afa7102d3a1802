"""Stand-in for the platform's table store, with a change feed."""

import asyncio
import base64
import time
import typing

from aiohttp import web
import msgspec

__all__ = ["Backup", "Mood", "PlatformStore"]

ERA_HEADER = "Store-Era"


class Mood(typing.NamedTuple):
    """Failure mode of the store.

    Parameters
    ----------
    status : int or None
        Status with which every call is answered, without effect.
    silent : bool
        Whether calls hang without an answer.
    loses_answers : bool
        Whether writes take effect but their answers are lost.
    """

    status: int | None = None
    silent: bool = False
    loses_answers: bool = False


class Backup(typing.NamedTuple):
    """Copy of all rows and of the history, from which a store comes back."""

    rows: dict
    changes: list
    version: int


class PlatformStore:
    """Stores rows in tables, each with the version of its last change.

    Attributes
    ----------
    era : int, str or None
        Told in all answers; raised by `restore`.  None tells none.
    """

    def __init__(self):
        self._rows = {}
        self._changes = []
        self._changed = asyncio.Event()
        self._compacted_version = 0
        self._restores = 0
        self._runner = None
        self.version = 0
        self.era = None
        self.mood = Mood()
        self.calls = []
        self.address = None

    async def start(self):
        """Listen on a free port."""
        app = web.Application()
        app.router.add_get("/v1/rows-get", self._with_failures(self._get))
        app.router.add_get("/v1/rows-feed", self._with_failures(self._feed))
        app.router.add_post("/v1/rows-tx", self._with_failures(self._transact))
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0]
        self.address = f"{host}:{port}"

    async def stop(self):
        """Stop listening."""
        self._changed.set()
        await self._runner.cleanup()

    def put(self, table, key, value):
        """Write a row, as an operator or an endpoint would.

        Parameters
        ----------
        value : object
            Stored as JSON; bytes are stored unchanged.
        """
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self._change(table, key, base64.b64encode(raw).decode())

    def remove(self, table, key):
        """Remove a row."""
        self._change(table, key, None)

    def rows(self, table):
        """Return the decoded rows of a table by key."""
        return {
            key: msgspec.json.decode(base64.b64decode(row["value"]))
            for (name, key), row in self._rows.items()
            if name == table
        }

    def compact(self):
        """Discard the change history; older feed positions get status 410."""
        self._changes.clear()
        self._compacted_version = self.version

    def backup(self):
        """Return a copy for `restore`."""
        return Backup(dict(self._rows), list(self._changes), self.version)

    def restore(self, backup):
        """Come back from a copy; pending calls are cut off."""
        self._rows = dict(backup.rows)
        self._changes = list(backup.changes)
        self.version = backup.version
        if self.era is not None:
            self.era += 1
        self._restores += 1
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _change(self, table, key, value):
        self.version += 1
        row = {"table": table, "part": "", "key": key, "ver": self.version}
        if value is None:
            self._rows.pop((table, key), None)
            self._changes.append({**row, "tombstone": True})
        else:
            row["value"] = value
            self._rows[table, key] = row
            self._changes.append(row)
        self._wake()

    def _with_failures(self, handler):
        async def handle(http):
            self.calls.append((http.path, dict(http.query)))
            if self.mood.silent:
                await asyncio.Event().wait()
            if self.mood.status is not None:
                return self._with_era(
                    web.json_response({}, status=self.mood.status)
                )
            restores = self._restores
            answer = await handler(http)
            is_lost = self.mood.loses_answers and http.method == "POST"
            if is_lost or restores != self._restores:
                http.transport.abort()
            return self._with_era(answer)

        return handle

    def _with_era(self, answer):
        if self.era is not None:
            answer.headers[ERA_HEADER] = str(self.era)
        return answer

    def _answer(self, **more):
        now_ms = int(time.monotonic() * 1000)
        return web.json_response(
            {"ver": self.version, "now_ms": now_ms, **more}
        )

    async def _get(self, http):
        start = http.query.get("from", "")
        matching = sorted(
            (
                row
                for (table, key), row in self._rows.items()
                if table == http.query["table"] and key >= start
            ),
            key=lambda row: row["key"].encode(),
        )
        limit = int(http.query.get("limit", 500))
        return self._answer(
            rows=matching[:limit], has_more=len(matching) > limit
        )

    async def _feed(self, http):
        after = int(http.query["after"])
        deadline = time.monotonic() + int(http.query["wait_ms"]) / 1000
        while True:
            if not self._compacted_version <= after <= self.version:
                return web.json_response({}, status=410)
            changed = {
                row["key"]: row
                for row in self._changes
                if row["table"] == http.query["table"] and row["ver"] > after
            }
            remaining_s = deadline - time.monotonic()
            if changed or remaining_s <= 0:
                return self._answer(rows=list(changed.values()))
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _transact(self, http):
        body = await http.json()
        for row in body["expected"]:
            stored = self._rows.get((row["table"], row["key"]))
            if (stored["ver"] if stored else 0) != row["ver"]:
                return web.json_response({"rows": []}, status=412)
        for row in body["put"]:
            self._change(row["table"], row["key"], row["value"])
        for row in body["remove"]:
            self._change(row["table"], row["key"], None)
        return self._answer()
