"""Removal of an endpoint or an instance from service under load."""

import asyncio
import collections
import contextlib

from testkit import builders
from testkit import processes
from tests.integration import controls

# All instances must apply a configuration change within this time.
IN_FORCE_S = 11.0
ZONES = ["north-a", "north-a", "north-b", "south-a"]
SPECS = [
    {"kind": "plain", "name": "catalogue-1"},
    {"kind": "plain", "name": "catalogue-2"},
    {"kind": "pool", "name": "encoder-1"},
    {"kind": "pool", "name": "retriever-1"},
    {"kind": "pool", "name": "reranker-1"},
    {"kind": "engine", "name": "language-1"},
    {"kind": "engine", "name": "language-2"},
]


async def send(cluster, index, pipeline, statuses, ended):
    name = asyncio.current_task().get_name()
    while True:
        ended[name] += 0
        status, _, _ = await cluster.call(index, pipeline, {"input": 1})
        statuses.append(status)
        ended[name] += 1


@contextlib.asynccontextmanager
async def load(cluster, pipeline, *, ended=None):
    """Call a pipeline through all daemons; yield the list of statuses.

    `ended` counts the completed calls of each caller.
    """
    statuses = []
    ended = collections.Counter() if ended is None else ended
    tasks = [
        asyncio.create_task(send(cluster, index, pipeline, statuses, ended))
        for index in range(len(cluster.daemons))
        for _ in range(2)
    ]
    try:
        yield statuses
        assert not any(task.done() for task in tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def served(cluster, name):
    return (await cluster.get(name, "/counts")).get("served", 0)


async def until_quiet(cluster, name, statuses):
    """Wait until an endpoint receives no calls while others do."""

    async def quiet():
        before = await served(cluster, name)
        target = len(statuses) + 60
        while len(statuses) < target:
            await asyncio.sleep(0.01)
        return await served(cluster, name) == before

    await controls.until(quiet)
    before = await served(cluster, name)
    target = len(statuses) + 100
    while len(statuses) < target:
        await asyncio.sleep(0.01)
    assert await served(cluster, name) == before


async def until_all_have(cluster, version):
    """Wait until each daemon reports that it applies a configuration."""

    async def in_force():
        versions = [
            (await controls.get(cluster, index, "/control/status"))["version"]
            for index in range(len(cluster.daemons))
        ]
        return min(versions) >= version

    await controls.until(in_force, wait_s=IN_FORCE_S)


def chosen_after(daemon, version, name):
    """Count the choices of an endpoint after a version was applied.

    Returns
    -------
    int
        Choices of the endpoint in the daemon's log after the line
        "configuration in force" with that version or a later one.
    """
    late_choices = 0
    is_in_force = False
    for line in daemon.lines:
        if line["message"] == "configuration in force":
            is_in_force = is_in_force or line["version"] >= version
        if is_in_force and line.get("choice") == name:
            late_choices += 1
    assert is_in_force
    return late_choices


async def until_called_anew(ended):
    """Wait until each caller has completed its current call."""
    before = dict(ended)

    async def all_ended():
        return all(ended[name] > count for name, count in before.items())

    await controls.until(all_ended)


async def put_list(cluster, entries):
    url = f"http://{cluster.addresses['instances']}/instances"
    items = [
        {
            "name": name,
            "address": cluster.addresses[name],
            "zone": "north-a",
            "state": status,
            "generation": generation,
        }
        for name, status, generation in entries
    ]
    async with cluster.session.put(url, json={"instances": items}) as answer:
        answer.raise_for_status()


async def test_listed_leaver_gets_no_new_work_also_from_an_old_list():
    """The platform lists an endpoint as leaving while it serves.

    Calls in flight complete; new ones would be cut off when it exits.
    The other endpoint fails often, so that retries need a second one.
    """
    async with processes.cluster(
        daemons=4, zones=ZONES, specs=SPECS
    ) as cluster:
        async with load(cluster, "catalogue") as statuses:
            await controls.until(lambda: served(cluster, "catalogue-1"))
            await cluster.faults("catalogue-2", fail=0.3, paths=["/call"])
            await put_list(cluster, [("catalogue-1", "leaving", 7)])
            await until_quiet(cluster, "catalogue-1", statuses)
            # A list of an older generation must not make it live again.
            await put_list(cluster, [("catalogue-1", "live", 6)])
            await until_quiet(cluster, "catalogue-1", statuses)
            await cluster.faults("catalogue-2")
            before = await served(cluster, "catalogue-1")
            await put_list(cluster, [("catalogue-1", "live", 8)])

            async def is_back():
                return await served(cluster, "catalogue-1") > before

            await controls.until(is_back)


async def test_resumed_streams_do_not_go_to_a_leaver():
    """An engine breaks streams, and the only other one is leaving.

    A stream resumed at the leaving engine would break when that exits.
    """
    async with processes.cluster(
        daemons=4, zones=ZONES, specs=SPECS
    ) as cluster:
        async with load(cluster, "summary") as statuses:
            await controls.until(lambda: served(cluster, "language-1"))
            await put_list(cluster, [("language-1", "leaving", 7)])
            await cluster.faults("language-2", break_=0.3, paths=["/generate"])
            await until_quiet(cluster, "language-1", statuses)
    assert 200 in statuses


async def test_withdrawn_endpoint_gets_no_new_work():
    """A release note withdraws an endpoint under load.

    Once an instance applies the note, none of its new calls may go there,
    or they are cut off when the endpoint exits; and each instance must
    apply it in time.

    A number of answers without a call to the endpoint does not show that
    all instances apply the note: on a busy machine, an instance that does
    not apply it yet can call the endpoint after 188 such answers (0.42 s).
    Instances can apply the note 0.86 s apart; the last is one that started
    before the peers it asks first and received no update from them.  The
    last choice of the endpoint can come 6 ms before the log line
    "configuration in force", so the test checks each log for choices after
    that line.
    """
    ended = collections.Counter()
    async with processes.cluster(
        daemons=4, zones=ZONES, specs=SPECS
    ) as cluster:
        async with load(cluster, "catalogue", ended=ended) as statuses:
            await controls.until(lambda: served(cluster, "catalogue-1"))
            note = builders.note(1, withdrawn={"endpoints": ["catalogue-1"]})
            status, body = await cluster.apply(3, note)
            assert status == 200
            await until_all_have(cluster, body["version"])
            await until_called_anew(ended)
            before = await served(cluster, "catalogue-1")
            target = len(statuses) + 200
            while len(statuses) < target:
                await asyncio.sleep(0.01)
            assert await served(cluster, "catalogue-1") == before
            assert set(statuses) == {200}
        late = [
            chosen_after(daemon, body["version"], "catalogue-1")
            for daemon in cluster.daemons
        ]
        assert late == [0, 0, 0, 0]


async def test_drained_instance_is_counted_out_before_it_is_gone():
    """A draining instance with a request in flight is not counted as live.

    Its share of the limits must pass to the others meanwhile.
    """
    specs = [{"kind": "plain", "name": "catalogue-1", "seconds": 3.0}]
    async with processes.cluster(
        daemons=4, zones=ZONES, specs=specs
    ) as cluster:

        async def live(total):
            counts = [
                (await controls.get(cluster, index, "/control/status"))["live"]
                for index in range(3)
            ]
            return all(item["total"] == total for item in counts)

        await controls.until(lambda: live(4))
        running = asyncio.create_task(
            cluster.call(3, "catalogue", {"input": 1})
        )
        await asyncio.sleep(0.2)
        await controls.post(cluster, 3, "/control/drain")
        await controls.until(lambda: live(3))
        assert cluster.daemons[3].process.returncode is None
        status, _, _ = await running
        assert status == 200
        assert await cluster.daemons[3].stop() == 0


async def test_failing_one_call_in_five_is_ejected_and_comes_back():
    """An endpoint fails one call in five but passes its probes.

    It must be ejected, and receive calls again once it works.
    """
    async with processes.cluster(
        daemons=2, zones=ZONES[:2], specs=SPECS
    ) as cluster:
        async with load(cluster, "catalogue") as statuses:
            await cluster.faults("catalogue-1", fail=0.2, paths=["/call"])

            async def ejected():
                lines = [
                    line
                    for daemon in cluster.daemons
                    for line in daemon.lines
                    if line.get("decision") == "eject"
                ]
                return [line["endpoint"] for line in lines]

            names = await controls.until(ejected)
            assert set(names) == {"catalogue-1"}
            await cluster.faults("catalogue-1")
            before = await served(cluster, "catalogue-1")

            async def is_back():
                return await served(cluster, "catalogue-1") > before + 50

            await controls.until(is_back)
            assert len(statuses) > 100


async def test_slow_endpoint_is_ejected_for_all_of_its_zone():
    """An endpoint that answers slowly but without failures is ejected."""
    specs = [*SPECS, {"kind": "plain", "name": "catalogue-3"}]
    async with processes.cluster(
        daemons=2, zones=ZONES[:2], specs=specs
    ) as cluster:
        async with load(cluster, "catalogue"):
            await controls.until(lambda: served(cluster, "catalogue-1"))
            await cluster.faults("catalogue-1", delay_s=0.3, paths=["/call"])

            async def ejected():
                return {
                    line["endpoint"]
                    for daemon in cluster.daemons
                    for line in daemon.lines
                    if line.get("decision") == "eject"
                }

            assert await controls.until(ejected) == {"catalogue-1"}
