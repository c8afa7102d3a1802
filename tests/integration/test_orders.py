"""Orders that tell engines which model to load, with real processes."""

import asyncio
import signal

import pytest

from testkit import builders
from testkit import processes

ZONE = "north-a"
FAST = {
    "lease_s": 1.6,
    "lease_margin_s": 0.3,
    "order_longest_s": 1.0,
    "order_look_s": 1.0,
}
LIMIT_S = 60.0
LONG_S = 300.0


def engines(count, **changes):
    return [
        {"kind": "engine", "name": f"language-{number}", **changes}
        for number in range(1, count + 1)
    ]


def names(specs):
    return [spec["name"] for spec in specs]


def placement(version, replicas, **changes):
    spec = {"model": "m", "version": version, "replicas": {ZONE: replicas}}
    return {"placements": {"main": {**spec, **changes}}}


async def place(cluster, base, part, entries, *, index=0):
    note = builders.note(base, **{part: entries})
    status, body = await cluster.apply(index, note)
    assert status == 200, body
    return body["version"]


async def until(check, *, what, limit=LIMIT_S, seen=None):
    """Poll until a check returns true.

    Parameters
    ----------
    check : coroutine function
    what : str
        Expected condition, for the message of a failure.
    limit : float
        Seconds after which the test fails; generous by default.
    seen : object, optional
        Last state that the check read, for the message of a failure.
    """
    try:
        async with asyncio.timeout(limit):
            while not await check():
                await asyncio.sleep(0.05)
    except TimeoutError:
        last = "" if seen is None else f"; seen last: {seen}"
        pytest.fail(f"never came about: {what}{last}")


async def versions(cluster, engine_names):
    result = []
    for name in engine_names:
        state = await cluster.get(name, "/state")
        result.append(state["loaded"] and state["loaded"]["version"])
    return result


async def until_loaded(cluster, engine_names, version, replicas=None):
    async def check():
        loaded = await versions(cluster, engine_names)
        return loaded.count(version) == (replicas or len(engine_names))

    await until(check, what=f"{version} on {engine_names}")


async def status(cluster, index):
    address = cluster.daemons[index].control
    url = f"http://{address}/control/orders"
    async with cluster.session.get(url) as answer:
        return await answer.json()


async def holder(cluster, among=None):
    """Wait until a daemon holds the lease; return its index."""
    holders = []
    seen = {}

    async def check():
        for index in among or range(len(cluster.daemons)):
            # Remains if a daemon does not answer.
            seen[index] = "asked"
            seen[index] = await status(cluster, index)
            if seen[index]["holds"]:
                holders.append(index)
                return True
        return False

    await until(check, what="a holder", seen=seen)
    return holders[0]


async def counts(cluster, engine_names, what):
    return [
        (await cluster.get(name, "/counts")).get(what, 0)
        for name in engine_names
    ]


async def test_engines_get_what_a_note_says_and_lose_what_it_withdraws():
    specs = engines(3)
    async with processes.cluster(specs=specs, **FAST) as cluster:
        await place(cluster, 1, "added", placement("1", 2))
        await until_loaded(cluster, names(specs), "1", 2)
        await place(cluster, 2, "changed", placement("2", 3))
        await until_loaded(cluster, names(specs), "2")
        await place(cluster, 3, "withdrawn", {"placements": ["main"]})
        await until_loaded(cluster, names(specs), None)


@pytest.mark.parametrize("checks", [True, False])
async def test_paused_holder_does_not_undo_what_operators_decided(checks):
    """The lease holder is paused with an order in flight, then continues.

    Its order reaches the engine after its successor's.  An engine that
    ignores fencing numbers loads the old version, and members would be
    answered by a model that operators had replaced.
    """
    specs = engines(2, checks_orders=checks)
    late = {"late": 1.0, "late_s": 8.0, "paths": ["/orders"]}
    rounds = 2
    async with processes.cluster(daemons=3, specs=specs, **FAST) as cluster:
        await place(cluster, 1, "added", placement("v1", 2))
        await until_loaded(cluster, names(specs), "v1")
        version = 2
        for _ in range(rounds):
            first = await holder(cluster)
            other = (first + 1) % 3
            for name in names(specs):
                await cluster.faults(name, **late)
            stale, new = f"v{version}", f"v{version + 1}"
            before = await _count_orders(cluster, first, "refused")
            await place(cluster, version, "changed", placement(stale, 2))
            # The order for the version that is about to be replaced is sent.
            await until(
                lambda index=first, previous=before: _has_more_orders(
                    cluster, index, "refused", previous
                ),
                what="an order whose answer was lost",
            )
            cluster.daemons[first].send_signal(signal.SIGSTOP)
            for name in names(specs):
                await cluster.faults(name)
            await place(
                cluster,
                version + 1,
                "changed",
                placement(new, 2),
                index=other,
            )
            version += 2
            await holder(cluster, [other, (first + 2) % 3])
            await until_loaded(cluster, names(specs), new)
            cluster.daemons[first].send_signal(signal.SIGCONT)
            await until(
                lambda min_count=version // 2 - 1: _has_stale(
                    cluster, specs, min_count
                ),
                what="the late order at an engine",
            )
            await until_loaded(cluster, names(specs), new)
        stale = await counts(cluster, names(specs), "stale_orders")
        refused = await counts(cluster, names(specs), "refused_orders")
        await _check_stays_loaded(cluster, names(specs), new)
    print(f"checks={checks}: stale {stale}, refused {refused}")
    assert sum(stale) >= rounds
    assert refused == (stale if checks else [0, 0])


