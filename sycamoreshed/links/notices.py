"""What endpoints tell of themselves in their answers."""

from sycamoreshed.kernel import kernel

__all__ = ["Notices"]

# Endpoints whose leaving is remembered; the oldest one is forgotten first.
MAX_LEAVING = 1024


class Notices:
    """Records what endpoints tell of themselves.

    Parameters
    ----------
    codec : Platform
    journal : Journal
    """

    def __init__(self, *, codec, journal):
        self._codec = codec
        self._journal = journal
        self._leaving = {}

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
        key = endpoint.id, endpoint.started_at_ms
        if self._codec.is_leaving(response.headers):
            if key not in self._leaving:
                self._journal.write(
                    "endpoint_leaves",
                    endpoint=endpoint.id,
                    status=response.status,
                )
            self._leaving[key] = True
            while len(self._leaving) > MAX_LEAVING:
                del self._leaving[next(iter(self._leaving))]


@kernel.plugin("notices", needs=("journal", "platform"))
async def notices(core):
    """Provide the `Notices`."""
    yield Notices(codec=core.part("platform"), journal=core.part("journal"))
