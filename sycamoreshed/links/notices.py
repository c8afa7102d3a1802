"""What endpoints tell of themselves in their answers."""

from sycamoreshed.kernel import kernel

__all__ = ["Notices"]


class Notices:
    """Records what endpoints tell of themselves.

    Parameters
    ----------
    catalog : Catalog
    codec : Platform
    departures : DepartureRecords
    misdirections : MisdirectionRecords
    told_loads : ToldLoads
    publish : callable
        Tells other instances findings, which may be None.
    journal : Journal
    clock, unix_ms : callable
    """

    def __init__(
        self,
        *,
        catalog,
        codec,
        departures,
        misdirections,
        told_loads,
        publish,
        journal,
        clock,
        unix_ms,
    ):
        self._catalog = catalog
        self._codec = codec
        self._departures = departures
        self._misdirections = misdirections
        self._told_loads = told_loads
        self._publish = publish
        self._journal = journal
        self._clock = clock
        self._unix_ms = unix_ms

    def record(self, endpoint, response):
        """Record what an answer tells of the endpoint that gave it.

        Parameters
        ----------
        endpoint : Endpoint
        response : aiohttp.ClientResponse or FullAnswer
        """
        verdict = self._codec.classify_response(
            response.status, response.headers
        )
        if verdict.value == "elsewhere":
            finding = self._misdirections.record_answer(
                endpoint, now=self._clock(), unix_ms=self._unix_ms()
            )
            self._publish(finding)
            # All else that it tells is of another endpoint.
            return
        if self._codec.tells_load(response.headers):
            self._told_loads.record(
                endpoint,
                self._codec.told_load(response.headers),
                self._clock(),
            )
        if self._codec.is_leaving(response.headers):
            finding = self._departures.record_answer(
                endpoint,
                response.status,
                now=self._clock(),
                unix_ms=self._unix_ms(),
            )
            self._publish(finding)
        rest_s = self._codec.rest_s(
            response.status, response.headers, self._unix_ms() / 1000
        )
        if rest_s is not None:
            self._catalog.rests.record(endpoint, rest_s, self._clock())
            self._journal.write(
                "endpoint_rests",
                endpoint=endpoint.id,
                status=response.status,
                for_s=round(rest_s, 3),
            )


@kernel.plugin(
    "notices",
    needs=(
        "catalog",
        "departure_records",
        "findings",
        "journal",
        "misdirection_records",
        "platform",
        "told_loads",
    ),
)
async def notices(core):
    """Provide the `Notices`."""
    yield Notices(
        catalog=core.part("catalog"),
        codec=core.part("platform"),
        departures=core.part("departure_records"),
        misdirections=core.part("misdirection_records"),
        told_loads=core.part("told_loads"),
        publish=core.part("findings").publish,
        journal=core.part("journal"),
        clock=core.clock,
        unix_ms=core.unix_ms,
    )
