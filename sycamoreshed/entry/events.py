"""Server-sent events for streamed answers."""

from aiohttp import web
import msgspec

__all__ = ["EventStream", "event"]

_encode = msgspec.json.Encoder().encode


def event(name, body, *, number=None):
    r"""Return one event as bytes.

    Parameters
    ----------
    name : str
    body : object
        Sent as JSON.
    number : int, optional
        Sent as ``id``.

    Notes
    -----
    A token may hold line ends of any kind; written as it is, a carriage
    return would end the line and the rest would be lost to the caller.
    JSON escapes them.

    Examples
    --------
    >>> event("token", {"token": "a\r\n"}, number=3)
    b'event: token\nid: 3\ndata: {"token":"a\\r\\n"}\n\n'
    """
    head = f"event: {name}\n"
    if number is not None:
        head += f"id: {number}\n"
    return head.encode() + b"data: " + _encode(body) + b"\n\n"


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
        await self.send("token", {"token": token}, number=offset)

    async def send(self, name, body, *, number=None):
        """Send one event; see `event`."""
        await self._response.write(event(name, body, number=number))

    async def end(self):
        """End the answer and return it to aiohttp."""
        await self._response.write_eof()
        return self._response
