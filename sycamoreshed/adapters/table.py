"""Client of the platform's table service: rows and conditional writes."""

import typing
import urllib.parse

from loguru import logger
import msgspec

from sycamoreshed.adapters import positions
from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel

__all__ = ["ABSENT", "Conflict", "Row", "Table", "Write", "Written"]

# Version of a row that does not exist, in whichever era.
ABSENT = 0
ERA_HEADER = "Table-Era"


class Row(typing.NamedTuple):
    """A row and its version.

    Versions are packed positions, so that those of different eras differ; the
    version of a row that does not exist is that of number 0 in its era.
    """

    key: str
    value: typing.Any
    version: int


class Write(typing.NamedTuple):
    """A write that takes effect only if the row has version ``if_version``.

    With `ABSENT` it takes effect only if the row does not exist.  A value of
    None deletes the row.
    """

    key: str
    value: typing.Any
    if_version: int


class Written(typing.NamedTuple):
    """All writes took effect; ``versions`` are the new ones, in order."""

    versions: tuple


class Conflict(typing.NamedTuple):
    """No write took effect; ``rows`` are those with another version.

    After a change of era they may be as they were, but for their versions.
    """

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
        self._era = 0
        self._on_restored = []

    @property
    def era(self):
        """Latest era that the service told; 0 if it tells none."""
        return self._era

    def on_restored(self, func):
        """Call `func` each time that the service comes back from a copy."""
        self._on_restored.append(func)

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
            return self._row({"key": key, "value": None, "version": 0})
        body = _convert(reply.body, _RowBody)
        return body if isinstance(body, kinds.Failure) else self._row(body)

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
        return [self._row(row) for row in body["rows"]]

    async def write(self, *writes):
        """Write rows in one transaction: all or none.

        Returns
        -------
        Written, Conflict or Failure
            A failure with ``sent`` true means that the writes may have
            taken effect or may do so later.

        Notes
        -----
        A version is given out again after the service came back from an
        older copy, so a write conditional on one of an earlier era could
        take effect on what another writer wrote.  It is not sent; if the
        era changed while it was under way, its outcome is unknown.
        """
        outdated = [write for write in writes if self._is_outdated(write)]
        if outdated:
            return await self._conflict(outdated)
        body = {"writes": [_wire_write(write) for write in writes]}
        reply = await self._fetch(
            "POST", "/transact", body=body, other_status=409
        )
        if isinstance(reply, kinds.Failure):
            return reply
        if reply.status == 409:
            body = _convert(reply.body, _ConflictBody)
            if isinstance(body, kinds.Failure):
                return body
            return Conflict(tuple(self._row(row) for row in body["conflicts"]))
        body = _convert(reply.body, _WrittenBody)
        if isinstance(body, kinds.Failure):
            return body
        if any(self._is_outdated(write) for write in writes):
            return kinds.Failure(
                kinds.Kind.STORE_AWAY,
                "the era changed during the write",
                sent=True,
            )
        return Written(tuple(self._packed(each) for each in body["versions"]))

    def _is_outdated(self, write):
        """Return whether a write is conditional on an earlier era."""
        era = positions.unpack(write.if_version).era
        # Era 0 has the versions of a service that told none.
        return 0 < era < self._era

    async def _conflict(self, writes):
        """Return the conflict of writes that are not sent."""
        rows = []
        for write in writes:
            row = await self.read(write.key)
            if isinstance(row, kinds.Failure):
                return row._replace(sent=False)
            rows.append(row)
        return Conflict(tuple(rows))

    def _row(self, body):
        return Row(body["key"], body["value"], self._packed(body["version"]))

    def _packed(self, version):
        return positions.pack(positions.Position(self._era, version))

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
        era = positions.parse_era(reply.headers.get(ERA_HEADER, ""))
        if era is not None and era < self._era:
            return kinds.Failure(
                kinds.Kind.STORE_AWAY, "an answer of an earlier era", sent=True
            )
        self._observe(era)
        return reply

    def _observe(self, era):
        if era is None or era == self._era:
            return
        previous, self._era = self._era, era
        logger.bind(era=era, previous=previous).warning("table's era")
        # The first one that is told is no change.
        if previous:
            for func in self._on_restored:
                func()


def _wire_write(write):
    version = positions.unpack(write.if_version).version
    return {**write._asdict(), "if_version": version}


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
