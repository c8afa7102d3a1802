"""How fast notes and leave notices spread, and what control costs idle.

``python -m bench.spread --sizes 9 27 60 --runs 20 --out out/spread``
starts that many daemons and prints a table; the JSON has every run.
Times are read from the daemons' log lines, which one clock stamps.
"""

import argparse
import asyncio
import contextlib
import datetime
import json
import os
import pathlib
import random
import statistics
import time

from testkit import builders
from testkit import processes

__all__ = ["last_after", "main", "slope", "summary"]

ZONES = {
    "north": ["north-a", "north-b", "north-c", "north-d"],
    "south": ["south-a", "south-b", "south-c"],
}
ENDPOINTS_PER_INSTANCE = 600 / 410
REMAINING_ENDPOINTS = 4
IDLE_S = 30.0
SETTLE_S = 6.0
CALLS_PER_S = 300.0  # through all instances together
LEAVE_S = 3.5
NOTE_WAIT_S = 30.0
TICKS = os.sysconf("SC_CLK_TCK")


def summary(seconds):
    """Return the number of runs, the median and the worst time.

    Examples
    --------
    >>> summary([0.2, 0.1, 0.9])
    {'runs': 3, 'median': 0.2, 'worst': 0.9}
    """
    return {
        "runs": len(seconds),
        "median": round(statistics.median(seconds), 3),
        "worst": round(max(seconds), 3),
    }


def slope(points):
    """Return the least-squares growth per additional instance.

    Examples
    --------
    >>> slope([(1, 2.0), (2, 4.0), (3, 6.0)])
    2.0
    """
    xs, ys = zip(*points, strict=True)
    return statistics.linear_regression(xs, ys).slope


def last_after(times, start):
    """Return seconds from `start` to the last time after it, or zero.

    Examples
    --------
    >>> last_after([1.0, 2.0, 2.5], 2.0)
    0.5
    >>> last_after([1.0], 2.0)
    0.0
    """
    return max([item - start for item in times if item > start], default=0.0)


def lines(cluster):
    """Return each daemon's log lines, with wall-clock seconds as ``s``."""
    return [
        [
            {**line, "s": _seconds(line["time"])}
            for line in daemon.lines
            if "time" in line
        ]
        for daemon in cluster.daemons
    ]


def _seconds(text):
    return datetime.datetime.fromisoformat(text).timestamp()


def usage(cluster):
    """Return processor seconds and resident bytes of each daemon."""
    result = []
    for daemon in cluster.daemons:
        folder = pathlib.Path(f"/proc/{daemon.process.pid}")
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        pages = int((folder / "statm").read_text().split()[1])
        seconds = (int(fields[11]) + int(fields[12])) / TICKS
        result.append((seconds, pages * os.sysconf("SC_PAGE_SIZE")))
    return result


async def control_bytes(cluster):
    """Return the control bytes of each daemon, by purpose."""
    result = []
    for daemon in cluster.daemons:
        url = f"http://{daemon.public}/metrics"
        async with cluster.session.get(url) as answer:
            text = await answer.text()
        by_purpose = {}
        for line in text.splitlines():
            if line.startswith("sycamoreshed_control_bytes_total{"):
                purpose = line.split('"')[1]
                by_purpose[purpose] = float(line.split()[-1])
        result.append(by_purpose)
    return result


async def measure_idle(cluster):
    """Measure the resources each daemon uses without requests and notes."""
    await asyncio.sleep(SETTLE_S)
    start = time.monotonic()
    used, sent = usage(cluster), await control_bytes(cluster)
    await asyncio.sleep(IDLE_S)
    seconds = time.monotonic() - start
    used_after, sent_after = usage(cluster), await control_bytes(cluster)
    cores = [
        (after[0] - before[0]) / seconds
        for before, after in zip(used, used_after, strict=True)
    ]
    rates = [
        sum(after.values()) - sum(before.values())
        for before, after in zip(sent, sent_after, strict=True)
    ]
    purposes = {
        key: round(
            statistics.mean(
                after[key] - before.get(key, 0.0)
                for before, after in zip(sent, sent_after, strict=True)
                if key in after
            )
            / seconds
        )
        for key in sorted(set().union(*sent_after))
    }
    rates = [rate / seconds for rate in rates]
    sizes = [size / 2**20 for _, size in used_after]
    return {
        "core_percent": round(100 * statistics.mean(cores), 2),
        "core_percent_worst": round(100 * max(cores), 2),
        "bytes_per_s": round(statistics.mean(rates)),
        "bytes_per_s_worst": round(max(rates)),
        "bytes_by_purpose": purposes,
        "resident_mib": round(statistics.mean(sizes), 1),
    }


async def measure_notes(cluster, base, runs):
    """Apply notes one by one; return seconds from first to last log line."""
    versions = []
    for number in range(base, base + runs):
        note = builders.note(
            number, added={"teams": {f"team-{number}": {"rate": 5}}}
        )
        index = number % len(cluster.daemons)
        status, body = await cluster.apply(index, note)
        if status != 200:
            raise RuntimeError(body)
        versions.append(number + 1)
        await _wait_for_version(cluster, number + 1)
    times = {version: [] for version in versions}
    for daemon_lines in lines(cluster):
        for line in daemon_lines:
            if line.get("version") in times:
                times[line["version"]].append(line["s"])
    return [max(times[item]) - min(times[item]) for item in versions]


