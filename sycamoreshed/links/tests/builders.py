"""An instance that is cut off from an endpoint, and others that are not."""

import asyncio
import contextlib
import typing

from aiohttp import web
import multidict

from standins import scripted
from sycamoreshed.buffering import budget
from sycamoreshed.catalog import rests
from sycamoreshed.catalog import routes
from sycamoreshed.catalog import types
from sycamoreshed.engineload import told
from sycamoreshed.findings import board
from sycamoreshed.findings import departures
from sycamoreshed.findings import misdirections
from sycamoreshed.forwarding import client as clients
from sycamoreshed.links import indirect
from sycamoreshed.links import notices
from sycamoreshed.links import reachability
from sycamoreshed.links import sending
from sycamoreshed.links import serving
from sycamoreshed.platform import names
from sycamoreshed.platform import platform
from sycamoreshed.stopping import deadline
from sycamoreshed.stopping import durations
from sycamoreshed.stopping import measuring
from sycamoreshed.stopping.tests import builders as deadlines
from testkit import crashes
from testkit import journals

__all__ = [
    "REGIONS",
    "ROUTE",
    "Helper",
    "Peers",
    "running",
    "send",
]

REGIONS = {"north-a": "north", "north-b": "north", "south-a": "south"}
HELPERS = len(REGIONS)
ZONE = "north-a"
QUICK_ANSWERS = 40
QUICK_S = 0.05
# Its answers usually take a second.
ROUTE = types.Route("r", "h", "/", (("desk", 1.0),), target_s=1.0)


class Peers:
    """Instances by zone, which all count as available.

    Parameters
    ----------
    members : dict of str to dict of str to str
        Control addresses by zone and name.
    """

    def __init__(self, members):
        self.members = members

    def zones(self):
        """Return all zones."""
        return set(self.members)

    def of_zone(self, zone, _now):
        """Return the instances of a zone."""
        return dict(self.members.get(zone, {}))


class Catalog:
    """Endpoints, of which some take no new work, or rest."""

    def __init__(self, *endpoints):
        self.known = {each.id: each for each in endpoints}
        self.usable = tuple(endpoints)
        self.rests = rests.Rests()
        self.configuration = None
        self.routes = routes.RouteTable(routes=[ROUTE])

    def endpoint(self, key):
        """Return the endpoint with an id, or None."""
        return self.known.get(key)

    def takes_work(self, endpoint, now):
        """Return whether an endpoint takes new work."""
        is_resting = self.rests.remaining_s(endpoint, now) > 0
        return endpoint in self.usable and not is_resting


class _FrozenClient:
    async def send(self, *_args, **_options):
        """Wait."""
        await asyncio.Event().wait()


class Helper:
    """An instance that sends calls for others.

    Attributes
    ----------
    catalog : Catalog
    crashes : Crashes
    stop_deadline : StopDeadline
    journal : Journal
    """

    def __init__(self, client, endpoint):
        self.journal = journals.Journal()
        self.catalog = Catalog(endpoint)
        self.crashes = crashes.Crashes()
        self.stop_deadline = deadline.StopDeadline(
            known=durations.Durations(),
            journal=self.journal,
            clock=asyncio.get_running_loop().time,
        )
        codec = platform.Platform(store=None)
        self.server = serving.CallServer(
            catalog=self.catalog,
            client=client,
            codec=codec,
            crashes=self.crashes,
            reachability=reachability.Reachability(journal=self.journal),
            notices=make_notices(codec, self.journal, self.catalog),
            stop_deadline=self.stop_deadline,
            journal=self.journal,
            clock=asyncio.get_running_loop().time,
            buffers=budget.BufferBudget(),
        )
        self._runner = None
        self.control = None

    def cut_off(self):
        """Cut the instance off from all endpoints."""
        self.server._reachability = cut_off_links(self.journal)

    def end_in(self, seconds):
        """Have the instance stop, and end in so many seconds."""
        now = asyncio.get_running_loop().time()
        self.stop_deadline.set(now + seconds)

    def serve_quickly(self):
        """Record short answers to requests of the route."""
        phases = (measuring.Phase.ATTEMPT,)
        for _ in range(QUICK_ANSWERS):
            measurement = self.stop_deadline.measure(
                deadlines.request(ROUTE), phases=phases
            )
            measurement.begin_attempt(0.0)
            measurement.end(QUICK_S, is_whole=True)

    def freeze(self):
        """Make the instance take calls and do nothing."""
        self.server._client = _FrozenClient()

    async def start(self):
        """Listen on a free port."""
        app = web.Application()
        app.router.add_post(indirect.PATH, self.server.handle)
        self._runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = site._server.sockets[0].getsockname()[:2]
        self.control = f"{host}:{port}"

    async def stop(self):
        """Stop listening."""
        await self._runner.cleanup()