async def _count_orders(cluster, index, outcome):
    """Return the number of a daemon's orders that had an outcome."""
    address = cluster.daemons[index].public
    name = f'sycamoreshed_engine_orders_total{{outcome="{outcome}"}} '
    url = f"http://{address}/metrics"
    async with cluster.session.get(url) as answer:
        for line in (await answer.text()).splitlines():
            if line.startswith(name):
                return float(line.removeprefix(name))
    return 0.0


async def _has_more_orders(cluster, index, outcome, previous):
    return await _count_orders(cluster, index, outcome) > previous


async def _has_stale(cluster, specs, min_count):
    stale = await counts(cluster, names(specs), "stale_orders")
    return sum(stale) >= min_count


async def _check_stays_loaded(cluster, engine_names, version):
    """Check versions after more than the longest read-back interval."""
    await asyncio.sleep(2 * FAST["order_look_s"])
    await until_loaded(cluster, engine_names, version)


async def test_version_changes_under_load_with_the_floor_serving():
    """A model's version changes under load while three of four engines serve.

    Three is the placement's floor, below which the number must not fall.

    If all engines loaded at once, every answer would be late.
    """
    specs = engines(4, load_s=0.3, weights="weights", weight_bytes=1e5)
    others = [
        {"kind": "pool", "name": f"{service}-1"}
        for service in ("encoder", "retriever", "reranker")
    ]
    async with processes.cluster(specs=[*specs, *others], **FAST) as cluster:
        await place(cluster, 1, "added", placement("v1", 4))
        await until_loaded(cluster, names(specs), "v1")
        stop = asyncio.Event()
        callers = [asyncio.create_task(_call(cluster, stop)) for _ in range(4)]
        started_at = await _last_change(cluster, specs)
        await place(cluster, 2, "changed", placement("v2", 4, floor=3))
        await until_loaded(cluster, names(specs), "v2")
        stop.set()
        answers = sum(await asyncio.gather(*callers), [])
        min_serving = await _min_serving(cluster, specs, started_at)
        weights = await cluster.get("weights", "/counts")
    print(f"answers {len(answers)}, least serving {min_serving}, {weights}")
    assert set(answers) == {200}
    assert min_serving == 3
    assert weights["loads"] == 8


async def _call(cluster, stop):
    answers = []
    while not stop.is_set():
        answer = await cluster.call(0, "summary", {"input": "x"})
        answers.append(answer[0])
    return answers


async def _changes(cluster, specs):
    result = []
    for name in names(specs):
        body = await cluster.get(name, "/history")
        result += [(at, name, serving) for at, serving, _ in body["history"]]
    return sorted(result)


async def _last_change(cluster, specs):
    return (await _changes(cluster, specs))[-1][0]


async def _min_serving(cluster, specs, started_at):
    """Return the smallest number of engines serving after `started_at`."""
    serving = {}
    result = len(specs)
    for at, name, is_serving in await _changes(cluster, specs):
        serving[name] = is_serving
        if at > started_at:
            result = min(result, sum(serving.values()))
    return result


async def test_loads_keep_to_the_weight_stores_rate():
    """Eight engines load a model from a weight store with a limited rate.

    If all loaded at once, each load would wait for all the others, beyond
    the time limit of the engines.
    """
    size = 1e5
    specs = engines(8, weights="weights", weight_bytes=size)
    changes = {**FAST, "loads_at_once": 2, "weight_rate": 8e5}
    async with processes.cluster(specs=specs, **changes) as cluster:
        await place(cluster, 1, "added", placement("v1", 8, weight_bytes=size))
        await until_loaded(cluster, names(specs), "v1")
        weights = await cluster.get("weights", "/counts")
    print(weights)
    assert weights["loads"] == 8
    assert weights["most"] <= 2


@pytest.mark.timeout(2 * LONG_S)
@pytest.mark.parametrize(
    "fault",
    [{"lose": 0.5}, {"fail": 0.5}, {"late": 0.5, "late_s": 0.3}],
    ids=["answers lost", "errors", "late effect"],
)
async def test_orders_are_repeated_until_they_hold(fault):
    """Half of the calls to engines lose their answer, fail or act late.

    If orders were sent once without a check of their effect, some engine
    would keep the old version indefinitely.
    """
    specs = engines(3)
    async with processes.cluster(specs=specs, **FAST) as cluster:
        for name in names(specs):
            await cluster.faults(name, **fault, paths=["/orders", "/state"])
        await place(cluster, 1, "added", placement("v1", 3))
        await until(
            lambda: _all_have(cluster, specs, "v1"), what="v1 everywhere"
        )
        await place(cluster, 2, "changed", placement("v2", 3))
        # Engines change one at a time, and each may need ten attempts with
        # delays that grow to ten seconds.
        await until(
            lambda: _all_have(cluster, specs, "v2"),
            what="v2 everywhere",
            limit=LONG_S,
        )


async def _all_have(cluster, specs, version):
    states = []
    for name in names(specs):
        body = await cluster.get(name, "/history")
        states.append(body["history"][-1][1:])
    return states == [[True, version]] * len(specs)


async def test_silent_engine_holds_up_nobody_else():
    """An unresponsive engine does not delay orders to the others.

    A reconciler that handled engines in sequence would wait for it each
    time.
    """
    specs = engines(4)
    async with processes.cluster(specs=specs, proxied=True, **FAST) as cluster:
        cluster.proxies["language-1"].freeze = True
        await place(cluster, 1, "added", placement("v1", 4))
        await until_loaded(cluster, names(specs), "v1", 3)
        cluster.proxies["language-1"].freeze = False
        await until_loaded(cluster, names(specs), "v1", 4)
