"""Control of model engines: state, orders, load, cache events, KV cache.

The protocol of stage calls is in `sycamoreshed.adapters.endpoints`; this
module has the other interfaces of engines.
"""

import typing

import msgspec

from sycamoreshed.adapters import bodies
from sycamoreshed.adapters import decoding
from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.kernel import timeouts

__all__ = ["Engines", "Order", "Outdated", "State", "Target"]

CONFLICT = 409
# Bytes counted for the request line, status line and headers of a call.
HEADER_BYTES = 330


class Target(typing.TypedDict):
    """The model, adapters and role that an engine should have loaded."""

    model: str
    version: str
    adapters: list[str]
    role: str


class State(typing.NamedTuple):
    """The state that an engine reports.

    Parameters
    ----------
    loaded : Target or None
    loading : Target or None
        Target whose load is in progress.
    serving : bool
        Whether it accepts stage calls now.
    fence : int
        Highest fencing number received; zero before the first order.
    config : int
        Configuration version of the last order accepted.
    """

    loaded: Target | None
    loading: Target | None = None
    serving: bool = True
    fence: int = 0
    config: int = 0


class Order(typing.TypedDict):
    """An order to load a target, or to unload if it is None."""

    fence: int
    config: int
    target: Target | None


class Outdated(typing.NamedTuple):
    """The engine rejected an order: it has received a higher ``fence``."""

    fence: int


class Engines:
    """Client of the control interface of engines.

    Parameters
    ----------
    session : aiohttp.ClientSession
    traffic : prometheus_client.Counter
        Bytes of control calls that were answered.
    """

    def __init__(self, *, session, traffic):
        self._session = session
        self._traffic = traffic

    async def state(self, endpoint, *, timeout):
        """Read the state of an engine.

        Returns
        -------
        State or Failure
        """
        reply = await self._request(endpoint, "GET", "/state", timeout=timeout)
        if isinstance(reply, kinds.Failure):
            return reply
        return _convert(reply, State)

    async def send_order(self, endpoint, order, *, timeout, is_allowed):
        """Send an order.

        Parameters
        ----------
        endpoint : Endpoint
        order : Order
        timeout : float
            Seconds.
        is_allowed : callable
            Takes no arguments; called just before the body is sent, which
            happens only if it returns true.

        Returns
        -------
        True, Outdated or Failure
            A failure with ``sent`` true means that the order may have
            taken effect or may do so later; one of kind ``lease-lost``
            means that the order was not sent.

        Notes
        -----
        A connection is opened between the decision on an order and its
        first byte, and the process may be paused there.  It could resume
        after its lease has expired and overwrite the orders of the next
        holder.  So `is_allowed` checks the lease again when the body is
        written.
        """
        denied = False

        async def body():
            nonlocal denied
            if not is_allowed():
                denied = True
                raise OSError("the lease lapsed before the order left")
            yield msgspec.json.encode(order)

        try:
            async with (
                timeouts.time_limit(timeout),
                self._session.post(
                    f"http://{endpoint.address}/orders",
                    data=body(),
                    headers=web.JSON_HEADERS,
                    timeout=web.client_timeout(None),
                    allow_redirects=False,
                ) as response,
            ):
                raw = await bodies.read(response)
        except web.NOT_SENT_ERRORS as err:
            return kinds.Failure(kinds.Kind.REFUSED, web.describe(err))
        except TimeoutError:
            return kinds.Failure(
                kinds.Kind.LATE, "no answer in time", sent=True
            )
        except web.TRANSPORT_ERRORS as err:
            reason = web.describe(err)
            if denied:
                return kinds.Failure(kinds.Kind.LEASE_LOST, reason)
            return kinds.Failure(kinds.Kind.REFUSED, reason, sent=True)
        size = len(msgspec.json.encode(order)) + len(raw)
        self._traffic.inc(HEADER_BYTES + size)
        return _order_outcome(response.status, raw)

    async def read_load(self, endpoint, *, timeout):
        """Read an engine's load report, which is delayed; dict or Failure."""
        reply = await self._request(endpoint, "GET", "/load", timeout=timeout)
        return _body_of(reply)

    async def cache_events(self, endpoint, *, after, timeout):
        """Read changes of the prefix cache; reports are delayed and have gaps.

        Parameters
        ----------
        endpoint : Endpoint
        after : int
            Sequence number of the last event received.
        timeout : float

        Returns
        -------
        list of dict, or Failure
        """
        path = f"/cache-events?after={after}"
        body = _body_of(
            await self._request(endpoint, "GET", path, timeout=timeout)
        )
        return body if isinstance(body, kinds.Failure) else body["events"]

    async def kv_export(self, endpoint, prefix, *, timeout):
        """Make an engine export the KV cache of a prefix; dict or Failure."""
        return await self._kv(endpoint, "export", prefix, timeout)

    async def kv_import(self, endpoint, prefix, *, timeout):
        """Make an engine import the KV cache of a prefix; dict or Failure."""
        return await self._kv(endpoint, "import", prefix, timeout)

    async def _kv(self, endpoint, action, prefix, timeout):
        reply = await self._request(
            endpoint,
            "POST",
            f"/kv/{action}",
            timeout=timeout,
            body={"prefix": prefix},
        )
        return _body_of(reply)

    async def _request(self, endpoint, method, path, *, timeout, body=None):
        reply = await web.fetch(
            self._session,
            method,
            endpoint.address,
            path,
            timeout=timeout,
            body=body,
        )
        if isinstance(reply, kinds.Failure):
            return reply
        self._traffic.inc(HEADER_BYTES + reply.size + reply.sent_size)
        if reply.status != 200:
            return kinds.Failure(
                kinds.Kind.STAGE_FAILED, f"status {reply.status}", sent=True
            )
        return reply


def _order_outcome(status, raw):
    if status == CONFLICT:
        try:
            return Outdated(decoding.decode(raw)["fence"])
        except (msgspec.DecodeError, KeyError, TypeError) as err:
            return kinds.Failure(kinds.Kind.REFUSED, web.describe(err))
    if status != 200:
        return kinds.Failure(
            kinds.Kind.STAGE_FAILED, f"status {status}", sent=True
        )
    return True


def _body_of(reply):
    return reply if isinstance(reply, kinds.Failure) else reply.body


def _convert(reply, kind):
    """Convert the body to `kind`; an engine may send anything."""
    fields = reply.body if isinstance(reply.body, dict) else {}
    values = [
        fields.get(name, kind._field_defaults.get(name))
        for name in kind._fields
    ]
    try:
        if "loaded" not in fields:
            raise msgspec.ValidationError("no `loaded`")
        return msgspec.convert(values, kind)
    except msgspec.ValidationError as err:
        return kinds.Failure(
            kinds.Kind.STAGE_FAILED, web.describe(err), sent=True
        )


@kernel.plugin("engines", needs=("metrics", "web"))
async def engines(core):
    """Provide the client of the control interface of engines."""
    traffic = core.part("metrics").control_bytes.labels("orders")
    yield Engines(session=core.part("web"), traffic=traffic)
