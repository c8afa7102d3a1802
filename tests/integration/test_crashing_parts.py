"""A part of prompts that crashes each engine that answers a prompt with it."""

import asyncio
import contextlib
import itertools
import random
import time
import typing

import aiohttp
import pytest

from standins import crashing
from standins import scripted
from testkit import wiredata
from tests.integration import harness

# Bounds that the service states: requests with such a part that may reach
# engines later than this after the fifth crash, and the share of others that
# is served then, from twice as long after it.
STABLE_S = 4.0
MAX_LATE_SENDS = 3
MIN_SERVED_SHARE = 0.5
CRASHES = 5
ENGINES = 9
RUN_S = 0.08
RESTART_S = 1.5
SOUND_INTERVAL_S = 0.05
BAD_INTERVAL_S = 0.25
REPETITIONS = 3
PLAY_S = 14.0

HEAD = scripted.stream_head(**{harness.SEAL: "proof"})

_numbers = itertools.count()


class Case(typing.NamedTuple):
    """How engines crash, and under which parts."""

    bad: tuple = ("bad",)
    before: tuple = ()
    is_first: bool = False


CASES = {
    "before a byte": Case(),
    "within the first event": Case(before=(HEAD, b"id: ")),
    "after an event": Case(before=(HEAD, harness.event(0))),
    "first part": Case(is_first=True),
    "two parts": Case(bad=("bad", "bad2")),
}


class Sent(typing.NamedTuple):
    """A sound request's time and whether it was served at once."""

    at: float
    is_served: bool


class Play:
    """Callers of one team, some of whose prompts have a part that crashes."""

    def __init__(self, *, case, instances, session):
        self._case = case
        self._instances = instances
        self._session = session
        self._rng = random.Random(52)
        self._tasks = set()
        self.sound = []

    async def run(self):
        """Send requests for `PLAY_S` seconds."""
        ends_at = time.monotonic() + PLAY_S
        await asyncio.gather(self._bad(ends_at), self._sound(ends_at))
        await asyncio.gather(*self._tasks)

    async def _sound(self, ends_at):
        while time.monotonic() < ends_at:
            self._spawn(self._send_sound())
            await asyncio.sleep(SOUND_INTERVAL_S)

    async def _bad(self, ends_at):
        for part in itertools.cycle(self._case.bad):
            if time.monotonic() >= ends_at:
                return
            self._spawn(self._send_bad(part))
            await asyncio.sleep(BAD_INTERVAL_S)

    def _spawn(self, call):
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_sound(self):
        number = next(_numbers)
        at = time.monotonic()
        first = self._rng.choice(["sound", "common"])
        parts = [first if self._case.is_first else "common", "middle"]
        status = await self._send(number, [*parts, f"own{number}"])
        self.sound.append(Sent(at, status == 200))

    async def _send_bad(self, part):
        number = next(_numbers)
        parts = ["common", part, "middle"]
        if self._case.is_first:
            parts = [part, "common", "middle"]
        for _ in range(REPETITIONS):
            if await self._send(number, [*parts, f"own{number}"]) == 200:
                return
            await asyncio.sleep(0.1)

    async def _send(self, number, parts):
        headers = wiredata.head(
            f"r-{next(_numbers)}",
            prefix_hash=",".join(f"{part.encode().hex()}:9" for part in parts),
        )
        with contextlib.suppress(aiohttp.ClientError):
            status, _, _ = await harness.call(
                self._session,
                self._rng.choice(self._instances),
                "POST",
                headers=headers,
                data=f"body {number}".encode(),
            )
            return status


def is_bad(received, case):
    """Return whether a request has a part under which engines crash."""
    named = received.headers["x-sycamoreshed-prefix-hash"].split(",")
    parts = {each.partition(":")[0] for each in named[:-1]}
    return any(each.encode().hex() in parts for each in case.bad)