async def _wait_for_version(cluster, version):
    async with asyncio.timeout(NOTE_WAIT_S):
        for daemon in cluster.daemons:
            url = f"http://{daemon.control}/control/version"
            while True:
                async with cluster.session.get(url) as answer:
                    if (await answer.json())["version"] >= version:
                        break
                await asyncio.sleep(0.05)


async def _load(cluster, index):
    while True:
        await asyncio.sleep(
            random.expovariate(CALLS_PER_S / len(cluster.daemons))
        )
        await cluster.call(index, "catalogue", {"input": 1})


async def measure_leaving(cluster, names, runs):
    """List endpoints as leaving one by one, under load on all instances.

    Returns
    -------
    list of float
        Seconds from each notice to the last request routed to the endpoint.
    """
    tasks = [
        asyncio.create_task(_load(cluster, index))
        for index in range(len(cluster.daemons))
    ]
    await asyncio.sleep(LEAVE_S)
    url = f"http://{cluster.addresses['instances']}/instances"
    listed, noticed_at = [], {}
    for number, name in enumerate(names[:runs]):
        listed.append(
            {
                "name": name,
                "address": "127.0.0.1:9",
                "zone": "north-a",
                "state": "leaving",
                "generation": number + 1,
            }
        )
        noticed_at[name] = time.time()
        async with cluster.session.put(
            url, json={"instances": listed}
        ) as answer:
            answer.raise_for_status()
        await asyncio.sleep(LEAVE_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    route_times = {name: [] for name in noticed_at}
    for daemon_lines in lines(cluster):
        for line in daemon_lines:
            if (
                line.get("decision") == "route"
                and line["choice"] in route_times
            ):
                route_times[line["choice"]].append(line["s"])
    return [
        last_after(route_times[name], at) for name, at in noticed_at.items()
    ]


async def run_size(size, runs):
    """Measure a cluster of `size` instances; return its figures."""
    zones = [zone for region in ZONES.values() for zone in region]
    daemon_zones = [zones[index % len(zones)] for index in range(size)]
    count = max(
        runs + REMAINING_ENDPOINTS, round(size * ENDPOINTS_PER_INSTANCE)
    )
    specs = [
        {"kind": "plain", "name": f"catalogue-{number}"}
        for number in range(count)
    ]
    async with contextlib.AsyncExitStack() as stack:
        host, addresses = await processes.start_host(specs)
        stack.push_async_callback(host.wait)
        stack.callback(host.terminate)
        cluster = await stack.enter_async_context(
            processes.cluster(daemons=size, specs=[], zones=daemon_zones)
        )
        await _configure(cluster, addresses, zones)
        result = {"size": size, "endpoints": count}
        result["idle"] = await measure_idle(cluster)
        result["note_s"] = await measure_notes(cluster, 2, runs)
        result["leave_s"] = await measure_leaving(
            cluster, list(addresses), runs
        )
        result["note"] = summary(result["note_s"])
        result["leave"] = summary(result["leave_s"])
    return result


async def _configure(cluster, addresses, zones):
    endpoints = {
        name: builders.endpoint_spec(
            address, "catalogue", zone=zones[number % len(zones)]
        )
        for number, (name, address) in enumerate(addresses.items())
    }
    regions = {name: {"zones": items} for name, items in ZONES.items()}
    note = builders.note(
        1, changed={"regions": regions}, added={"endpoints": endpoints}
    )
    status, body = await cluster.apply(0, note)
    if status != 200:
        raise RuntimeError(body)
    await _wait_for_version(cluster, 2)


def table(results):
    """Return the results as lines of a Markdown table."""
    head = (
        "| instances | endpoints | note s (median, worst) "
        "| leave s (median, worst) | bytes/s (mean, worst) "
        "| core % (mean, worst) | resident MiB |"
    )
    rows = [head, "|" + "---|" * 7]
    for item in results:
        idle = item["idle"]
        rows.append(
            f"| {item['size']} | {item['endpoints']} "
            f"| {item['note']['median']}, {item['note']['worst']} "
            f"| {item['leave']['median']}, {item['leave']['worst']} "
            f"| {idle['bytes_per_s']}, {idle['bytes_per_s_worst']} "
            f"| {idle['core_percent']}, {idle['core_percent_worst']} "
            f"| {idle['resident_mib']} |"
        )
    return rows


def slopes(results):
    """Return the growth of an instance's idle cost per additional instance."""
    growth = {}
    for key in ("bytes_per_s", "core_percent", "resident_mib"):
        points = [(item["size"], item["idle"][key]) for item in results]
        growth[key] = round(slope(points), 4)
    return growth


def main(argv=None):
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[9, 27, 60])
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--out", type=pathlib.Path, default="out/spread")
    args = parser.parse_args(argv)
    results = [asyncio.run(run_size(size, args.runs)) for size in args.sizes]
    body = {"results": results}
    if len(results) > 1:
        body["slopes"] = slopes(results)
    args.out.mkdir(parents=True, exist_ok=True)
    (args.out / "spread.json").write_text(json.dumps(body, indent=1))
    print("\n".join(table(results)))
    print(json.dumps(body.get("slopes")))


if __name__ == "__main__":
    main()
