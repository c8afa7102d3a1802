"""Control of model engines: state, orders, load, cache events, KV cache.

The wire of stage calls is in `sycamoreshed.adapters.endpoints`; here is
what engines offer beside it.
"""

import typing

import msgspec

from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.kernel import timeouts

__all__ = ["Engines", "Order", "Outdated", "State", "Target"]

CONFLICT = 409
# Request and status lines with headers, both ways.
LINES_BYTES = 330


class Target(typing.TypedDict):
    """What an engine is to have loaded."""

    model: str
    version: str
    adapters: list[str]
    role: str


class State(typing.NamedTuple):
    """What an engine reports of itself.

    Parameters
    ----------
    loaded : Target or None
    loading : Target or None
        What it is on the way to.
    serving : bool
        Whether it takes stage calls now.
    fence : int
        Highest fencing number met; zero before the first order.
    config : int
        Configuration version of the last order taken.
    """

    loaded: Target | None
    loading: Target | None = None
    serving: bool = True
    fence: int = 0
    config: int = 0


class Order(typing.TypedDict):
    """An order: the wanted end, or None to unload."""

    fence: int
    config: int
    target: Target | None


class Outdated(typing.NamedTuple):
    """The engine refused an order: it has met a higher number."""

    fence: int


class Engines:
    """Client of the engines' control interface.

    Parameters
    ----------
    session : aiohttp.ClientSession
    traffic : prometheus_client.Counter
        Bytes of control traffic.
    """

    def __init__(self, *, session, traffic):
        self._session = session
        self._traffic = traffic

    async def state(self, endpoint, *, timeout):
        """Read back what an engine has loaded.

        Returns
        -------
        State or Failure
        """
        reply = await self._ask(endpoint, "GET", "/state", timeout=timeout)
        if isinstance(reply, kinds.Failure):
            return reply
        return _checked(reply, State)

    async def send_order(self, endpoint, order, *, timeout, is_allowed):
        """Send an order.

        Parameters
        ----------
        endpoint : Endpoint
        order : Order
        timeout : float
            Seconds.
        is_allowed : callable
            Without arguments; asked when the body is about to leave.

        Returns
        -------
        True, Outdated or Failure
            A failure with ``sent`` true means that the order may have
            taken effect or may do so later; of kind ``lease-lost``, that
            it did not leave.

        Notes
        -----
        Between deciding on an order and its first byte lies the opening
        of a connection, and the process may be paused there.  It would
        go on after its lease and overwrite what its successor ordered.
        So the lease is asked once more by whoever writes the body.
        """
        lapsed = False

        async def body():
            nonlocal lapsed
            if not is_allowed():
                lapsed = True
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
                raw = await response.read()
        except web.NOT_SENT_ERRORS as err:
            return kinds.Failure(kinds.Kind.REFUSED, web.describe(err))
        except TimeoutError:
            return kinds.Failure(
                kinds.Kind.LATE, "no answer in time", sent=True
            )
        except web.TRANSPORT_ERRORS as err:
            reason = web.describe(err)
            if lapsed:
                return kinds.Failure(kinds.Kind.LEASE_LOST, reason)
            return kinds.Failure(kinds.Kind.REFUSED, reason, sent=True)
        size = len(msgspec.json.encode(order)) + len(raw)
        self._traffic.inc(LINES_BYTES + size)
        return _order_outcome(response.status, raw)

    async def load(self, endpoint, *, timeout):
        """Read an engine's lagging load report; dict or Failure."""
        reply = await self._ask(endpoint, "GET", "/load", timeout=timeout)
        return _body(reply)

    async def cache_events(self, endpoint, *, after, timeout):
        """Read changes of the prefix cache, late and with gaps.

        Parameters
        ----------
        endpoint : Endpoint
        after : int
            Sequence number of the last event known.
        timeout : float

        Returns
        -------
        list of dict, or Failure
        """
        path = f"/cache-events?after={after}"
        body = _body(await self._ask(endpoint, "GET", path, timeout=timeout))
        return body if isinstance(body, kinds.Failure) else body["events"]

    async def kv_export(self, endpoint, prefix, *, timeout):
        """Ask for the KV cache of a prefix; dict or Failure."""
        return await self._kv(endpoint, "export", prefix, timeout)

    async def kv_import(self, endpoint, prefix, *, timeout):
        """Hand over the KV cache of a prefix; dict or Failure."""
        return await self._kv(endpoint, "import", prefix, timeout)

    async def _kv(self, endpoint, what, prefix, timeout):
        reply = await self._ask(
            endpoint,
            "POST",
            f"/kv/{what}",
            timeout=timeout,
            body={"prefix": prefix},
        )
        return _body(reply)

    async def _ask(self, endpoint, method, path, *, timeout, body=None):
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
        self._traffic.inc(LINES_BYTES + reply.size + reply.sent_size)
        if reply.status != 200:
            return kinds.Failure(
                kinds.Kind.STAGE_FAILED, f"status {reply.status}", sent=True
            )
        return reply


def _order_outcome(status, raw):
    if status == CONFLICT:
        try:
            return Outdated(msgspec.json.decode(raw)["fence"])
        except (msgspec.DecodeError, KeyError, TypeError) as err:
            return kinds.Failure(kinds.Kind.REFUSED, web.describe(err))
    if status != 200:
        return kinds.Failure(
            kinds.Kind.STAGE_FAILED, f"status {status}", sent=True
        )
    return True


def _body(reply):
    return reply if isinstance(reply, kinds.Failure) else reply.body


def _checked(reply, kind):
    """Return the body as `kind`; an engine may answer anything."""
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
    """Provide the client of the engines' control interface."""
    traffic = core.part("metrics").control_bytes.labels("orders")
    yield Engines(session=core.part("web"), traffic=traffic)
