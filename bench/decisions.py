"""Processor time of a routing decision and an admission, by size."""

import asyncio
import random
import time

from sycamoreshed.adapters import endpoints as adapters
from sycamoreshed.admission import admission
from sycamoreshed.admission import limits
from sycamoreshed.config import state
from sycamoreshed.observe import logs
from sycamoreshed.pipeline import requests
from sycamoreshed.routing import router
from sycamoreshed.settings import schema
from testkit import builders

__all__ = ["measure", "slope"]

REGIONS = {
    "north": {"zones": ["north-a", "north-b", "north-c", "north-d"]},
    "south": {"zones": ["south-a", "south-b", "south-c"]},
}
ZONES = [zone for spec in REGIONS.values() for zone in spec["zones"]]
ROUNDS = 3000
ACTIVE = 400


class _Members:
    """A membership in which all endpoints are available and report load."""

    def __init__(self, config):
        self._config = config
        self.load_reports = {
            item.name: ({"running": random.randint(0, 4), "waiting": 0}, 0.0)
            for item in config.endpoints["language"]
        }

    def candidates(self, config, service, now):
        """Return all endpoints of a service."""
        return list(config.endpoints[service])


def _config(candidates, teams):
    endpoints = {
        f"language-{number}": builders.endpoint_spec(
            service="language", zone=ZONES[number % len(ZONES)]
        )
        for number in range(candidates)
    }
    note = builders.first_note(endpoints)
    note["added"]["regions"] = REGIONS
    note["added"]["teams"] = {
        f"team-{number}": {"rate": 10.0} for number in range(teams)
    }
    return state.apply_note(state.EMPTY, note)


def _settings(policy):
    platform = dict.fromkeys(("table", "objects", "instances"), "127.0.0.1:9")
    document = builders.settings_document(
        platform, public="127.0.0.1:9", control="127.0.0.1:9"
    )
    document.pop("grace_s")
    document["advertise"] = document["control"]
    return schema.Settings(**document, routing=policy)


def _request(config, number, teams):
    return requests.Request(
        id=f"r{number}",
        team=f"team-{number % min(teams, ACTIVE)}",
        pipeline="summary",
        config=config,
        deadline=5.0,
        body="dossier",
    )


def _record_calls(instance_router, config):
    for endpoint in config.endpoints["language"]:
        call = adapters.Call("r", "generate", "a", 1000.0, "dossier")
        answer = adapters.StageAnswer("text", 100)
        instance_router.loads.record_start(endpoint)
        instance_router.record_result(endpoint, call, answer, 0.0, 0.1)


def measure(candidates, teams, policy="balanced", *, logged=False):
    """Return microseconds of processor time for each decision.

    Parameters
    ----------
    candidates, teams : int
    policy : str
    logged : bool
        Whether to write the decision's log line too.

    Returns
    -------
    dict
        ``route_us`` and ``admit_us``, with the sizes measured.
    """
    config = _config(candidates, teams)
    settings = _settings(policy)
    log = logs.DecisionLog(rate=10**9 if logged else 0)
    instance_router = router.Router(
        settings=settings, membership=_Members(config), log=log
    )
    _record_calls(instance_router, config)
    stage = config.sections["pipelines"]["summary"]["stages"][-1]
    request_batch = [
        _request(config, number, teams) for number in range(ROUNDS)
    ]
    started_at = time.process_time()
    for number, request in enumerate(request_batch):
        instance_router.choose(request, stage, 0.2, prefix=str(number % 100))
    route_s = time.process_time() - started_at
    admit_s = asyncio.run(_admit(settings, request_batch))
    return {
        "candidates": candidates,
        "teams": teams,
        "route_us": route_s / ROUNDS * 1e6,
        "admit_us": admit_s / ROUNDS * 1e6,
    }


async def _admit(settings, request_batch):
    instance_admission = admission.Admission(
        settings=settings,
        limits=limits.Limits(
            instance="a", live_count=lambda _: 410, publish=lambda _: None
        ),
        live_count=lambda _: 410,
        clock=time.monotonic,
    )
    started_at = time.process_time()
    for request in request_batch:
        ticket = await instance_admission.acquire(request, 0.0)
        if hasattr(ticket, "gate"):
            instance_admission.release(ticket, 0.1)
    return time.process_time() - started_at


def slope(rows, by, figure):
    """Return the least-squares slope of a figure per unit of `by`."""
    count = len(rows)
    mean_x = sum(row[by] for row in rows) / count
    mean_y = sum(row[figure] for row in rows) / count
    covariance = sum(
        (row[by] - mean_x) * (row[figure] - mean_y) for row in rows
    )
    variance = sum((row[by] - mean_x) ** 2 for row in rows)
    return covariance / variance if variance else 0.0
