"""The current deployments, scaled so that one machine can overload them.

Times and slots of the stand-ins give a deployment a capacity of some tens
of requests per second, so that neither the load generator nor the daemons'
processor time limits a run.
"""

import typing

from sycamoreshed.kernel import registry

__all__ = ["DEPLOYMENTS", "Deployment", "capacity", "region_of"]

DEPLOYMENTS = registry.Registry(kind="deployment")

ENGINE = {
    "slots": 4,
    "token_s": 0.05,
    "tokens": 8,
    "prefill_s": 0.2,
    "cache": 12,
}
POOL = {"slots": 8, "seconds": 0.015}
SUMMARY_SHARE = 0.6
SUMMARY_MS = 3000
READ_MS = 1000
# The one-way delay between regions is a few tens of milliseconds.
FAR_ROUND_TRIP_S = 0.04
NEAR_ROUND_TRIP_S = 0.001


class Deployment(typing.NamedTuple):
    """A configuration, its stand-ins and its traffic.

    Parameters
    ----------
    name : str
    zones : list of str
        All availability zones; the part before the last dash is the
        region.
    sections : dict
        The configuration, without endpoints.
    specs : list of dict
        Stand-ins of endpoints, with ``service`` and ``zone``.
    shares : dict of str to float
        Each team's share of the traffic; also its configured weight.
    mix : dict of str to float
        Share of each pipeline in the traffic.
    tariff : dict
        Value of the daemons' setting ``tariff``, without the hour.
    """

    name: str
    zones: list
    sections: dict
    specs: list
    shares: dict
    mix: dict
    tariff: dict


def region_of(zone):
    """Return the region of a zone."""
    return zone.rpartition("-")[0]


def capacity(deployment):
    """Return the request rate of all pipelines at which engines are full."""
    engines = [spec for spec in deployment.specs if spec["kind"] == "engine"]
    seconds = ENGINE["prefill_s"] + ENGINE["tokens"] * ENGINE["token_s"]
    return len(engines) * ENGINE["slots"] / seconds / SUMMARY_SHARE


def _zones(regions):
    return [f"{region}-{letter}" for region in regions for letter in "abc"]


def _pools(service, zones, kind):
    pool_zones = zones[::3]
    return [
        {
            "kind": kind,
            "name": f"{service}-{number}",
            "service": service,
            "zone": zone,
            **POOL,
        }
        for number, zone in enumerate(pool_zones, 1)
    ]


def _engines(service, zones):
    return [
        {
            "kind": "engine",
            "name": f"{service}-{number}",
            "service": service,
            "zone": zone,
            **ENGINE,
        }
        for number, zone in enumerate(zones, 1)
    ]


def _build(
    *, name, regions, model, engines, plain, non_repeatable, shares, tariff
):
    zones = _zones(regions)
    pools = ("encoder", "retriever", "reranker")
    services = {service: {"kind": "pool"} for service in pools}
    services[model] = {"kind": "engine"}
    services |= {service: {"kind": "plain"} for service in plain}
    services[non_repeatable] = {
        "kind": "plain",
        "repeatable": False,
        "lookup": True,
    }
    stages = [
        {"name": "encode", "service": "encoder", "share": 0.1},
        {"name": "retrieve", "service": "retriever", "share": 0.1},
        {"name": "rerank", "service": "reranker", "share": 0.1},
        {"name": "generate", "service": model, "share": 0.7},
    ]
    pipelines = {"summary": {"stages": stages, "deadline_ms": SUMMARY_MS}}
    for service in (*plain, non_repeatable):
        stage = {"name": service, "service": service}
        pipelines[service] = {"stages": [stage], "deadline_ms": READ_MS}
    specs = _engines(model, (zones * 2)[:engines])
    for service in pools:
        specs += _pools(service, zones, "pool")
    for service in (*plain, non_repeatable):
        specs += _pools(service, zones, "plain")
    rest_share = (1 - SUMMARY_SHARE) / len((*plain, non_repeatable))
    mix = {"summary": SUMMARY_SHARE}
    mix |= {service: rest_share for service in (*plain, non_repeatable)}
    teams = {
        team: {"rate": 100000, "weight": share}
        for team, share in shares.items()
    }
    sections = {
        "regions": {
            region: {"zones": [z for z in zones if region_of(z) == region]}
            for region in regions
        },
        "services": services,
        "pipelines": pipelines,
        "teams": teams,
    }
    return Deployment(name, zones, sections, specs, shares, mix, tariff)


@DEPLOYMENTS.register("cineclubes")
def cineclubes():
    """Return the deployment with nine engines, one in each zone."""
    return _build(
        name="cineclubes",
        regions=["porto-alegre", "florianopolis", "curitiba"],
        model="curation",
        engines=9,
        plain=["schedule", "members", "catalogue"],
        non_repeatable="ballot",
        shares={
            "gaucho": 0.35,
            "ilha": 0.30,
            "araucaria": 0.15,
            "serra": 0.10,
            "litoral": 0.10,
        },
        tariff={"attainment": 10.0, "crossing_mb": 1.0},
    )


@DEPLOYMENTS.register("tidewater")
def tidewater():
    """Return the deployment with five engines, in five of nine zones."""
    return _build(
        name="tidewater",
        regions=["north", "south", "east"],
        model="commentary",
        engines=5,
        plain=["portal", "feed", "billing"],
        non_repeatable="desk",
        shares={
            "squid": 0.35,
            "milkfish": 0.30,
            "salmon": 0.15,
            "harbour": 0.10,
            "auction": 0.10,
        },
        tariff={
            "attainment": 1.0,
            "crossing_mb": 100.0,
            "hours": [{"begin": 3, "end": 6, "attainment": 10.0}],
        },
    )
