"""Connections to servers, and what their responses may make a process keep."""

import socket
import typing

import aiohttp
from aiohttp import client_proto

from sycamoreshed.buffering import sockets
from sycamoreshed.intake import allowance as allowances
from sycamoreshed.intake import heads
from sycamoreshed.intake import pacing
from sycamoreshed.intake import responses
from sycamoreshed.kernel import kernel

__all__ = ["Protocol", "Response", "ResponseIntake", "check_whole"]

# Share of a process's memory for heads of responses.
HEAD_SHARE = 0.0625
# Between checks whether a server has taken the rest of a request.
WRITE_POLL_S = 0.02
# A server that gives up a request after it has ended its side resets the
# connection within a few round trips and the time to clean up; deadlines of
# requests are longer.
EARLY_END_WAIT_S = 1.0


class ResponseIntake(typing.NamedTuple):
    """What the responses to all calls of a process share.

    Parameters
    ----------
    allowance : Allowance
        Memory of their heads.
    pacer : Pacer
        Processing time of bodies that consist mostly of framing.
    """

    allowance: allowances.Allowance
    pacer: pacing.Pacer

    @classmethod
    def of_memory(cls, memory_mb=None):
        """Return one for so much memory, or else that of the machine."""
        memory = allowances.memory_bytes(memory_mb)
        return cls(
            allowances.Allowance(max_bytes=int(memory * HEAD_SHARE)),
            pacing.Pacer(),
        )


class Protocol(client_proto.ResponseHandler):
    """A connection that bounds its input, and records whether it was reset.

    Notes
    -----
    If data and a reset arrive together, the event loop reports the data and
    then a plain end of file, and does not read the pending socket error.
    The error is therefore read here, while the socket is open.

    A server may begin a response before it has taken the whole request, and
    end it by ending its side of the connection.  Such a response is whole only
    if the server takes the rest of the request and does not reset the
    connection soon afterwards.

    The HTTP library has no public hooks for this; a test fails if the
    methods that are overridden here change.
    """

    def __init__(self, loop, *, intake):
        super().__init__(loop=loop)
        self._intake = intake
        self._is_request_written = False
        # Whether the head of a response without length or chunks came before
        # the request was taken.
        self._is_early = False
        # When an early response that has ended counts as whole.
        self._whole_at = None
        self.was_reset = False

    def set_response_params(self, **params):
        """Expect the response to a next request."""
        # It would be parsed before the parser is replaced.
        arrived, self._tail = self._tail, b""
        params["max_line_size"] = responses.MAX_HEAD_BYTES
        params["max_field_size"] = responses.MAX_HEAD_BYTES
        params["max_headers"] = heads.MAX_FIELDS
        super().set_response_params(**params)
        self._is_request_written = False
        self._is_early = False
        self._whole_at = None
        self._parser = responses.BoundedResponseParser(
            parser=self._parser,
            update=self._update_held,
            has_room=self._intake.allowance.has_room,
            pause=self._pause_for,
            report_unframed=self._record_unframed,
            # The connection is not used again.
            report_surplus=self.force_close,
        )
        self._tail = arrived
        self._drain_tail()

    def start_timeout(self):
        """Take note that the whole request was written."""
        self._is_request_written = True
        super().start_timeout()

    def eof_received(self):
        """Handle the end of the data from the peer."""
        self._check_reset()
        super().eof_received()
        if self.was_reset or not self._is_early:
            return False
        # The event loop leaves the connection open for writing.
        self._loop.call_later(WRITE_POLL_S, self._close_when_whole)
        return True

    def connection_lost(self, error):
        """Handle the end of the connection."""
        if error is not None:
            self.was_reset = True
        parser = self._parser
        super().connection_lost(error)
        if parser is not None:
            parser.close()

    def give_up_input(self):
        """Close a connection whose input takes too much memory."""
        self.set_exception(self._parser.refuse("no memory for the response"))
        if self.transport is not None:
            self.transport.close()

    def _update_held(self, waiting, in_progress):
        for each in self._intake.allowance.update(
            self, waiting=waiting, in_progress=in_progress
        ):
            each.give_up_input()

    def _pause_for(self, units):
        delay_s = self._intake.pacer.spend(units, self._loop.time())
        if delay_s <= 0:
            return False
        self._pause_reading_for_buffer()
        self._loop.call_later(delay_s, self._continue_reading, self._parser)
        return True

    def _continue_reading(self, parser):
        if self.transport is None or self._parser is not parser:
            return
        parser.resume()
        if not self._reading_paused:
            self.data_received(b"")
        if not parser.is_paced:
            self._resume_reading_for_buffer()

    def _check_reset(self):
        peer = self.transport.get_extra_info("socket")
        if peer.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.was_reset = True

    def _record_unframed(self):
        """Take note of the head of a response that ends its connection."""
        self._is_early = not self._is_request_taken()

    def _is_request_taken(self):
        """Return whether the peer has all that was to be sent."""
        if not self._is_request_written:
            return False
        if self.transport.get_write_buffer_size():
            return False
        try:
            return not sockets.queued_bytes(self.transport)
        except OSError:
            # `SlowReaders` reports it if the system does not tell.
            return True

    def _close_when_whole(self):
        if self.transport is None or self.transport.is_closing():
            return
        self._check_reset()
        if self.was_reset:
            self.transport.abort()
            return
        now = self._loop.time()
        if self._whole_at is None and self._is_request_taken():
            self._whole_at = now + EARLY_END_WAIT_S
        if self._whole_at is not None and now >= self._whole_at:
            self.transport.close()
        else:
            self._loop.call_later(WRITE_POLL_S, self._close_when_whole)


class Response(aiohttp.ClientResponse):
    """A response that keeps a reference to its connection's protocol.

    Notes
    -----
    The HTTP library releases a connection as soon as the body has ended,
    which may be before the head is returned.  `check_whole` needs to know
    afterwards how the connection ended.
    """

    protocol = None

    async def start(self, connection):
        """Read the head of the answer."""
        self.protocol = connection.protocol
        return await super().start(connection)


def check_whole(response):
    """Check that a response whose body was read to its end is whole.

    Parameters
    ----------
    response : Response

    Raises
    ------
    aiohttp.ClientPayloadError
        If it would have ended with its connection, which was reset.  The HTTP
        library accepts a reset as such an end.
    """
    is_framed = (
        "Content-Length" in response.headers
        or "Transfer-Encoding" in response.headers
    )
    if not is_framed and response.protocol.was_reset:
        raise aiohttp.ClientPayloadError("response without length was reset")


@kernel.plugin("response_intake")
async def response_intake(core):
    """Provide the `ResponseIntake` of all connections of a process."""
    yield ResponseIntake.of_memory(core.settings.memory_mb)
