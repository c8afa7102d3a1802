"""The HTTP client session of a daemon, and JSON requests over it."""

import functools
import types
import typing

import aiohttp
import msgspec
import yarl

from sycamoreshed.adapters import bodies
from sycamoreshed.adapters import decoding
from sycamoreshed.adapters import protocol
from sycamoreshed.errors import kinds
from sycamoreshed.intake import allowance as allowances
from sycamoreshed.kernel import kernel
from sycamoreshed.kernel import timeouts

__all__ = [
    "TRANSPORT_ERRORS",
    "NOT_SENT_ERRORS",
    "Connector",
    "Reply",
    "describe",
    "fetch",
    "open_session",
    "url_of",
    "client_timeout",
]

# Errors raised before the first byte of a request can have been sent.
NOT_SENT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
)
# The event loop raises `RuntimeError` for a socket that it cannot use.
TRANSPORT_ERRORS = (aiohttp.ClientError, OSError, RuntimeError)
# A connection that takes longer to open counts as a network partition;
# nothing was sent, so the remaining time can be spent on another endpoint.
CONNECT_TIMEOUT_S = 1.0
# aiohttp rounds timeouts above this threshold up to whole seconds, which
# would let a call outlast its request's deadline; no timeout is as long.
CEIL_THRESHOLD_S = 1e9
MAX_CACHED_URLS = 4096
JSON_HEADERS = {"Content-Type": "application/json"}


class Connector(aiohttp.TCPConnector):
    """Connector that reuses only connections that are likely to work.

    Parameters
    ----------
    intake : ResponseIntake, optional
        Shared by the connectors of a process.
    **options
        As for `aiohttp.TCPConnector`.

    Notes
    -----
    Connections may stop carrying data without an end.  Once a call timed out,
    the idle connections to its server are closed: they may have the same
    fault, and each would cost a call until its own time limit.

    A connection is not reused if data came while it was idle.  If an answer
    is sent twice, and the second copy arrives after the connection was
    returned to the pool, it would be read as the answer to the next request
    on that connection, and each later answer as that of the request after
    it.  Answers to stage calls carry the ids of their call, so they would all
    be dropped as stray; for other requests the error would go unnoticed.
    """

    def __init__(self, *, intake=None, **options):
        super().__init__(**options)
        # The HTTP library has no public attribute for the protocol class; a
        # test fails if this one changes.
        self._factory = functools.partial(
            protocol.Protocol,
            self._loop,
            intake=intake or protocol.ResponseIntake.of_memory(),
        )

    async def _get(self, key, traces):
        connection = await super()._get(key, traces)
        while connection is not None and connection.protocol.should_close:
            connection.close()
            connection = await super()._get(key, traces)
        return connection

    def close_idle(self, address):
        """Close the idle connections to an ``IP:port`` address."""
        url = url_of(address, "/")
        # The HTTP library has no public way to the idle connections.
        for key in list(self._conns):
            if (key.host, key.port) == (url.host, url.port):
                for each, _ in self._conns.pop(key):
                    each.close()


class Reply(typing.NamedTuple):
    """A full HTTP answer.

    Parameters
    ----------
    status : int
    body : object
        Decoded JSON, or None.
    size : int
        Bytes of the body.
    sent_size : int
        Bytes of the request's body.
    headers : mapping of str to str
    """

    status: int
    body: typing.Any
    size: int
    sent_size: int = 0
    headers: typing.Mapping = types.MappingProxyType({})


async def fetch(session, method, address, path, *, timeout, body=None):
    """Send one request and return the full answer.

    Parameters
    ----------
    session : aiohttp.ClientSession
    method : str
    address : str
        ``IP:port``.
    path : str
    timeout : float
        Seconds, from connecting to the end of the answer.
    body : object, optional
        Sent as JSON.

    Returns
    -------
    Reply or Failure
        A failure is of kind ``late`` if the time limit passed, else of
        kind ``refused``; its ``sent`` tells whether the request may have
        reached the server.
    """
    data = b"" if body is None else msgspec.json.encode(body)
    try:
        async with (
            timeouts.time_limit(max(timeout, 0.001)),
            session.request(
                method,
                url_of(address, path),
                data=data,
                headers=JSON_HEADERS,
                timeout=client_timeout(None),
                # Redirects with status 307 or 308 would make aiohttp send
                # the request again, even one that must not be repeated.
                allow_redirects=False,
            ) as response,
        ):
            raw = await bodies.read(response)
            decoded = decoding.decode(raw) if raw else None
            return Reply(
                response.status,
                decoded,
                len(raw),
                len(data),
                response.headers,
            )
    except NOT_SENT_ERRORS as err:
        return kinds.Failure(kinds.Kind.REFUSED, describe(err), sent=False)
    except TimeoutError:
        if isinstance(session.connector, Connector):
            session.connector.close_idle(address)
        return kinds.Failure(kinds.Kind.LATE, "no answer in time", sent=True)
    except TRANSPORT_ERRORS as err:
        return kinds.Failure(kinds.Kind.REFUSED, describe(err), sent=True)
    except (msgspec.DecodeError, ValueError) as err:
        return kinds.Failure(kinds.Kind.REFUSED, describe(err), sent=True)


def open_session(connector, **options):
    """Return a client session on a `Connector`.

    Parameters
    ----------
    connector : Connector
    **options
        As for `aiohttp.ClientSession`.
    """
    return aiohttp.ClientSession(
        connector=connector,
        response_class=protocol.Response,
        # A cookie set by an endpoint would be sent with other callers' calls.
        cookie_jar=aiohttp.DummyCookieJar(),
        **options,
    )


@functools.lru_cache(maxsize=MAX_CACHED_URLS)
def url_of(address, path):
    """Return the URL of a path; cached to save parsing it in each call."""
    return yarl.URL(f"http://{address}{path}")


def client_timeout(seconds):
    """Return aiohttp timeouts with a total of `seconds`, or no total."""
    return aiohttp.ClientTimeout(
        total=None if seconds is None else max(seconds, 0.001),
        sock_connect=CONNECT_TIMEOUT_S,
        ceil_threshold=CEIL_THRESHOLD_S,
    )


def describe(error):
    """Return the type and the message of an exception."""
    return f"{type(error).__name__}: {error}"


@kernel.plugin("web", needs=("response_intake", "sockets"))
async def web(core):
    """Provide the client session shared by all adapters.

    Notes
    -----
    Connections are bound to the instance's own address, so that an
    intermediary can identify the instance that opened them.  The listening
    sockets are bound first, as a connection could take one of their ports.
    """
    memory = allowances.memory_bytes(core.settings.memory_mb)
    bodies.set_memory(memory)
    decoding.set_memory(memory)
    host, _, _ = core.settings.control.rpartition(":")
    connector = Connector(
        intake=core.part("response_intake"),
        limit=0,
        keepalive_timeout=30,
        local_addr=(host.strip("[]"), 0),
    )
    async with open_session(
        connector,
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
    ) as session:
        yield session