@pytest.mark.parametrize("name", CASES)
async def test_part_of_prompts_does_not_crash_engines_without_end(
    store, tmp_path, name
):
    """Requests that were never the same crashed engines by a common part."""
    case = CASES[name]
    sends, crashes = [], []

    def script(received):
        bad = is_bad(received, case)
        if bad:
            sends.append(time.monotonic())
        yield RUN_S
        if bad:
            yield from case.before
            yield 0.005
            crashes.append(time.monotonic())
            yield scripted.CRASH
            return
        yield HEAD
        for number in range(4):
            yield harness.event(number)
            yield 0.15

    route = {"resumable": True, "max_attempts": 2, "sticky": True}
    store.put("op", "config", harness.stream_route(**route))
    fleet = crashing.Fleet(
        store=store,
        zones=[harness.ZONES[n % len(harness.ZONES)] for n in range(ENGINES)],
        script=script,
        entry=lambda address, zone: wiredata.beat(
            address, zone=zone, slots=64
        ),
        restart_s=RESTART_S,
    )
    await fleet.start()
    async with harness.serving_in_zones(
        store, tmp_path, retry_slack=1000.0
    ) as (instances, session):
        play = Play(case=case, instances=instances, session=session)
        await play.run()
    await fleet.stop()
    fifth = crashes[len(case.bad) * CRASHES - 1]
    assert sum(at > fifth + STABLE_S for at in sends) <= MAX_LATE_SENDS
    late = [each for each in play.sound if each.at > fifth + 2 * STABLE_S]
    served = sum(each.is_served for each in late)
    assert served >= MIN_SERVED_SHARE * len(late) > 0


class Deployment(typing.NamedTuple):
    """Instances before engines that crash under the part "bad"."""

    instances: list
    session: aiohttp.ClientSession
    fleet: crashing.Fleet

    async def send(self, instance, parts=("common", "bad")):
        """Send a request that was never sent before; return the answer."""
        number = next(_numbers)
        named = [each.encode().hex() for each in (*parts, f"own{number}")]
        return await harness.call(
            self.session,
            instance,
            "POST",
            headers=wiredata.head(
                f"r-{number}",
                prefix_hash=",".join(f"{each}:9" for each in named),
            ),
            data=f"body {number}".encode(),
        )

    async def send_bad(self, count):
        """Send bad requests in turn; return the last status and headers."""
        for number in range(count):
            instance = self.instances[number % len(self.instances)]
            status, headers, _ = await self.send(instance)
            await self.send(instance, ("common", "middle"))
            await asyncio.sleep(0.3)
        return status, headers

    def sends(self):
        """Return how often engines received a bad request."""
        return sum(is_bad(each, Case()) for each in self.fleet.seen)


@contextlib.asynccontextmanager
async def deployment(store, folder):
    """Run instances and engines until the part is rejected."""

    def script(received):
        yield RUN_S
        if is_bad(received, Case()):
            yield scripted.CRASH
            return
        yield HEAD + harness.event(0)

    route = {"resumable": True, "max_attempts": 2, "sticky": True}
    store.put("op", "config", harness.stream_route(**route))
    fleet = crashing.Fleet(
        store=store,
        zones=[harness.ZONES[n % len(harness.ZONES)] for n in range(ENGINES)],
        script=script,
        entry=lambda address, zone: wiredata.beat(address, zone=zone),
    )
    await fleet.start()
    async with harness.serving_in_zones(store, folder, retry_slack=1000.0) as (
        instances,
        session,
    ):
        running = Deployment(instances, session, fleet)
        status, headers = await running.send_bad(16)
        assert status == 503
        assert float(headers["Retry-After"]) > 60
        yield running
    await fleet.stop()


async def test_rejected_part_is_known_after_all_instances_restart(
    store, tmp_path
):
    """Instances that started again had engines crash by a rejected part."""
    async with deployment(store, tmp_path) as running:
        before = running.sends()
        for each in running.instances:
            await each.kill()
        for each in running.instances:
            await each.start()
        for each in running.instances:
            await each.wait_ready()
        status, _ = await running.send_bad(9)
        assert status == 503
        assert running.sends() - before <= MAX_LATE_SENDS
        for each in running.instances:
            answered = await running.send(each, ("common", "middle"))
            assert answered[0] == 200


async def test_operator_takes_back_the_rejection_of_a_part(store, tmp_path):
    """A part stayed rejected although operators had withdrawn it."""
    async with deployment(store, tmp_path) as running:
        key = f"finding/rejection/part:{b'bad'.hex()}"
        before = running.sends()
        unix_ms = int(time.time() * 1000)
        row = ["withdrawn", unix_ms, unix_ms]
        store.put("sycamoreshed-instances", key, row)
        await asyncio.sleep(1.0)
        status, _, _ = await running.send(running.instances[0])
        assert status == 502
        assert running.sends() > before
