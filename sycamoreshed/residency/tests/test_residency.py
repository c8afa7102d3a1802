"""Tests of where requests may be served, without a network."""

import pytest

from sycamoreshed.catalog import routes
from sycamoreshed.catalog import types
from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import attempts
from sycamoreshed.forwarding import forwarder
from sycamoreshed.forwarding.tests import builders

NORTH = frozenset(("north",))
SOUTH = frozenset(("south",))
BOTH = NORTH | SOUTH
ANY = frozenset()


def parts_in(zones, sender):
    """Return shared components, with an endpoint in each of some zones."""
    parts = builders.parts(sender, endpoints=len(zones))
    listed = [
        each._replace(zone=zone)
        for each, zone in zip(
            parts.catalog.endpoints(None, 0.0), zones, strict=True
        )
    ]
    parts.catalog.endpoints = lambda _service, _now: listed
    return parts


def allow(parts, request, regions):
    """Put a configuration in force with other regions for a request."""
    route = request.route._replace(allowed_regions=regions)
    parts.catalog.routes = routes.RouteTable(routes=(route,))


def sent_to(sender):
    """Return the addresses that requests were sent to."""
    return [address for address, _ in sender.sent]


@pytest.mark.parametrize(
    ("by_route", "by_team", "allowed"),
    [
        (ANY, ANY, None),
        (SOUTH, ANY, SOUTH),
        (ANY, SOUTH, SOUTH),
        (BOTH, SOUTH, SOUTH),
        (NORTH, SOUTH, frozenset()),
    ],
)
def test_restrictions_of_route_and_team_both_hold(by_route, by_team, allowed):
    parts = builders.parts(builders.ScriptedSender([]))
    request = builders.request(allowed_regions=by_route)
    request = request._replace(team=types.Team("a", None, by_team))
    assert parts.residency.regions(request) == allowed


def test_team_is_that_of_the_configuration_in_force():
    """A team was restricted while its requests were in a queue."""
    parts = builders.parts(builders.ScriptedSender([]))
    request = builders.request()
    request = request._replace(
        team=types.Team("a"), head=request.head._replace(key="k")
    )
    teams = {"k": types.Team("a", None, SOUTH)}
    parts.catalog.configuration = parts.catalog.configuration._replace(
        teams=teams
    )
    assert parts.residency.regions(request) == SOUTH


@pytest.mark.parametrize("regions", [SOUTH, frozenset(("moon",))])
def test_only_regions_that_cannot_serve_at_all_are_final(regions):
    """Callers came again for what no region here may ever serve."""
    parts = builders.parts(builders.ScriptedSender([]))
    request = builders.request(allowed_regions=regions)
    rejected = parts.residency.rejection(request)
    assert (rejected is None) == (regions == SOUTH)


async def test_retries_stay_in_the_allowed_regions():
    """A request that failed in its region was sent to another one."""
    sender = builders.ScriptedSender([builders.OUTCOMES["full"]] * 3)
    parts = parts_in(["south-a", "north-a", "south-a"], sender)
    request = builders.request(allowed_regions=SOUTH)
    await attempts.Attempts(request=request, parts=parts).open()
    assert sorted(sent_to(sender)) == ["e0:80", "e2:80"]


async def test_a_new_restriction_holds_for_a_retry():
    """A retry went where the configuration of its first attempt allowed it."""
    sender = builders.ScriptedSender([builders.OUTCOMES["full"]] * 3)
    parts = parts_in(["north-a", "south-a", "south-a"], sender)
    request = builders.request(allowed_regions=NORTH)
    send = sender.send

    async def restrict_and_send(*args, **options):
        allow(parts, request, SOUTH)
        return await send(*args, **options)

    sender.send = restrict_and_send
    await attempts.Attempts(request=request, parts=parts).open()
    assert sorted(sent_to(sender)) == ["e0:80", "e1:80", "e2:80"]
    assert sent_to(sender)[0] == "e0:80"


class StageRunner:
    """Stores results in north-a at first, then in south-a.

    Parameters
    ----------
    on_first : callable
        Called after the first run.
    """

    def __init__(self, on_first):
        self._on_first = on_first
        self.regions = []

    async def run(self, _job, results, *, engine_zone, origin):
        """Return the handle of one result, which names its zone."""
        self.regions.append(origin.regions)
        handle = "south-a" if len(self.regions) > 1 else "north-a"
        results.append(handle)
        if len(self.regions) == 1:
            self._on_first()
        return [handle]

    def free(self, _handles):
        """Do nothing."""

    def zone_bytes(self, handles, _stages):
        """Return bytes in the zones that handles name."""
        return dict.fromkeys(handles, 10)


async def test_results_made_under_an_older_restriction_are_not_used():
    """An engine fetched results from a region that was not allowed any more.

    The configuration changed while the stages of the request ran.
    """
    sender = builders.ScriptedSender([])
    parts = parts_in(["north-a", "south-a"], sender)
    stage = types.Stage("first", (), 8000)
    request = builders.request(stages=(stage,), allowed_regions=NORTH)
    request = request._replace(head=request.head._replace(pieces=(1,)))
    stages = StageRunner(lambda: allow(parts, request, SOUTH))
    under_test = forwarder.Forwarder(parts=parts, stages=stages)
    outcome = await under_test.forward(request, sink=None)
    assert outcome.answer is not None
    assert stages.regions == [NORTH, SOUTH]
    assert sent_to(sender) == ["e1:80"]


async def test_a_request_without_an_allowed_endpoint_runs_no_stages():
    """Stages worked for a request that no engine of its regions could take."""
    sender = builders.ScriptedSender([])
    parts = parts_in(["north-a"], sender)
    stage = types.Stage("first", (), 8000)
    request = builders.request(stages=(stage,), allowed_regions=SOUTH)
    request = request._replace(head=request.head._replace(pieces=(1,)))
    stages = StageRunner(lambda: None)
    under_test = forwarder.Forwarder(parts=parts, stages=stages)
    outcome = await under_test.forward(request, sink=None)
    assert outcome.failure.kind is kinds.Kind.NO_ENDPOINT
    assert not outcome.failure.sent
    assert outcome.failure.retry_after > 0
    assert (stages.regions, sender.sent) == ([], [])
