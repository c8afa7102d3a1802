"""Running a scenario, and comparing results of runs."""

import asyncio
import collections
import json
import pathlib
import statistics
import time

from bench import arrivals
from bench import deployments
from bench import load
from bench import results
from bench import scenarios
from bench import world as worlds

__all__ = ["compare", "read", "run"]

RESULT = "result.json"
NOON = 12.0
CANCEL_RETRY_S = 1.0


async def run(scenario, *, deployment, seed, seconds, level, changes, count):
    """Run a scenario once.

    Parameters
    ----------
    scenario, deployment : str
    seed : int
    seconds : float
    level : float
        Load as a share of the capacity.
    changes : dict
        Changes to the daemons' settings.
    count : int
        Number of entry instances.

    Returns
    -------
    dict
    """
    system = deployments.DEPLOYMENTS.get(deployment)()
    plan = scenarios.SCENARIOS.get(scenario)(system, level, seconds)
    requests = arrivals.draw(
        plan.phases, system.mix, seed=seed, prefixes=plan.prefixes
    )
    hour = NOON if plan.hour is None else plan.hour
    tariff = {**system.tariff, "hour": hour}
    changes = {"tariff": tariff, **changes}
    async with worlds.running(
        system, instances=count, changes=changes
    ) as world:
        background = [
            asyncio.create_task(world.balance()),
            asyncio.create_task(_run_events(world, plan.events)),
        ]
        cpu_s = time.process_time()
        samples = await load.send_all(world, requests, seed=seed)
        cpu_s = time.process_time() - cpu_s
        await _cancel_all(background)
        counted = await results.gather(world)
    figures = results.summarise(samples, seconds)
    if plan.calm is not None:
        recovered_s = results.recovered(samples, plan.calm, seconds)
        figures["recovered_s"] = recovered_s
    return {
        "scenario": scenario,
        "deployment": deployment,
        "seed": seed,
        "seconds": seconds,
        "load": level,
        "instances": count,
        "settings": changes,
        "figures": figures,
        "counted": counted,
        "generator_cpu_share": cpu_s / seconds,
    }


async def _cancel_all(tasks):
    """Cancel tasks until all end; raise the exception of a failed one.

    Notes
    -----
    A cancellation that coincides with the timeout of an HTTP call can be
    mistaken for it and lost; without a retry the run would never end.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_RETRY_S)
    for task in tasks:
        if not task.cancelled() and task.exception() is not None:
            raise task.exception()


async def _run_events(world, events):
    start = time.monotonic()
    for event in sorted(events):
        await asyncio.sleep(max(0, start + event.at - time.monotonic()))
        await getattr(world, event.action)(*event.arguments)


def read(paths):
    """Return the results stored in files and folders."""
    stored = []
    for path in map(pathlib.Path, paths):
        files = sorted(path.rglob(RESULT)) if path.is_dir() else [path]
        stored += [json.loads(file.read_text()) for file in files]
    return stored


def compare(stored):
    """Return table rows: one per group of settings, mean ± half the range.

    Parameters
    ----------
    stored : list of dict

    Returns
    -------
    list of list of str
    """
    groups = collections.defaultdict(list)
    for result in stored:
        settings = {
            name: value
            for name, value in result["settings"].items()
            if name != "tariff"
        }
        key = (
            result["deployment"],
            result["scenario"],
            result["load"],
            ",".join(f"{k}={v}" for k, v in sorted(settings.items())),
        )
        groups[key].append(result)
    head = "deployment scenario load settings runs attainment settled"
    head += " summaries/s least-team p95 first-p95 refused-p95 hits"
    head += " crossing/1000 recovered lag-p99"
    rows = [head.split()]
    for key, items in sorted(groups.items()):
        columns = zip(*(_figures(item) for item in items), strict=True)
        rows.append(
            [*map(str, key), str(len(items)), *map(_mean_and_spread, columns)]
        )
    return rows


def _figures(result):
    figures = result["figures"]
    summary = figures["pipelines"]["summary"]
    engines = result["counted"]["engines"]
    crossing = sum(
        stage.get("cross_region_bytes_total", 0)
        for stage in result["counted"]["stages"].values()
    )
    served = engines.get("served") or 1
    return (
        figures["attainment"],
        figures["settled"],
        summary["goodput"],
        min(figures["settled_teams"].values()),
        (summary["seconds"] or {}).get("p95"),
        (summary["first_s"] or {}).get("p95"),
        (summary["refused_s"] or {}).get("p95"),
        engines.get("prefix_hits", 0) / served,
        crossing / figures["requests"] * 1000,
        figures.get("recovered_s"),
        figures["generator_lag_s"]["p99"],
    )


def _mean_and_spread(values):
    known = [value for value in values if value is not None]
    if not known:
        return "-"
    spread = max(known) - min(known)
    return f"{statistics.fmean(known):.4g} ±{spread / 2:.2g}"
