"""Server-sent events for streamed answers."""

from aiohttp import web

__all__ = ["EventStream"]


class EventStream:
    """One streamed answer.

    Notes
    -----
    The library for server-sent events beside aiohttp takes only GET; a
    call has a body, so the three lines of an event are written here.
    """

    def __init__(self):
        self._response = web.StreamResponse(
            headers={"Cache-Control": "no-cache"}
        )
        self._response.content_type = "text/event-stream"

    async def prepare(self, http):
        """Send the head of the answer."""
        await self._response.prepare(http)

    async def token(self, offset, token):
        """Send one token."""
        await self.send("token", token, number=offset)

    async def send(self, event, data, *, number=None):
        """Send one event.

        Parameters
        ----------
        event : str
        data : str
            May have several lines.
        number : int, optional
            Sent as ``id``.
        """
        lines = [f"event: {event}"]
        if number is not None:
            lines.append(f"id: {number}")
        lines += [f"data: {line}" for line in data.split("\n")]
        text = "\n".join(lines) + "\n\n"
        await self._response.write(text.encode())

    async def end(self):
        """End the answer and return it to aiohttp."""
        await self._response.write_eof()
        return self._response