class System(typing.NamedTuple):
    """A sender that is cut off, its helpers, and the endpoint.

    Parameters
    ----------
    sender : EndpointSender
    helpers : list of Helper
        The first ones are in the zones of `REGIONS`, in order.
    server : scripted.Endpoint
    endpoint : Endpoint
    journal : Journal
        Of the sender.
    """

    sender: typing.Any
    helpers: list
    server: typing.Any
    endpoint: typing.Any
    journal: typing.Any


def make_notices(codec, journal, catalog):
    """Return `Notices` that nobody else is told."""
    return notices.Notices(
        catalog=catalog,
        codec=codec,
        departures=departures.DepartureRecords(
            board=board.Board(), journal=journal
        ),
        misdirections=misdirections.MisdirectionRecords(
            board=board.Board(), journal=journal
        ),
        told_loads=told.ToldLoads(journal=journal),
        publish=lambda _finding: None,
        journal=journal,
        clock=asyncio.get_running_loop().time,
        unix_ms=lambda: 0,
    )


def cut_off_links(journal):
    """Return the `Reachability` of an instance that is cut off."""
    links = reachability.Reachability(journal=journal)
    links.record_failure("e1", 0.0, "refused")
    checked = [reachability.CheckResult("e2", False, "refused")]
    links.record_check(checked, started_at=0.0, now=0.0)
    return links


@contextlib.asynccontextmanager
async def running(script, *, helpers=HELPERS, address=None):
    """Run an endpoint with a script, and helpers of a cut-off sender.

    Parameters
    ----------
    script : callable
    helpers : int
        They are spread over the zones of `REGIONS`.
    address : str, optional
        Where calls are sent in place of the endpoint's own address.
    """
    clock = asyncio.get_running_loop().time
    journal = journals.Journal()
    server = scripted.Endpoint(script)
    await server.start()
    address = address or server.address
    endpoint = types.Endpoint("e1", "desk", address, "south-a", 4)
    codec = platform.Platform(store=None)
    async with clients.open_client() as client:
        running_helpers = [Helper(client, endpoint) for _ in range(helpers)]
        members = {zone: {} for zone in REGIONS}
        for number, each in enumerate(running_helpers):
            await each.start()
            zone = list(REGIONS)[number % len(REGIONS)]
            suffix = "" if number < len(REGIONS) else f"-{number}"
            members[zone][f"edge-{zone}{suffix}"] = each.control
        catalog = Catalog(endpoint)
        sender = sending.EndpointSender(
            catalog=catalog,
            client=client,
            indirect=indirect.IndirectSender(
                own="edge-cut",
                zone=ZONE,
                regions=REGIONS,
                peers=Peers(members),
                client=client,
                journal=journal,
                clock=clock,
            ),
            reachability=cut_off_links(journal),
            notices=make_notices(codec, journal, catalog),
            codec=codec,
            clock=clock,
        )
        yield System(sender, running_helpers, server, endpoint, journal)
        for each in running_helpers:
            await each.stop()
    await server.stop()


async def send(system, *, body=b"body", timeout_s=5.0, **options):
    """Send a request through another instance; return the response."""
    headers = multidict.CIMultiDict(
        {names.REQUEST_ID: "r1", names.DEADLINE_MS: "3000", "Host": "h"}
    )
    return await system.sender.send(
        "POST",
        system.endpoint,
        "/a%2Fb?q=1",
        headers,
        body,
        timeout_s=timeout_s,
        **options,
    )
