"""Builders of requests, and endpoints that answer by a script."""

import typing

import aiohttp
import multidict

from sycamoreshed.catalog import evacuations
from sycamoreshed.catalog import routes
from sycamoreshed.catalog import types
from sycamoreshed.engineload import ledger as ledgers
from sycamoreshed.engineload import speeds
from sycamoreshed.engineload import view as views
from sycamoreshed.engineload import wiring
from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import engineloads
from sycamoreshed.forwarding import engineroom
from sycamoreshed.forwarding import health
from sycamoreshed.forwarding import parts as shared
from sycamoreshed.forwarding import placement
from sycamoreshed.forwarding import requests
from sycamoreshed.gateway import metrics
from sycamoreshed.intake import pacing
from sycamoreshed.platform import calls
from sycamoreshed.platform import names
from sycamoreshed.platform import platform
from sycamoreshed.residency import residency
from sycamoreshed.stopping import deadline
from sycamoreshed.stopping import durations
from testkit import crashes
from testkit import journals
from testkit import limiters
from testkit import retries

__all__ = [
    "OUTCOMES",
    "Outcome",
    "ScriptedSender",
    "parts",
    "request",
]

SERVICE = "desk"
ID = "r1"
REGIONS = {"north-a": "north", "south-a": "south"}


class Outcome(typing.NamedTuple):
    """The outcome of sending a request to an endpoint.

    Parameters
    ----------
    status : int or None
        Status of the answer; None if there is no answer.
    headers : dict
    may_have_run : bool
        Whether the endpoint may have run the request, as far as this can
        be determined from outside.
    is_sent : bool
        Whether any byte of the request was sent.
    is_complete : bool
        Whether the body of the answer is complete.
    """

    status: int | None
    headers: typing.Any
    may_have_run: bool
    is_sent: bool = True
    is_complete: bool = True


_ANSWERS_REQUEST = {names.REQUEST_ID: ID}
_NOT_RUN = {**_ANSWERS_REQUEST, names.NOT_RUN: "1"}

OUTCOMES = {
    "no connection": Outcome(None, {}, False, is_sent=False),
    "reset": Outcome(None, {}, True),
    "full": Outcome(503, _NOT_RUN, False),
    "too many": Outcome(429, _NOT_RUN, False),
    "another endpoint": Outcome(421, _ANSWERS_REQUEST, False),
    "unproved promise": Outcome(503, _ANSWERS_REQUEST, True),
    "failed": Outcome(500, _ANSWERS_REQUEST, True),
    "another's answer": Outcome(200, {names.REQUEST_ID: "r2"}, True),
    "cut": Outcome(200, _ANSWERS_REQUEST, True, is_complete=False),
    "done": Outcome(200, _ANSWERS_REQUEST, True),
}


class _Protocol:
    was_reset = False


class _Response:
    """An answer as the HTTP client returns it."""

    reason = ""
    protocol = _Protocol()
    content_length = 2

    def __init__(self, outcome):
        self.content = self
        self._is_complete = outcome.is_complete
        self.status = outcome.status
        self.headers = multidict.CIMultiDict(outcome.headers)
        self.headers["Content-Length"] = "2"

    async def iter_any(self):
        """Yield the body, or raise if it is incomplete."""
        if not self._is_complete:
            raise aiohttp.ClientPayloadError("cut")
        yield b"{}"

    def close(self):
        """Do nothing."""


class ScriptedSender:
    """A sender whose endpoints answer by a script.

    Parameters
    ----------
    script : iterable of Outcome
        One for each request; requests after the last outcome succeed.
    """

    def __init__(self, script):
        self._script = iter(script)
        self.sent = []
        self.timeouts_s = []
        self.extensions = []

    async def send(
        self,
        _method,
        endpoint,
        _target,
        _headers,
        _body,
        *,
        timeout_s,
        extend=None,
        context=None,
    ):
        """Answer with the next outcome."""
        outcome = next(self._script, OUTCOMES["done"])
        self.sent.append((endpoint.address, outcome))
        self.timeouts_s.append(timeout_s)
        self.extensions.append(extend)
        if outcome.status is None:
            return kinds.Failure(
                kinds.Kind.REFUSED, "no answer", sent=outcome.is_sent
            )
        return _Response(outcome)


