"""HTTP client that sends requests to endpoints."""

import contextlib
import functools
import socket
import typing

import aiohttp
from aiohttp.helpers import DEFAULT_CHUNK_SIZE
import yarl

from sycamoreshed.adapters import bodies
from sycamoreshed.adapters import protocol
from sycamoreshed.adapters import web
from sycamoreshed.buffering import payloads
from sycamoreshed.buffering import sockets
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.kernel import timeouts

__all__ = ["EndpointClient", "FullAnswer", "open_client", "read_full"]

# A connection that is not established by then indicates a network partition.
CONNECT_S = 0.5
# A host that lost power or is partitioned sends no reset; without keepalive
# probes a stream would wait for its next event until its time limit.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000
# Bytes of an answer that are read ahead while its caller does not read, if
# this instance's memory is limited.  A single read may add what is in the
# socket's buffer.
READ_AHEAD_BYTES = 16 * 1024
# Maximum idle time of a pooled connection.  Endpoints close idle connections
# after a few seconds; under load a pooled connection is used several times a
# second.
MAX_IDLE_S = 2.0


class FullAnswer(typing.NamedTuple):
    """An answer with its full body."""

    status: int
    reason: str
    headers: typing.Any
    body: bytes


class EndpointClient:
    """Sends requests to endpoints.

    Each request has a connection of its own.  On a pooled connection a
    duplicate or late answer would be taken for the answer to the next
    request.  If the endpoint closed a pooled connection while a request was
    in transit, the outcome of that request would be unknown, and it could
    not be retried.  A new connection costs an endpoint about a millisecond.

    Idempotent calls whose answers carry no information use pooled
    connections, on which nothing else is sent.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Opens a connection for each request.
    pooled : aiohttp.ClientSession
        Reuses connections.
    saves_memory : bool
        Whether long bodies are sent in slices, as fast as they are read.
    """

    def __init__(self, *, session, pooled, saves_memory=False):
        self._session = session
        self._pooled = pooled
        self._saves_memory = saves_memory

    async def post_idempotent(
        self, address, target, headers, body, *, timeout_s
    ):
        """Send an idempotent call whose answer carries no information.

        The call uses a pooled connection.  Such calls, which free results,
        would otherwise account for a third of all connections to endpoints,
        and a new connection costs the endpoint a millisecond.

        Returns
        -------
        FullAnswer or Failure
        """
        for session in (self._pooled, self._session):
            response = await self._send(
                session, "POST", address, target, headers, body, timeout_s
            )
            if not isinstance(response, kinds.Failure):
                return await read_full(response, timeout_s=timeout_s)
            # The endpoint may have closed the pooled connection, which it may
            # do at any time: the call is retried on a new one unless it timed
            # out or was not sent.
            if response.kind is kinds.Kind.LATE or not response.sent:
                break
        return response

    async def send(
        self,
        method,
        address,
        target,
        headers,
        body,
        *,
        timeout_s,
        extend=None,
    ):
        """Send a request and return once the head of the answer arrives.

        Parameters
        ----------
        method, address, target : str
            The target is sent unchanged.
        headers : CIMultiDict
        body : bytes
        timeout_s : float
            Time limit for the head of the answer.
        extend : callable, optional
            See `timeouts.time_limit`.

        Returns
        -------
        aiohttp.ClientResponse or Failure
            The caller must close a response.
        """
        call = method, address, target, headers, body
        return await self._send(self._session, *call, timeout_s, extend)

    async def _send(
        self,
        session,
        method,
        address,
        target,
        headers,
        body,
        timeout_s,
        extend=None,
    ):
        try:
            url = yarl.URL(f"http://{address}{target}", encoded=True)
            # Parsed only when it is read.
            _ = url.port
        except ValueError as err:
            return _failure(kinds.Kind.REFUSED, err, sent=False)
        data = body or None
        if self._saves_memory and len(body) > payloads.SLICE_BYTES:
            data = payloads.SlicedPayload(body)
        try:
            async with timeouts.time_limit(
                max(timeout_s, 0.001), extend=extend
            ):
                return await session.request(
                    method,
                    url,
                    headers=headers,
                    data=data,
                    allow_redirects=False,
                    timeout=aiohttp.ClientTimeout(
                        total=None,
                        sock_connect=CONNECT_S,
                        ceil_threshold=web.CEIL_THRESHOLD_S,
                    ),
                )
        except web.NOT_SENT_ERRORS as err:
            return _failure(kinds.Kind.REFUSED, err, sent=False)
        except TimeoutError:
            return kinds.Failure(
                kinds.Kind.LATE, "no answer in time", sent=True
            )
        except (*web.TRANSPORT_ERRORS, ValueError) as err:
            return _failure(kinds.Kind.REFUSED, err, sent=True)


