"""Tests of the zone in which a request's stages run."""

import contextlib
import types as namespaces
import urllib.parse

import aiohttp
from aiohttp import web
import msgspec
import pytest

from sycamoreshed.catalog import types
from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import health
from sycamoreshed.forwarding import placement
from sycamoreshed.residency import residency
from sycamoreshed.staging import delegation
from sycamoreshed.staging import pieces
from sycamoreshed.staging import selection
from sycamoreshed.staging.tests import builders
from sycamoreshed.stopping import deadline
from testkit import journals

REGIONS = {"north-a": "north", "north-b": "north", "south-a": "south"}
SOUTH = frozenset(("south",))


class Catalog:
    """Endpoints that are named after their service and zone.

    Parameters
    ----------
    *places : tuple of (str, str)
        Service and zone of each endpoint.
    """

    def __init__(self, *places):
        self.places = places
        services = {
            name: types.Service(name, "/", 9, None, builders.spec())
            for name, _ in places
        }
        self.configuration = namespaces.SimpleNamespace(services=services)

    def endpoints(self, service, _now):
        """Return the endpoints of a service."""
        return [
            types.Endpoint(f"{service}-{zone}", service, "", zone, 1)
            for name, zone in self.places
            if name == service
        ]


class Peers:
    """Instances of all zones; the one under test if there are no others.

    Parameters
    ----------
    names : iterable of str
    """

    def __init__(self, names=()):
        self._names = names
        self.lost = []

    def eligible(self, _zone, _now):
        """Return all instances, whose addresses are their names."""
        return {name: name for name in self._names if name not in self.lost}

    def record_failure(self, control, _now, _why):
        """Record an instance that did not answer."""
        self.lost.append(control)

    def record_success(self, control):
        """Do nothing."""


class Coordinator:
    """Ends jobs with an outcome.

    Parameters
    ----------
    outcome : JobOutcome
    """

    def __init__(self, outcome):
        self._outcome = outcome
        self.jobs = []

    async def run(self, job, _origin):
        """Record a job and return the outcome."""
        self.jobs.append(job)
        return self._outcome


REJECTED = pieces.JobOutcome(None, "busy", True, {}, retry_s=2.5)
LATE = pieces.JobOutcome(None, "results are late", True, {})
DONE = pieces.JobOutcome([pieces.ResultRef("h", "e")] * 4, None, False, {})


def build_selector(catalog, zone="north-a"):
    """Return the selector of an instance in a zone."""
    known = health.Health(journal=journals.Journal())
    return selection.ZoneSelector(
        catalog=catalog,
        residency=residency.Residency(catalog=catalog, regions=REGIONS),
        placer=placement.Placer(zone=zone, regions=REGIONS, health=known),
        health=known,
    )


def build_runner(catalog, zone="north-a", coordinators=None, peers=()):
    """Return the runner of an instance in a zone."""
    return delegation.StageRunner(
        instance="edge-1",
        zone=zone,
        catalog=catalog,
        selector=build_selector(catalog, zone),
        peers=Peers(peers),
        session=None,
        make_coordinator=coordinators and coordinators.__getitem__,
        journal=journals.Journal(),
        clock=lambda: 0.0,
        spawn=None,
    )


@contextlib.asynccontextmanager
async def instances(stopping, done):
    """Run instances of which some stop; yield their addresses.

    Parameters
    ----------
    stopping, done : int
        How many run no jobs, and how many do.
    """

    async def run(http):
        asked.append(http.headers["Host"])
        if http.headers["Host"] in refusing:
            return web.Response(
                status=503, headers={delegation.STOPPING_HEADER: "1"}
            )
        return web.Response(body=msgspec.json.encode(DONE))

    asked, refusing = [], set()
    app = web.Application()
    app.router.add_post(delegation.RUN_PATH, run)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    addresses = []
    for number in range(stopping + done):
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = site._server.sockets[0].getsockname()[:2]
        addresses.append(f"{host}:{port}")
        if number < stopping:
            refusing.add(addresses[-1])
    yield addresses, asked
    await runner.cleanup()


def everywhere():
    """Return a catalog with endpoints of both services in all zones."""
    return Catalog(*((s, z) for s in ("first", "second") for z in REGIONS))


@pytest.mark.parametrize(
    ("regions", "zone"), [(None, "north-a"), (SOUTH, "south-a")]
)
def test_stages_run_in_the_nearest_allowed_zone(regions, zone):
    selector = build_selector(everywhere())
    job = builders.job()
    assert selector.choose(job, 0.0, "north-a", (), regions) == zone


