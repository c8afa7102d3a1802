"""The one HTTP client of a daemon, and JSON over it."""

import functools
import typing

import aiohttp
import msgspec
import yarl

from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.kernel import timeouts

__all__ = [
    "TRANSPORT_ERRORS",
    "NOT_SENT_ERRORS",
    "Connector",
    "Reply",
    "describe",
    "fetch",
    "url_of",
    "client_timeout",
]

# Errors raised before a request's first byte can have left.
NOT_SENT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
)
TRANSPORT_ERRORS = (aiohttp.ClientError, OSError)
# A connection that is not open by then is taken for a network partition;
# nothing was sent, so the time left can go to another endpoint.
CONNECT_TIMEOUT_S = 1.0
# aiohttp rounds timeouts above its threshold up to whole seconds, which
# would let a call outlive its request's deadline.
CEIL_THRESHOLD_S = 1e9
MAX_CACHED_URLS = 4096
JSON_HEADERS = {"Content-Type": "application/json"}


class Connector(aiohttp.TCPConnector):
    """Connections, reused only if nothing came on them while idle.

    Notes
    -----
    An answer that comes twice, the second time after its connection was
    given back, would be taken for the answer to the next request on that
    connection, and each answer after it for that of the next one.  Stage
    calls name what they answer, so theirs would all be dropped as stray;
    of other requests nobody would notice.
    """

    async def _get(self, key, traces):
        connection = await super()._get(key, traces)
        while connection is not None and connection.protocol.should_close:
            connection.close()
            connection = await super()._get(key, traces)
        return connection


class Reply(typing.NamedTuple):
    """An HTTP answer, whole.

    Parameters
    ----------
    status : int
    body : object
        Decoded JSON, or None.
    size : int
        Bytes of the body.
    sent_size : int
        Bytes of the request's body.
    """

    status: int
    body: typing.Any
    size: int
    sent_size: int = 0


async def fetch(session, method, address, path, *, timeout, body=None):
    """Send one request and return the whole answer.

    Parameters
    ----------
    session : aiohttp.ClientSession
    method : str
    address : str
        ``IP:port``.
    path : str
    timeout : float
        Seconds for all of it.
    body : object, optional
        Sent as JSON.

    Returns
    -------
    Reply or Failure
        A failure is of kind ``late`` if the time passed, else of kind
        ``refused``; its ``sent`` tells whether the request may have
        reached the other side.
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
                # A redirect of the kinds 307 and 308 would make aiohttp
                # send a call that may not be repeated a second time.
                allow_redirects=False,
            ) as response,
        ):
            raw = await response.read()
            decoded = msgspec.json.decode(raw) if raw else None
            return Reply(response.status, decoded, len(raw), len(data))
    except NOT_SENT_ERRORS as err:
        return kinds.Failure(kinds.Kind.REFUSED, describe(err), sent=False)
    except TimeoutError:
        return kinds.Failure(kinds.Kind.LATE, "no answer in time", sent=True)
    except TRANSPORT_ERRORS as err:
        return kinds.Failure(kinds.Kind.REFUSED, describe(err), sent=True)
    except msgspec.DecodeError as err:
        return kinds.Failure(kinds.Kind.REFUSED, describe(err), sent=True)


@functools.lru_cache(maxsize=MAX_CACHED_URLS)
def url_of(address, path):
    """Return the URL of a path; parsing it anew costs each call."""
    return yarl.URL(f"http://{address}{path}")


def client_timeout(seconds):
    """Return the timeout of a call that may take `seconds`, or any time."""
    return aiohttp.ClientTimeout(
        total=None if seconds is None else max(seconds, 0.001),
        sock_connect=CONNECT_TIMEOUT_S,
        ceil_threshold=CEIL_THRESHOLD_S,
    )


def describe(error):
    """Return a short text for an exception."""
    return f"{type(error).__name__}: {error}"


@kernel.plugin("web", needs=("sockets",))
async def web(core):
    """Provide the client session shared by all adapters.

    Notes
    -----
    Connections leave from the instance's own address, so that what is
    between instances can tell where they come from.
    """
    host, _, _ = core.settings.control.rpartition(":")
    connector = Connector(
        limit=0,
        keepalive_timeout=30,
        local_addr=(host.strip("[]"), 0),
    )
    async with aiohttp.ClientSession(
        connector=connector,
        # Endpoints set no cookies that another caller's call may carry.
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
    ) as session:
        yield session
