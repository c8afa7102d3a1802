"""The platform's table service: rows, and conditional transactions."""

import typing
import urllib.parse

import msgspec

from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel

__all__ = ["ABSENT", "Conflict", "Row", "Table", "Write", "Written"]

ABSENT = 0


class Row(typing.NamedTuple):
    """A row; ``version`` is zero when it does not exist."""

    key: str
    value: typing.Any
    version: int


class Write(typing.NamedTuple):
    """A write that holds only if the row has version ``if_version``.

    A value of None deletes the row.
    """

    key: str
    value: typing.Any
    if_version: int


class Written(typing.NamedTuple):
    """All writes took effect; their new versions, in order."""

    versions: tuple


class Conflict(typing.NamedTuple):
    """No write took effect; rows whose version was another one."""

    rows: tuple


class _RowBody(typing.TypedDict):
    key: str
    value: typing.Any
    version: int


class _Scanned(typing.TypedDict):
    rows: list[_RowBody]


class _Refused(typing.TypedDict):
    conflicts: list[_RowBody]


class _Done(typing.TypedDict):
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
        reply = await self._fetch("GET", path, other=404)
        if isinstance(reply, kinds.Failure):
            return reply
        if reply.status == 404:
            return Row(key, None, ABSENT)
        body = _converted(reply.body, _RowBody)
        return body if isinstance(body, kinds.Failure) else Row(**body)

    async def scan(self, prefix, *, after="", limit=1000):
        """Read rows whose key begins with `prefix`, in order of key.

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
        body = _converted(reply.body, _Scanned)
        if isinstance(body, kinds.Failure):
            return body
        return [Row(**row) for row in body["rows"]]

    async def write(self, *writes):
        """Write rows, all or none.

        Returns
        -------
        Written, Conflict or Failure
            A failure with ``sent`` true means that the writes may have
            taken effect or may do so later.
        """
        body = {"writes": [write._asdict() for write in writes]}
        reply = await self._fetch("POST", "/transact", body=body, other=409)
        if isinstance(reply, kinds.Failure):
            return reply
        if reply.status == 409:
            body = _converted(reply.body, _Refused)
            if isinstance(body, kinds.Failure):
                return body
            return Conflict(tuple(Row(**row) for row in body["conflicts"]))
        body = _converted(reply.body, _Done)
        if isinstance(body, kinds.Failure):
            return body
        return Written(tuple(body["versions"]))

    async def _fetch(self, method, path, *, body=None, other=200):
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
        if reply.status not in (200, other):
            # A refusal, as of too many calls a second, had no effect;
            # after an error of the service nobody knows.
            return kinds.Failure(
                kinds.Kind.STORE_AWAY,
                f"status {reply.status}",
                sent=reply.status >= 500,
            )
        return reply


def _converted(body, kind):
    """Return a body as `kind`; what is between may answer anything."""
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
