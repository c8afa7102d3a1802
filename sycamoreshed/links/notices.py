"""What endpoints tell of themselves in their answers."""

from sycamoreshed.kernel import kernel

__all__ = ["Notices"]


class Notices:
    """Records what endpoints tell of themselves.

    Parameters
    ----------
    codec : Platform
    departures : DepartureRecords
    publish : callable
        Tells other instances findings, which may be None.
    clock, unix_ms : callable
    """

    def __init__(self, *, codec, departures, publish, clock, unix_ms):
        self._codec = codec
        self._departures = departures
        self._publish = publish
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
            # Of another endpoint at its address.
            return
        if self._codec.is_leaving(response.headers):
            finding = self._departures.record_answer(
                endpoint,
                response.status,
                now=self._clock(),
                unix_ms=self._unix_ms(),
            )
            self._publish(finding)


@kernel.plugin("notices", needs=("departure_records", "findings", "platform"))
async def notices(core):
    """Provide the `Notices`."""
    yield Notices(
        codec=core.part("platform"),
        departures=core.part("departure_records"),
        publish=core.part("findings").publish,
        clock=core.clock,
        unix_ms=core.unix_ms,
    )
