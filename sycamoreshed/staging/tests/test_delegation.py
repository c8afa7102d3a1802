"""Tests of the zone in which a request's stages run."""

import urllib.parse

import pytest

from sycamoreshed.catalog import types
from sycamoreshed.forwarding import health
from sycamoreshed.forwarding import placement
from sycamoreshed.residency import residency
from sycamoreshed.staging import delegation
from sycamoreshed.staging import pieces
from sycamoreshed.staging.tests import builders
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

    def endpoints(self, service, _now):
        """Return the endpoints of a service."""
        return [
            types.Endpoint(f"{service}-{zone}", service, "", zone, 1)
            for name, zone in self.places
            if name == service
        ]


def build_runner(catalog, zone="north-a"):
    """Return the runner of an instance in a zone."""
    known = health.Health(journal=journals.Journal())
    return delegation.StageRunner(
        instance="edge-1",
        zone=zone,
        catalog=catalog,
        residency=residency.Residency(catalog=catalog, regions=REGIONS),
        peers=None,
        placer=placement.Placer(zone=zone, regions=REGIONS, health=known),
        health=known,
        session=None,
        make_coordinator=None,
        journal=journals.Journal(),
        clock=lambda: 0.0,
        spawn=None,
    )


def everywhere():
    """Return a catalog with endpoints of both services in all zones."""
    return Catalog(*((s, z) for s in ("first", "second") for z in REGIONS))


@pytest.mark.parametrize(
    ("regions", "zone"), [(None, "north-a"), (SOUTH, "south-a")]
)
def test_stages_run_in_the_nearest_allowed_zone(regions, zone):
    runner = build_runner(everywhere())
    job = builders.job()
    assert runner.choose_zone(job, 0.0, "north-a", (), regions) == zone


def test_no_zone_is_chosen_if_a_service_is_in_no_allowed_region():
    """A request waited until its deadline for endpoints it may not use."""
    catalog = Catalog(
        ("first", "south-a"), ("second", "north-a"), ("first", "north-a")
    )
    runner = build_runner(catalog)
    assert runner.choose_zone(builders.job(), 0.0, "z", (), SOUTH) is None
    assert runner.choose_zone(builders.job(), 0.0, "z") == "north-a"


@pytest.mark.parametrize("regions", [None, frozenset(), SOUTH])
def test_origin_of_a_job_reaches_another_instance(regions):
    origin = pieces.Origin("f", regions)
    query = delegation.encode_origin("north-a", origin)
    parsed = dict(urllib.parse.parse_qsl(query, True))
    assert delegation.decode_origin(parsed) == origin
