"""Client of the platform's table store.

A row has a table, a part and a key; this project uses only rows whose part
is empty.  Calls return values or a
`Failure`, which the caller has to handle.
"""

import base64
import typing
import urllib.parse

import msgspec

from sycamoreshed.adapters import positions
from sycamoreshed.adapters import web
from sycamoreshed.catalog import tablereads
from sycamoreshed.errors import kinds
from sycamoreshed.platform import names

__all__ = ["TableStore"]

_OK = 200
_HISTORY_GONE = 410


class _WireRow(msgspec.Struct):
    key: str
    ver: int
    part: str | None = ""
    # Any writer of the platform may store a value of another form.
    value: typing.Any = None
    tombstone: typing.Any = False


class _Answer(msgspec.Struct):
    rows: list[_WireRow]
    ver: int
    has_more: typing.Any = False
    now_ms: typing.Any = None


class _Page(typing.NamedTuple):
    rows: list
    version: int
    has_more: bool
    era: int | None
    now_ms: int | None = None


class TableStore:
    """Client of the table store.

    Parameters
    ----------
    session : aiohttp.ClientSession
    address : str
        ``IP:port``.
    """

    def __init__(self, *, session, address):
        self._session = session
        self._address = address

    async def read(self, table, *, timeout):
        """Return all rows of a table as `Changes`, or a `Failure`.

        Notes
        -----
        Each page reflects another version.  The result has the version of
        the first page: changes of a page that had been read then arrive
        with the changes after that version, and a row that arrives twice
        does no harm.
        """
        rows = []
        start = version = era = None
        while True:
            query = {"table": table, "part": "", "limit": "500"}
            if start is not None:
                query["from"] = start
            reply = await self._get(names.ROWS_GET, query, timeout)
            if isinstance(reply, tablereads.HistoryGone):
                return _unexpected_status(_HISTORY_GONE)
            if isinstance(reply, kinds.Failure):
                return reply
            rows += reply.rows
            if version is None:
                version, era = reply.version, reply.era
            if reply.era != era:
                return kinds.Failure(
                    kinds.Kind.STORE_AWAY, "the era changed between two pages"
                )
            if not reply.has_more or not rows:
                return tablereads.Changes(
                    rows,
                    version,
                    is_full=True,
                    era=era,
                    now_ms=reply.now_ms,
                )
            # The smallest key after the last one in byte order.
            start = rows[-1].key + "\0"

    async def wait_for_changes(self, table, after, *, wait_s, slack_s):
        """Wait for rows that changed after a version.

        Parameters
        ----------
        table : str
        after : int
        wait_s : float
            Seconds that the store may hold the call if nothing has changed.
        slack_s : float
            Additional seconds after which the call counts as lost.

        Returns
        -------
        Changes, HistoryGone or Failure
        """
        query = {
            "table": table,
            "after": str(after),
            "wait_ms": str(int(wait_s * 1000)),
        }
        reply = await self._get(names.ROWS_FEED, query, wait_s + slack_s)
        if isinstance(reply, tablereads.HistoryGone | kinds.Failure):
            return reply
        return tablereads.Changes(
            reply.rows, reply.version, is_full=False, era=reply.era
        )

    async def put(self, table, key, value, *, timeout):
        """Write a row unconditionally; return None or a `Failure`."""
        entry = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
        }
        return await self._transact([], [entry], [], timeout)

    async def remove(self, table, key, *, timeout):
        """Remove a row unconditionally; return None or a `Failure`."""
        entry = {"table": table, "part": "", "key": key}
        return await self._transact([], [], [entry], timeout)

    async def _transact(self, expected, put, remove, timeout):
        body = {"expected": expected, "put": put, "remove": remove}
        reply = await web.fetch(
            self._session,
            "POST",
            self._address,
            names.ROWS_TX,
            timeout=timeout,
            body=body,
        )
        if isinstance(reply, kinds.Failure):
            return reply
        if reply.status == _OK:
            return None
        return _unexpected_status(reply.status)

    async def _get(self, path, query, timeout):
        target = f"{path}?{urllib.parse.urlencode(query)}"
        reply = await web.fetch(
            self._session, "GET", self._address, target, timeout=timeout
        )
        if isinstance(reply, kinds.Failure):
            return reply
        era = positions.parse_era(reply.headers.get(names.STORE_ERA, ""))
        if reply.status == _HISTORY_GONE:
            return tablereads.HistoryGone(era)
        if reply.status != _OK:
            return _unexpected_status(reply.status)
        try:
            answer = msgspec.convert(reply.body, _Answer)
        except msgspec.ValidationError as err:
            return kinds.Failure(kinds.Kind.STORE_AWAY, str(err))
        return _Page(
            _decode_rows(answer),
            answer.ver,
            bool(answer.has_more),
            era,
            answer.now_ms if isinstance(answer.now_ms, int) else None,
        )


def _unexpected_status(status):
    return kinds.Failure(
        kinds.Kind.STORE_AWAY, f"table store answered {status}"
    )


def _decode_rows(answer):
    """Decode rows; the change feed marks removed ones by a tombstone."""
    return [
        tablereads.Row(
            wire.key,
            None if wire.tombstone else _decode_value(wire.value),
            wire.ver,
        )
        for wire in answer.rows
        if not wire.part
    ]


def _decode_value(text):
    # Any writer of the platform may store a value that is not base64.  What
    # it decodes to names nothing usable, and must not prevent reading the
    # other rows.
    try:
        return base64.b64decode(text or "")
    except (ValueError, TypeError):
        return b""
