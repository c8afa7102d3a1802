"""Endpoints that fail if they have to reject too many requests."""

import asyncio
import contextlib
import itertools
import time

import pytest

from standins import scripted
from testkit import wiredata
from tests.integration import harness

# Rejections in a second that an endpoint survives, and requests that it runs
# at a time, each for a while.
TOLERATED = 4
SLOTS = 2
RUN_S = 0.25
# After which the number has to hold.
STABLE_S = 4.0
LOAD_S = 10.0
# Bursts, and the lull before each of them.
BURSTS = 4
LULL_S = 1.5
# More than the three endpoints can run, 24 a second.
LOAD_PER_S = 45
# Fewer than they can run.
CALM_PER_S = 10

_request_ids = itertools.count()


class FragileEndpoint:
    """An endpoint, by default without a queue, and when it rejected."""

    def __init__(self):
        self.endpoint = scripted.Endpoint(self._script)
        self.rejected_at = []
        self.has_queue = False
        self._running = 0

    def _script(self, _received):
        named = {"Server-Brittle": str(TOLERATED)}
        while self._running == SLOTS and self.has_queue:
            yield 0.01
        if self._running == SLOTS:
            self.rejected_at.append(time.monotonic())
            headers = {"X-Sycamoreshed-Not-Executed": "1", **named}
            yield scripted.answer(503, b"", **headers)
            return
        self._running += 1
        try:
            yield RUN_S
        finally:
            self._running -= 1
        yield scripted.answer(200, b"whole", **{harness.SEAL: "p"}, **named)

    def most_in_a_second(self, since):
        """Return the most rejections of any second after a time."""
        times = [at for at in self.rejected_at if at >= since]
        return max(
            (sum(start <= at < start + 1 for at in times) for start in times),
            default=0,
        )


@contextlib.asynccontextmanager
async def system(store, folder, *, max_attempts):
    """Run instances in two zones before three endpoints."""
    route = wiredata.route(max_attempts=max_attempts)
    store.put("op", "config", wiredata.configuration(2, routes=[route]))
    fragile = [FragileEndpoint() for _ in range(3)]
    for number, each in enumerate(fragile):
        await each.endpoint.start()
        entry = wiredata.beat(
            each.endpoint.address,
            zone=harness.ZONES[number % len(harness.ZONES)],
            slots=SLOTS,
        )
        store.put("servers", f"i-{number}", entry)
    async with harness.serving_in_zones(store, folder) as (instances, session):
        yield instances, session, fragile
    for each in fragile:
        await each.endpoint.stop()


async def send(session, instance):
    """Send a request; return its status, `Retry-After` and seconds."""
    headers = wiredata.head(f"r-{next(_request_ids)}")
    started_at = time.monotonic()
    status, answer_headers, _ = await harness.call(
        session, instance, headers=headers
    )
    took_s = time.monotonic() - started_at
    return status, answer_headers.get("Retry-After"), took_s


@pytest.mark.parametrize("max_attempts", [1, 3])
async def test_overloaded_endpoints_reject_no_more_than_they_survive(
    store, tmp_path, max_attempts
):
    """Full endpoints failed under the requests that they had to reject."""
    async with system(store, tmp_path, max_attempts=max_attempts) as running:
        instances, session, fragile = running
        started_at = time.monotonic()
        tasks = []
        for number in range(int(LOAD_PER_S * LOAD_S)):
            instance = instances[number % len(instances)]
            tasks.append(asyncio.create_task(send(session, instance)))
            await asyncio.sleep(1 / LOAD_PER_S)
        answers = await asyncio.gather(*tasks)
    for each in fragile:
        assert each.most_in_a_second(started_at + STABLE_S) <= TOLERATED
    assert {status for status, *_ in answers} == {200, 503}
    rejected = [each for each in answers if each[0] == 503]
    assert all(float(retry_after) > 0 for _, retry_after, _ in rejected)


async def test_burst_after_a_lull_is_spread(store, tmp_path):
    """Callers pause for a moment and then come all at once.

    Permits that nobody used in the pause were used together, and endpoints
    failed under the requests that they had to reject.
    """
    async with system(store, tmp_path, max_attempts=3) as running:
        instances, session, fragile = running
        started_at = time.monotonic()
        tasks = []

        def start(number):
            instance = instances[number % len(instances)]
            tasks.append(asyncio.create_task(send(session, instance)))

        for number in range(int(LOAD_PER_S * STABLE_S)):
            start(number)
            await asyncio.sleep(1 / LOAD_PER_S)
        for _ in range(BURSTS):
            await asyncio.sleep(LULL_S)
            for number in range(LOAD_PER_S):
                start(number)
        await asyncio.gather(*tasks)
    for each in fragile:
        assert each.most_in_a_second(started_at + STABLE_S) <= TOLERATED


async def test_first_burst_at_endpoints_that_reject_nothing_before(
    store, tmp_path
):
    """Instances learned what endpoints can take from their rejections only.

    Endpoints that say that they are brittle let fewer requests wait later,
    and many callers come at once.
    """
    async with system(store, tmp_path, max_attempts=2) as running:
        instances, session, fragile = running
        tasks = []

        def start(number):
            instance = instances[number % len(instances)]
            tasks.append(asyncio.create_task(send(session, instance)))

        for each in fragile:
            each.has_queue = True
        for number in range(int(CALM_PER_S * (STABLE_S + 2.0))):
            start(number)
            await asyncio.sleep(1 / CALM_PER_S)
        for each in fragile:
            each.has_queue = False
        started_at = time.monotonic()
        for _ in range(BURSTS):
            for number in range(LOAD_PER_S):
                start(number)
            await asyncio.sleep(LULL_S)
        answers = await asyncio.gather(*tasks)
    for each in fragile:
        assert each.most_in_a_second(started_at) <= TOLERATED
    statuses = [status for status, *_ in answers]
    assert set(statuses) == {200, 503}
