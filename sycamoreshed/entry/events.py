"""Server-sent events for streamed answers."""

from aiohttp import web
import msgspec

__all__ = ["EventStream", "encode_event"]

_encode = msgspec.json.Encoder().encode


def encode_event(name, body, *, number=None):
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
    A token may contain any line end.  Unescaped, a carriage return would
    end the line and the caller would lose the rest; JSON escapes them.

    Examples
    --------
    >>> encode_event("token", {"token": "a\r\n"}, number=3)
    b'event: token\nid: 3\ndata: {"token":"a\\r\\n"}\n\n'
    """
    head = f"event: {name}\n"
    if number is not None:
        head += f"id: {number}\n"
    return head.encode() + b"data: " + _encode(body) + b"\n\n"


class EventStream:
    """A streamed answer.

    Notes
    -----
    The server-sent events library for aiohttp supports only GET.  A call
    has a body, so the few lines of an event are encoded here.
    """

    def __init__(self):
        self._response = web.StreamResponse(
            headers={"Cache-Control": "no-cache"}
        )
        self._response.content_type = "text/event-stream"

    async def prepare(self, http):
        """Send status and headers of the answer."""
        await self._response.prepare(http)

    async def send_token(self, offset, token):
        """Send one token."""
        await self.send("token", {"token": token}, number=offset)

    async def send(self, name, body, *, number=None):
        """Send one event; see `encode_event`."""
        await self._response.write(encode_event(name, body, number=number))

    async def end(self):
        """End the answer and return its response."""
        await self._response.write_eof()
        return self._response