class _Catalog:
    """A configuration and endpoints that never change, but may rest."""

    def __init__(self, endpoints, engine):
        self._endpoints = endpoints
        self.rests = {}
        self.routes = routes.RouteTable(routes=())
        self.evacuations = evacuations.Evacuations(journal=journals.Journal())
        service = types.Service(SERVICE, "/healthz", 100, engine)
        self.configuration = types.Configuration(
            1, (), {SERVICE: service}, {}, False, types.Limits()
        )

    def endpoints(self, _service, _now):
        """Return all endpoints, without those that rest."""
        return [each for each in self._endpoints if each not in self.rests]

    def resting(self, _service, _now):
        """Return the endpoints that rest, with the seconds left."""
        return list(self.rests.items())

    def count_leaving(self, _service):
        """Return 0: none leaves."""
        return 0

    def age(self, _table, _now):
        """Return 0, as if just updated."""
        return 0.0


class _Peers:
    def count(self):
        """Return 1: there is no other instance."""
        return 1


class _Resumption:
    """Binds no request, and records nothing."""

    async def bind(self, request):
        """Return the request."""
        return request

    def preferred_versions(self, _request, _now):
        """Return none: a stream may begin at any version."""
        return []

    async def record_first_event(self, _request, _origin):
        """Return that the stream may begin."""
        return True


def parts(sender, *, endpoints=4, permits=None, engine=None, clock=None):
    """Return shared components, with equal endpoints in one zone.

    `permits` are those that limited endpoints ``e0``, ``e1`` ... grant;
    `engine` is the `EngineSpec` if they are engines.
    """
    clock = clock or (lambda: 0.0)
    journal = journals.Journal()
    endpoint_health = health.Health(journal=journal)
    available = [
        types.Endpoint(f"e{n}", SERVICE, f"e{n}:80", "north-a", 6)
        for n in range(endpoints)
    ]
    catalog = _Catalog(available, engine)
    view = views.LoadView(ledger=ledgers.Ledger())
    learnt = speeds.Speeds()
    stop_deadline = deadline.StopDeadline(
        known=durations.Durations(), journal=journal, clock=clock
    )
    placer = placement.Placer(
        zone="north-a",
        regions={},
        health=endpoint_health,
        engines=engineloads.EngineLoads(view=view, speeds=learnt),
    )
    return shared.Parts(
        catalog=catalog,
        residency=residency.Residency(catalog=catalog, regions=REGIONS),
        placer=placer,
        engine_load=view,
        engine_speeds=learnt,
        engine_room=engineroom.EngineRoom(
            placer=placer,
            engine_load=view,
            engine_speeds=learnt,
            stop_deadline=stop_deadline,
            journal=journal,
            metrics=metrics.GatewayMetrics(),
            clock=clock,
        ),
        load_sharing=wiring.NoSharing(),
        health=endpoint_health,
        crashes=crashes.Crashes(),
        limiter=limiters.Limiter(permits=permits),
        budget=retries.Spending(ratio=1.0, slack=99),
        peers=_Peers(),
        resumption=_Resumption(),
        stop_deadline=stop_deadline,
        sender=sender,
        codec=platform.Platform(store=None),
        journal=journal,
        pacer=pacing.Pacer(),
        clock=clock,
    )


def request(**changes):
    """Return a request that may run only once."""
    route = types.Route(
        "ballots",
        "h",
        "/",
        ((SERVICE, 1.0),),
        **{"max_attempts": 3, **changes},
    )
    headers = multidict.CIMultiDict({names.REQUEST_ID: ID})
    return requests.Request(
        id=ID,
        route=route,
        service=SERVICE,
        team=None,
        priority=requests.Priority(0, 0),
        head=calls.parse_head(headers),
        method="POST",
        target="/",
        headers=headers,
        body=b"{}",
        fingerprint="f1",
        started_at=0.0,
        waited_s=0.0,
        deadline=4.0,
    )
