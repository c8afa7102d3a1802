"""Measures orders to engines: ``python -m bench.orders PART``.

Parts: ``takeover`` (time until another instance holds the lease after its
holder is killed), ``note`` (time from a note until the holder has read its
state from the last engine), ``store`` (reads and writes of the lease on the
table service, and the holder's cost of engines without changes).
"""

import asyncio
import json
import os
import statistics
import sys
import time

from testkit import builders
from testkit import processes

__all__ = ["main"]

ZONE = "north-a"
# Short lease and order times, so that twenty runs take minutes; the
# results of ``takeover`` state them.
FAST = {"lease_s": 1.6, "lease_margin_s": 0.3, "order_longest_s": 1.0}
POLL_S = 0.01
RUNS = 20
SETTLE_S = 20.0


def _engines(count):
    return [
        {"kind": "engine", "name": f"language-{number}"}
        for number in range(1, count + 1)
    ]


async def _status(cluster, index):
    url = f"http://{cluster.daemons[index].control}/control/orders"
    async with cluster.session.get(url) as answer:
        return await answer.json()


async def _holder(cluster, candidates):
    while True:
        for index in candidates:
            if (await _status(cluster, index))["holds"]:
                return index
        await asyncio.sleep(POLL_S)


async def _apply_placement(cluster, base, part, **changes):
    spec = {"model": "m", "replicas": {ZONE: 1}, **changes}
    note = builders.note(base, **{part: {"placements": {"main": spec}}})
    status, body = await cluster.apply(0, note)
    if status != 200:
        raise RuntimeError(body)


async def _until_loaded(cluster, count, wanted):
    """Wait until the holder has read the wanted state from `count` engines."""
    index = await _holder(cluster, range(len(cluster.daemons)))
    while True:
        engines = (await _status(cluster, index))["engines"].values()
        loaded = [item["loaded"] or {} for item in engines]
        matching = [item for item in loaded if wanted.items() <= item.items()]
        if len(matching) >= count:
            return
        await asyncio.sleep(POLL_S)


def _summary(seconds):
    return {
        "runs": len(seconds),
        "median_s": round(statistics.median(seconds), 3),
        "worst_s": round(max(seconds), 3),
    }


async def _takeover(lengths, runs):
    seconds = []
    async with processes.cluster(
        daemons=3, specs=_engines(1), **lengths
    ) as cluster:
        for _ in range(runs):
            first = await _holder(cluster, range(3))
            # Lets each standby read the lease row before the holder is killed.
            await asyncio.sleep(1.0)
            others = [index for index in range(3) if index != first]
            started_at = time.monotonic()
            await cluster.daemons[first].kill()
            await _holder(cluster, others)
            seconds.append(time.monotonic() - started_at)
            await cluster.daemons[first].start()
    return _summary(seconds)


async def _note(count, runs, kind):
    seconds = []
    async with processes.cluster(
        specs=_engines(count), loads_at_once=count, **FAST
    ) as cluster:
        base = {"replicas": {ZONE: count}, "version": "0", "floor": 0}
        await _apply_placement(cluster, 1, "added", **base)
        await _until_loaded(cluster, count, {"version": "0"})
        for run in range(1, runs + 1):
            if kind == "adapters":
                change = {"adapters": [f"a{run}"]}
            else:
                change = {"version": str(run)}
            if kind == "rolling":
                change["floor"] = count - 1
            started_at = time.monotonic()
            await _apply_placement(
                cluster, run + 1, "changed", **{**base, **change}
            )
            change.pop("floor", None)
            await _until_loaded(cluster, count, change)
            seconds.append(time.monotonic() - started_at)
    return _summary(seconds)


def _cpu_s(pid):
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


async def _order_bytes(cluster, index):
    url = f"http://{cluster.daemons[index].public}/metrics"
    async with cluster.session.get(url) as answer:
        text = await answer.text()
    name = 'control_bytes_total{purpose="orders"}'
    lines = [line for line in text.splitlines() if name in line]
    return float(lines[0].split()[-1]) if lines else 0.0


async def _sample(cluster):
    rows = []
    for index, daemon in enumerate(cluster.daemons):
        status = await _status(cluster, index)
        rows.append(
            {
                "holds": status["holds"],
                **status["store"],
                "bytes": await _order_bytes(cluster, index),
                "cpu_s": _cpu_s(daemon.process.pid),
            }
        )
    return rows


async def _store(daemons, engines):
    """Return costs per second of the holder and of the other instances."""
    async with processes.cluster(
        daemons=daemons, specs=_engines(engines)
    ) as cluster:
        if engines:
            base = {"replicas": {ZONE: engines}, "version": "0"}
            await _apply_placement(cluster, 1, "added", **base)
            await _until_loaded(cluster, engines, {"version": "0"})
        await _holder(cluster, range(daemons))
        await asyncio.sleep(30.0)
        before = await _sample(cluster)
        await asyncio.sleep(SETTLE_S)
        after = await _sample(cluster)
    result = {"daemons": daemons, "engines": engines}
    for key in ("reads", "writes", "bytes", "cpu_s"):
        rates = [
            (new["holds"], (new[key] - old[key]) / SETTLE_S)
            for old, new in zip(before, after, strict=True)
        ]
        others = [rate for holds, rate in rates if not holds]
        result[f"holder {key}/s"] = round(
            sum(rate for holds, rate in rates if holds), 4
        )
        if others:
            result[f"others {key}/s, mean"] = round(statistics.mean(others), 4)
    return result


async def _run(part):
    if part == "takeover":
        yield {"lengths": "1.6+1.0 s", **await _takeover(FAST, RUNS)}
        yield {"lengths": "6+2 s", **await _takeover({}, 5)}
    elif part == "note":
        for count in (4, 16, 64):
            figures = await _note(count, RUNS, "adapters")
            yield {"engines": count, "change": "adapters", **figures}
        for count in (4, 16, 64):
            figures = await _note(count, RUNS, "version")
            yield {"engines": count, "change": "version, floor 0", **figures}
        for count in (4, 8):
            figures = await _note(count, 3, "rolling")
            yield {"engines": count, "change": "one at a time", **figures}
    elif part == "store":
        for daemons, engines in ((1, 86), (9, 4), (9, 43)):
            yield await _store(daemons, engines)
    else:
        raise SystemExit(f"no part {part!r}")


async def _main(parts):
    for part in parts:
        async for row in _run(part):
            print(json.dumps({"part": part, **row}), flush=True)


def main():
    """Run the parts named on the command line."""
    asyncio.run(_main(sys.argv[1:]))


if __name__ == "__main__":
    main()