def test_no_zone_is_chosen_if_a_service_is_in_no_allowed_region():
    """A request waited until its deadline for endpoints it may not use."""
    catalog = Catalog(
        ("first", "south-a"), ("second", "north-a"), ("first", "north-a")
    )
    selector = build_selector(catalog)
    assert selector.choose(builders.job(), 0.0, "z", (), SOUTH) is None
    assert selector.choose(builders.job(), 0.0, "z") == "north-a"


@pytest.mark.parametrize("regions", [None, frozenset(), SOUTH])
def test_origin_of_a_job_reaches_another_instance(regions):
    origin = pieces.Origin("f", regions)
    query = delegation.encode_origin("north-a", origin)
    parsed = dict(urllib.parse.parse_qsl(query, True))
    assert delegation.decode_origin(parsed) == origin


async def test_a_job_that_one_zone_rejects_runs_in_another():
    """Callers were rejected in a cluster of requests while others had time."""
    coordinators = {
        "north-a": Coordinator(REJECTED),
        "north-b": Coordinator(REJECTED),
        "south-a": Coordinator(DONE),
    }
    runner = build_runner(everywhere(), coordinators=coordinators)
    handles = []
    results = await runner.run(builders.job(), handles, engine_zone="north-a")
    assert results == handles == ["h"] * 4


async def test_a_job_that_all_zones_reject_is_rejected_once_by_each():
    """A rejected job was tried in the same zone again."""
    coordinators = {
        "north-a": Coordinator(REJECTED),
        "north-b": Coordinator(REJECTED),
        "south-a": Coordinator(REJECTED._replace(retry_s=1.5)),
    }
    runner = build_runner(everywhere(), coordinators=coordinators)
    failure = await runner.run(builders.job(), [], engine_zone="north-a")
    assert failure.kind is kinds.Kind.HOPELESS
    assert not failure.sent
    assert failure.retry_after == 1.5
    assert [len(each.jobs) for each in coordinators.values()] == [1, 1, 1]


async def test_a_rejected_job_stays_in_its_allowed_regions():
    """A job went to a region that its request may not use."""
    coordinators = {
        "north-a": Coordinator(DONE),
        "north-b": Coordinator(DONE),
        "south-a": Coordinator(REJECTED),
    }
    runner = build_runner(everywhere(), coordinators=coordinators)
    failure = await runner.run(
        builders.job(),
        [],
        engine_zone="north-a",
        origin=pieces.Origin("", SOUTH),
    )
    assert failure.kind is kinds.Kind.HOPELESS
    assert not coordinators["north-a"].jobs


async def test_a_job_whose_time_passed_is_not_tried_elsewhere():
    """Endpoints worked for a caller who had waited for too long already."""
    coordinators = {
        "north-a": Coordinator(LATE),
        "north-b": Coordinator(DONE),
        "south-a": Coordinator(DONE),
    }
    runner = build_runner(everywhere(), coordinators=coordinators)
    failure = await runner.run(builders.job(), [], engine_zone="north-a")
    assert failure.kind is kinds.Kind.HOPELESS
    assert not coordinators["north-b"].jobs


async def test_instances_that_stop_do_not_use_up_the_attempts_of_a_job():
    """A job went to one stopping instance three times, and was lost."""
    count = delegation.MAX_ATTEMPTS + 2
    async with (
        instances(count, 1) as (addresses, asked),
        aiohttp.ClientSession() as session,
    ):
        runner = build_runner(everywhere(), peers=addresses)
        runner._session = session
        for _ in range(2):
            results = await runner.run(
                builders.job(), [], engine_zone="north-a"
            )
            assert results == ["h"] * 4
    # Those that stop are known after the first job.
    assert len(asked) <= count + 2
    assert len(set(asked)) == len(asked) - 1


async def test_job_is_run_here_if_all_other_instances_stop():
    """A job was lost, though this instance could have run it."""
    coordinators = {zone: Coordinator(DONE) for zone in REGIONS}
    async with (
        instances(4, 0) as (addresses, asked),
        aiohttp.ClientSession() as session,
    ):
        runner = build_runner(everywhere(), "north-a", coordinators, addresses)
        runner._session = session
        results = await runner.run(builders.job(), [], engine_zone="north-a")
    assert results == ["h"] * 4
    assert sorted(asked) == sorted(addresses)


async def test_job_that_nobody_has_time_for_is_rejected_at_once():
    """It was tried again and again at the same stopping instance."""
    coordinators = {zone: Coordinator(deadline.TOO_SOON) for zone in REGIONS}
    runner = build_runner(everywhere(), coordinators=coordinators)
    failure = await runner.run(builders.job(), [], engine_zone="north-a")
    assert failure.kind is kinds.Kind.DRAINING
    assert not failure.sent
    assert [len(each.jobs) for each in coordinators.values()] == [1, 0, 0]
