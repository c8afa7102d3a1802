"""Release notes with real processes and the command line."""

import asyncio
import contextlib
import json

import aiohttp

from testkit import builders
from testkit import processes
from tests.integration import controls

ZONES = ["north-a", "north-b", "south-a"]
PLATFORM = ("table", "objects", "instances")
NO_ENDPOINTS = []


async def until_version(cluster, indexes, version):
    async def reached():
        current = await controls.versions(cluster, indexes)
        return current == [version] * len(current)

    await controls.until(reached)


async def test_commands_tell_what_is_decided(tmp_path):
    file = tmp_path / "note.json"
    note = controls.team_note(1, "serra")
    file.write_text(json.dumps(note))
    wrong = tmp_path / "wrong.json"
    wrong.write_text(json.dumps({**note, "withdrawn": {"teams": ["no"]}}))
    async with processes.cluster(
        daemons=3, zones=ZONES, specs=NO_ENDPOINTS
    ) as cluster:
        asked = ("--json", "--control", cluster.daemons[1].control)
        await until_version(cluster, range(3), 1)
        assert (await controls.command("note", "check", file))[0] == 0
        checked = await controls.command("note", "check", file, *asked)
        refused = await controls.command("note", "check", wrong, *asked)
        applied = await controls.command("note", "apply", file, *asked)
        await until_version(cluster, range(3), 2)
        again = await controls.command("note", "apply", file, *asked)
        shown = await controls.command("note", "show", *asked)
        before = await controls.command("note", "show", "--at", 1, *asked)
        history = await controls.command("note", "history", *asked)
        status = await controls.command(
            "note", "status", "--note-id", note["id"], *asked
        )
    assert checked[:2] == (0, {"valid": note["id"], "would_make": 2})
    assert refused[0] == 1
    assert "$.withdrawn.teams: 'no'" in refused[1]["detail"]
    assert applied[:2] == (0, {"accepted": note["id"], "version": 2})
    assert again[:2] == applied[:2]
    assert "serra" in shown[1]["sections"]["teams"]
    assert before[1]["version"] == 1
    assert "serra" not in before[1]["sections"]["teams"]
    assert [item["author"] for item in history[1]["notes"]] == ["ana", "ana"]
    assert status[1]["outcome"] == "accepted"
    assert status[1]["accepted_as"] == 2
    assert status[1]["regions"] == {
        "north": {"north-a": {"entry-1": 2}, "north-b": {"entry-2": 2}},
        "south": {"south-a": {"entry-3": 2}},
    }


async def test_store_outage_during_apply_is_told_as_unknown(tmp_path):
    """The table becomes unavailable while a note is being applied.

    After "refused" an operator would write another note for the same
    change; after "accepted" they might wait for it indefinitely.
    """
    file = tmp_path / "note.json"
    note = controls.team_note(1, "serra")
    file.write_text(json.dumps(note))
    async with processes.cluster(daemons=2, specs=NO_ENDPOINTS) as cluster:
        asked = ("--json", "--control", cluster.daemons[0].control)
        named = ("--note-id", note["id"])
        await cluster.faults("table", down=True)
        applied = await controls.command("note", "apply", file, *asked)
        status = await controls.command("note", "status", *named, *asked)
        await cluster.faults("table")
        later = await controls.command("note", "status", *named, *asked)
        again = await controls.command("note", "apply", file, *asked)
        # From here on a third of the answers is lost, also of applied writes.
        await cluster.faults("table", lose=0.33, paths=["/transact"])
        for base in range(2, 8):
            file.write_text(json.dumps(controls.team_note(base, f"t{base}")))
            code = 3
            while code == 3:
                code, body, _ = await controls.command(
                    "note", "apply", file, *asked
                )
            assert (code, body["version"]) == (0, base + 1)
    assert applied[0] == status[0] == 3
    assert "note status" in applied[1]["detail"]
    assert later[1]["outcome"] == "not accepted"
    assert again[:2] == (0, {"accepted": note["id"], "version": 2})


async def test_two_regions_write_on_the_same_version():
    """Operators of two regions apply notes at the same moment.

    One note wins everywhere; the other operator must be told its author.
    """
    async with processes.cluster(
        daemons=3, zones=ZONES, specs=NO_ENDPOINTS
    ) as cluster:
        await until_version(cluster, range(3), 1)
        for base in range(1, 6):
            notes = [
                controls.team_note(base, f"t{base}", author=who, rate=rate)
                for who, rate in (("ana", 5), ("bia", 7))
            ]
            (first, one), (second, two) = await asyncio.gather(
                cluster.apply(0, notes[0]), cluster.apply(2, notes[1])
            )
            assert sorted((first, second)) == [200, 409]
            lost = two if first == 200 else one
            winner = notes[0] if first == 200 else notes[1]
            assert lost["winner"] == {
                "id": winner["id"],
                "author": winner["author"],
            }
            assert [item["path"] for item in lost["differs"]] == [
                f"teams/t{base}"
            ]
            await until_version(cluster, range(3), base + 1)
            shown = [
                await controls.get(cluster, index, "/control/notes/show")
                for index in range(3)
            ]
            assert shown[0] == shown[1] == shown[2]
            team = shown[0]["sections"]["teams"][f"t{base}"]
            assert team == winner["added"]["teams"][f"t{base}"]


