"""Sends answers to callers while they arrive."""

from aiohttp import web

__all__ = ["Sink"]


class Sink:
    """Sends an answer in parts to a caller.

    Parameters
    ----------
    http : aiohttp.web.BaseRequest
    codec : Platform
    should_close : callable
        Returns whether to close the connection after the response.
    peer : Peer
        The caller.
    patience_s : float
        Seconds after which a caller that reads nothing is given up.
    """

    def __init__(self, *, http, codec, should_close, peer, patience_s):
        self._http = http
        self._codec = codec
        self._should_close = should_close
        self._patience_s = patience_s
        self.peer = peer
        self.response = None
        self.on_begin = None

    @property
    def has_begun(self):
        """Whether a part of the response may have been sent."""
        return self.response is not None and self.response.prepared

    async def begin(self, answer, *, length=None):
        """Send the head of an endpoint's answer.

        Parameters
        ----------
        answer : aiohttp.ClientResponse or FullAnswer
        length : int, optional
            Bytes of the body, if they are known.
        """
        headers = self._codec.response_headers(answer.headers)
        self.response = web.StreamResponse(
            status=answer.status, reason=answer.reason, headers=headers
        )
        if length is not None:
            self.response.content_length = length
        if self._should_close():
            self.response.force_close()
        await self.response.prepare(self._http)
        if self.on_begin is not None:
            self.on_begin()

    async def send(self, data, *, patience_s=None):
        """Send a part of the body."""
        if patience_s is None:
            patience_s = self._patience_s
        await self.peer.write(self.response, data, patience_s=patience_s)

    async def end(self, *, patience_s):
        """Send the end of the body, and wait until the caller reads it."""
        await self.peer.write_eof(self.response, patience_s=patience_s)
