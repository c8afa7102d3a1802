"""Client of the platform's table service: rows and conditional writes."""

import typing
import urllib.parse

import msgspec

from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel

__all__ = ["ABSENT", "Conflict", "Row", "Table", "Write", "Written"]

ABSENT = 0


class Row(typing.NamedTuple):
    """A row; ``version`` is `ABSENT` if the row does not exist."""

    key: str
    value: typing.Any
    version: int


class Write(typing.NamedTuple):
    """A write that takes effect only if the row has version ``if_version``.

    A value of None deletes the row.
    """

    key: str
    value: typing.Any
    if_version: int


class Written(typing.NamedTuple):
    """All writes took effect; ``versions`` are the new ones, in order."""

    versions: tuple


class Conflict(typing.NamedTuple):
    """No write took effect; ``rows`` are those with another version."""

    rows: tuple


class _RowBody(typing.TypedDict):
    key: str
    value: typing.Any
    version: int


class _ScanBody(typing.TypedDict):
    rows: list[_RowBody]


class _ConflictBody(typing.TypedDict):
    conflicts: list[_RowBody]


class _WrittenBody(typing.TypedDict):
    versions: list[int]


class Table:
    """Client of the table service.

    Parameters
    ----------
    session : aiohttp.ClientSession
    address : str
    timeout : float
        Seconds for one call.
    """

    def __init__(self, *, session, address, timeout):
        self._session = session
        self._address = address
        self._timeout = timeout

    async def read(self, key):
        """Read one row.

        Returns
        -------
        Row or Failure
            Of kind ``store-away``.
        """
        path = "/rows/" + urllib.parse.quote(key, safe="")
        reply = await self._fetch("GET", path, other_status=404)
        if isinstance(reply, kinds.Failure):
            return reply
        if reply.status == 404:
            return Row(key, None, ABSENT)
        body = _convert(reply.body, _RowBody)
        return body if isinstance(body, kinds.Failure) else Row(**body)

    async def scan(self, prefix, *, after="", limit=1000):
        """Read rows whose key starts with `prefix`, in order of key.

        Returns
        -------
        list of Row, or Failure
        """
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "limit": limit}
        )
        reply = await self._fetch("GET", f"/scan?{query}")
        if isinstance(reply, kinds.Failure):
            return reply
        body = _convert(reply.body, _ScanBody)
        if isinstance(body, kinds.Failure):
            return body
        return [Row(**row) for row in body["rows"]]

    async def write(self, *writes):
        """Write rows in one transaction: all or none.

        Returns
        -------
        Written, Conflict or Failure
            A failure with ``sent`` true means that the writes may have
            taken effect or may do so later.
        """
        body = {"writes": [write._asdict() for write in writes]}
        reply = await self._fetch(
            "POST", "/transact", body=body, other_status=409
        )
        if isinstance(reply, kinds.Failure):
            return reply
        if reply.status == 409:
            body = _convert(reply.body, _ConflictBody)
            if isinstance(body, kinds.Failure):
                return body
            return Conflict(tuple(Row(**row) for row in body["conflicts"]))
        body = _convert(reply.body, _WrittenBody)
        if isinstance(body, kinds.Failure):
            return body
        return Written(tuple(body["versions"]))

    async def _fetch(self, method, path, *, body=None, other_status=200):
        reply = await web.fetch(
            self._session,
            method,
            self._address,
            path,
            timeout=self._timeout,
            body=body,
        )
        if isinstance(reply, kinds.Failure):
            return reply._replace(kind=kinds.Kind.STORE_AWAY)
        if reply.status not in (200, other_status):
            # A rejection, such as of too many calls a second, has no
            # effect; after an error of the service the outcome is unknown.
            return kinds.Failure(
                kinds.Kind.STORE_AWAY,
                f"status {reply.status}",
                sent=reply.status >= 500,
            )
        return reply


def _convert(body, kind):
    """Convert a body to `kind`; an intermediary may send anything."""
    try:
        return msgspec.convert(body, kind)
    except msgspec.ValidationError as err:
        return kinds.Failure(
            kinds.Kind.STORE_AWAY, web.describe(err), sent=True
        )


@kernel.plugin("table", needs=("web",))
async def table(core):
    """Provide the client of the table service."""
    yield Table(
        session=core.part("web"),
        address=core.settings.table,
        timeout=core.settings.store_timeout_s,
    )