async def test_starting_with_the_platform_away_takes_a_peers_configuration():
    """An instance restarts while it is cut off from platform and peers.

    It has no stored configuration and must not become ready without one.
    Once it can reach a peer, it takes the current one from there.
    """
    async with processes.cluster(
        daemons=3, specs=NO_ENDPOINTS, proxied=True
    ) as cluster:
        await cluster.apply(0, controls.team_note(1, "serra"))
        await until_version(cluster, range(3), 2)
        await cluster.daemons[2].kill()
        cluster.cut([2], (*PLATFORM, "entry-1", "entry-2"))
        cluster.proxies["entry-3"].blocked = {
            cluster.daemons[index].source for index in (0, 1)
        }
        await cluster.daemons[2].start()
        url = f"http://{cluster.daemons[2].public}/readyz"
        # Long enough to see that it does not assume a configuration.
        for _ in range(30):
            async with cluster.session.get(url) as answer:
                unready = answer.status, await answer.json()
            assert unready[0] == 503
            await asyncio.sleep(0.1)
        cluster.cut([], ("entry-1", "entry-2", "entry-3"))
        await cluster.daemons[2].wait_ready()
        current = await controls.versions(cluster, [2])
    assert "no configuration" in unready[1]["detail"]
    assert current == [2]


async def test_starter_loads_the_snapshot_and_passes_it_on():
    """An instance starts late, and then one that can reach only the first.

    The first has a snapshot but no single notes, so it must send the full
    configuration.
    """
    async with processes.cluster(
        daemons=3, specs=NO_ENDPOINTS, proxied=True
    ) as cluster:
        for base in range(1, 53):
            status, _ = await cluster.apply(
                0, controls.team_note(base, f"t{base}")
            )
            assert status == 200

        async def is_stored():
            listing = await cluster.get("objects", "/names")
            return [name for name in listing["names"] if "config/" in name]

        assert len(await controls.until(is_stored)) == 1
        await until_version(cluster, range(3), 53)
        for index in (1, 2):
            await cluster.daemons[index].kill()
        await cluster.daemons[1].start()
        await cluster.daemons[1].wait_ready()
        cluster.cut([2], (*PLATFORM, "entry-1"))
        cluster.proxies["entry-3"].blocked = {cluster.daemons[0].source}
        await cluster.daemons[2].start()
        await cluster.daemons[2].wait_ready()
        shown = [
            await controls.get(cluster, index, "/control/notes/show")
            for index in range(3)
        ]
    assert shown[0]["version"] == 53
    assert shown[0] == shown[1] == shown[2]


async def watch_readiness(cluster, index, ready):
    """Poll the readiness of an instance, as the load balancer does."""
    url = f"http://{cluster.daemons[index].public}/readyz"
    while True:
        ready[index] = False
        with contextlib.suppress(aiohttp.ClientError):
            async with cluster.session.get(url) as answer:
                ready[index] = answer.status == 200
        await asyncio.sleep(0.05)


async def send_load(cluster, index, ready, answers):
    """Call an instance while it is ready; check that versions never drop."""
    highest = 0
    while True:
        if not ready[index]:
            await asyncio.sleep(0.01)
            continue
        status, _, body = await cluster.call(index, "catalogue", {"input": 1})
        if status == 200:
            assert body["version"] >= highest
            highest = body["version"]
        answers.append((status, body.get("outcome")))
        # Stays well below the team's limit, which is not under test here.
        await asyncio.sleep(0.01)


async def test_versions_never_go_down_while_all_restart_under_load():
    """Instances are restarted one by one, as in a release.

    The only failures a caller may see are rejections of requests that did
    not run.  No caller may be served by an older version than before.
    """
    ready = [False] * 3
    answers = []
    async with processes.cluster(
        daemons=3, zones=ZONES, grace_s=1.5
    ) as cluster:
        await until_version(cluster, range(3), 1)
        tasks = []
        for index in range(3):
            watch = watch_readiness(cluster, index, ready)
            load = send_load(cluster, index, ready, answers)
            tasks += [asyncio.create_task(watch), asyncio.create_task(load)]
        for index, daemon in enumerate(cluster.daemons):
            status, _ = await cluster.apply(
                (index + 1) % 3, controls.team_note(index + 1, f"t{index}")
            )
            assert status == 200
            assert await daemon.stop() == 0
            await daemon.start()
            await daemon.wait_ready()
            assert await controls.versions(cluster, [index]) == [index + 2]
        ended = [task for task in tasks if task.done()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    assert [task.exception() for task in ended] == []
    assert len(answers) > 100
    assert set(answers) <= {
        (200, "complete"),
        (503, "not-run"),
        (503, "shed"),
    }


async def test_a_request_keeps_its_version_and_a_withdrawn_one_is_refused():
    """A pipeline is withdrawn while a request of it runs.

    That request completes with its version; later ones are rejected.
    """
    specs = [
        {"kind": "plain", "name": "catalogue-1", "seconds": 1.0},
        {"kind": "pool", "name": "encoder-1"},
    ]
    async with processes.cluster(specs=specs) as cluster:
        running = asyncio.create_task(
            cluster.call(0, "catalogue", {"input": 1})
        )

        async def is_running():
            status = await controls.get(cluster, 0, "/control/status")
            return status["in_flight"] == 1

        await controls.until(is_running)
        status, _ = await cluster.apply(
            0, builders.note(1, withdrawn={"pipelines": ["catalogue"]})
        )
        refused, _, problem = await cluster.call(0, "catalogue", {"input": 2})
        answered, _, body = await running
    assert (status, answered, body["version"]) == (200, 200, 1)
    assert (refused, problem["title"]) == (410, "Pipeline withdrawn")