async def read_full(response, *, timeout_s, extend=None):
    """Read a response; return a `FullAnswer` or a `Failure`."""
    try:
        async with timeouts.time_limit(max(timeout_s, 0.001), extend=extend):
            body = await bodies.read(response)
    except TimeoutError:
        return kinds.Failure(kinds.Kind.LATE, "answer not whole", sent=True)
    except web.TRANSPORT_ERRORS as err:
        return _failure(kinds.Kind.REFUSED, err, sent=True)
    finally:
        response.close()
    return FullAnswer(
        response.status, response.reason or "", response.headers, body
    )


def _failure(kind, error, *, sent):
    return kinds.Failure(kind, web.describe(error), sent=sent)


def open_socket(address_info, *, buffer_bytes=None):
    """Return a socket that detects that the peer host is unreachable."""
    family, kind, proto, _, _ = address_info
    sock = socket.socket(family=family, type=kind, proto=proto)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    sockets.set_sizes(sock, buffer_bytes)
    return sock


@contextlib.asynccontextmanager
async def open_client(*, saves_memory=False, buffer_bytes=None, intake=None):
    """Open an `EndpointClient`; close its connections on exit.

    Parameters
    ----------
    saves_memory : bool
        Whether little is held in the buffers of connections.
    buffer_bytes : int, optional
        Size of each buffer of sockets.
    intake : ResponseIntake, optional
        Shared by the connections of a process.
    """
    intake = intake or protocol.ResponseIntake.of_memory()
    read_bufsize = READ_AHEAD_BYTES if saves_memory else DEFAULT_CHUNK_SIZE
    unpooled = web.Connector(
        intake=intake,
        limit=0,
        force_close=True,
        socket_factory=functools.partial(
            open_socket, buffer_bytes=buffer_bytes
        ),
    )
    pooling = web.Connector(
        intake=intake,
        limit=0,
        keepalive_timeout=MAX_IDLE_S,
        socket_factory=open_socket,
    )
    async with (
        _session(unpooled, read_bufsize) as session,
        _session(pooling, read_bufsize) as pooled,
    ):
        yield EndpointClient(
            session=session, pooled=pooled, saves_memory=saves_memory
        )


def _session(connector, read_bufsize):
    session = web.open_session(
        connector,
        read_bufsize=read_bufsize,
        auto_decompress=False,
        skip_auto_headers=(
            "Accept",
            "Accept-Encoding",
            "Content-Type",
            "User-Agent",
        ),
    )
    # The HTTP library sends a GET, PUT or DELETE again if its connection is
    # broken off, also a request that may run only once, and reports it as not
    # sent if the second connection fails.  It has no public option for it; a
    # test fails if this one changes.
    session._retry_connection = False
    return session


@kernel.plugin(
    "endpoint_client", needs=("response_intake", "socket_buffers", "sockets")
)
async def endpoint_client(core):
    """Provide the `EndpointClient`."""
    saves_memory = core.settings.memory_mb is not None
    async with open_client(
        saves_memory=saves_memory,
        buffer_bytes=core.part("socket_buffers"),
        intake=core.part("response_intake"),
    ) as client:
        yield client
