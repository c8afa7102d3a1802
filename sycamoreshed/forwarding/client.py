"""One request to an endpoint, on a connection of its own."""

import contextlib
import functools
import socket
import typing

import aiohttp
from aiohttp import client_proto
import yarl

from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.kernel import limits

__all__ = ["EndpointClient", "FullAnswer", "open_client", "read_full"]

# A connection that is not open by then is taken for a network partition.
CONNECT_S = 0.5
MAX_HEADER_BYTES = 32768
# An endpoint's host that lost power or is cut off sends no reset; without
# probes a stream would wait for its next event for ever.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000
# How long a kept connection may be idle.  Endpoints close theirs after a
# timeout of a few seconds; under load one is used several times a second.
KEPT_S = 2.0


class Protocol(client_proto.ResponseHandler):
    """A connection that tells whether the other side reset it.

    Notes
    -----
    Where bytes and a reset arrive together, the event loop reports the
    bytes and then a plain end, and never asks for the error that the
    socket holds.  So it is asked for here, while the socket is open.
    """

    was_reset = False

    def eof_received(self):
        """Take in the end of what the other side sends."""
        found = self.transport.get_extra_info("socket")
        if found.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.was_reset = True
        return super().eof_received()

    def connection_lost(self, error):
        """Take in the end of the connection."""
        if error is not None:
            self.was_reset = True
        super().connection_lost(error)


class Connector(web.Connector):
    """Opens connections that tell how they ended; see `Protocol`."""

    def __init__(self, **more):
        super().__init__(**more)
        # The HTTP library has no public place for it; a test fails if
        # this one changes.
        self._factory = functools.partial(Protocol, loop=self._loop)


class Response(aiohttp.ClientResponse):
    """A response that still knows its connection when it is whole.

    Notes
    -----
    The HTTP library lets go of a connection as soon as the body has
    ended, which it may have when the head is handed out.  How the
    connection ended is then needed still; see `was_reset`.
    """

    protocol = None

    async def start(self, connection):
        """Read the head of the answer."""
        self.protocol = connection.protocol
        return await super().start(connection)


class FullAnswer(typing.NamedTuple):
    """An answer with its whole body."""

    status: int
    reason: str
    headers: typing.Any
    body: bytes


class EndpointClient:
    """Sends requests to endpoints.

    Each request has a connection of its own.  On a kept one an answer
    that comes twice, or late, would stand where the next request's is
    expected, and a connection that the endpoint closes while a request is
    on its way leaves open whether that request ran, which may then not be
    sent again.  A new connection costs an endpoint about a millisecond.

    Calls whose answers tell nothing and that may be repeated have kept
    connections, on which nothing else is sent.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Opens a connection for each request.
    kept : aiohttp.ClientSession
        Keeps connections.
    """

    def __init__(self, *, session, kept):
        self._session = session
        self._kept = kept

    async def post_idempotent(
        self, address, target, headers, body, *, timeout_s
    ):
        """Send a call that may be repeated and whose answer tells nothing.

        A third of all connections to endpoints were opened to free
        results; each costs the endpoint a millisecond of its time.

        Returns
        -------
        FullAnswer or Failure
        """
        for session in (self._kept, self._session):
            response = await self._send(
                session, "POST", address, target, headers, body, timeout_s
            )
            # An endpoint may close a kept connection at any time; then the
            # call is sent once more on a new one.
            if not isinstance(response, kinds.Failure):
                return await read_full(response, timeout_s=timeout_s)
            if response.kind is kinds.Kind.LATE or not response.sent:
                break
        return response

    async def send(self, method, address, target, headers, body, *, timeout_s):
        """Send a request and return the answer once its head is there.

        Parameters
        ----------
        method, address, target : str
            The target is sent as it is.
        headers : CIMultiDict
        body : bytes
        within : float
            Seconds until the head must have come.

        Returns
        -------
        aiohttp.ClientResponse or Failure
            A response must be closed.
        """
        return await self._send(
            self._session, method, address, target, headers, body, timeout_s
        )

    async def _send(
        self, session, method, address, target, headers, body, timeout_s
    ):
        url = yarl.URL(f"http://{address}{target}", encoded=True)
        try:
            async with limits.limit(max(timeout_s, 0.001)):
                return await session.request(
                    method,
                    url,
                    headers=headers,
                    data=body or None,
                    allow_redirects=False,
                    timeout=aiohttp.ClientTimeout(
                        total=None,
                        sock_connect=CONNECT_S,
                        ceil_threshold=web.NO_ROUNDING_S,
                    ),
                )
        except web.NOT_SENT as err:
            return _failure(kinds.Kind.REFUSED, err, sent=False)
        except TimeoutError:
            return kinds.Failure(
                kinds.Kind.LATE, "no answer in time", sent=True
            )
        except (*web.ERRORS, ValueError) as err:
            return _failure(kinds.Kind.REFUSED, err, sent=True)


async def read_full(response, *, timeout_s):
    """Return the `FullAnswer` of a response, or a `Failure`."""
    try:
        async with limits.limit(max(timeout_s, 0.001)):
            body = await response.read()
    except TimeoutError:
        return kinds.Failure(kinds.Kind.LATE, "answer not whole", sent=True)
    except web.ERRORS as err:
        return _failure(kinds.Kind.REFUSED, err, sent=True)
    finally:
        response.close()
    if was_reset(response):
        return kinds.Failure(
            kinds.Kind.REFUSED, "answer without length was reset", sent=True
        )
    return FullAnswer(
        response.status, response.reason or "", response.headers, body
    )


def was_reset(response):
    """Return whether an answer that ends with its connection was cut.

    Notes
    -----
    Without length and chunks the end of the connection is the end of the
    answer.  The HTTP library takes a reset for such an end as well, so a
    caller would get the first half of an answer as if it were whole.
    """
    framed = (
        "Content-Length" in response.headers
        or "Transfer-Encoding" in response.headers
    )
    return not framed and response.protocol.was_reset


def _failure(kind, error, *, sent):
    return kinds.Failure(kind, web.describe(error), sent=sent)


def open_socket(address_info):
    """Return a socket that notices when the other host is gone."""
    family, kind, proto, _, _ = address_info
    opened = socket.socket(family=family, type=kind, proto=proto)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        opened.setsockopt(socket.IPPROTO_TCP, option, value)
    return opened


@contextlib.asynccontextmanager
async def open_client():
    """Open an `EndpointClient`; close its connections at the end."""
    each = Connector(limit=0, force_close=True, socket_factory=open_socket)
    keeping = Connector(
        limit=0, keepalive_timeout=KEPT_S, socket_factory=open_socket
    )
    async with _session(each) as session, _session(keeping) as kept:
        yield EndpointClient(session=session, kept=kept)


def _session(connector):
    return aiohttp.ClientSession(
        connector=connector,
        response_class=Response,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
        skip_auto_headers=(
            "Accept",
            "Accept-Encoding",
            "Content-Type",
            "User-Agent",
        ),
    )


@kernel.plugin("endpoint_client", needs=("sockets",))
async def endpoint_client(core):
    """Provide the client of endpoints."""
    async with open_client() as client:
        yield client
