"""Endpoints that name the rate of requests that they take."""

import asyncio
import contextlib
import itertools
import time

import pytest

from standins import scripted
from testkit import wiredata
from tests.integration import harness

RATE = 2.0
# What an endpoint may get in a window, in requests: a factor on the limit, and
# a number beside it.
WINDOW_S = 4.0
MAX_FACTOR = 1.5
MAX_EXTRA = 5
# After which the limit has to hold.
STABLE_S = 4.0
LOAD_S = 10.0
LOAD_PER_S = 24

_request_ids = itertools.count()


class LimitedEndpoint:
    """An endpoint that names a limit, and when it received requests."""

    def __init__(self, *, rate):
        self._headers = {harness.SEAL: "proof"}
        if rate is not None:
            self._headers["Server-Limit"] = str(rate)
        self.endpoint = scripted.Endpoint(self._script)
        self.received_at = []

    def _script(self, _received):
        self.received_at.append(time.monotonic())
        yield 0.02
        yield scripted.answer(200, b"whole", **self._headers)

    def most_in_window(self, since):
        """Return the most requests of any window after a time."""
        times = [at for at in self.received_at if at >= since]
        return max(
            (
                sum(start <= at < start + WINDOW_S for at in times)
                for start in times
            ),
            default=0,
        )


@contextlib.asynccontextmanager
async def system(store, folder, *, rates):
    """Run instances in two zones before endpoints with limits."""
    route = wiredata.route(sticky=True, max_attempts=3)
    store.put("op", "config", wiredata.configuration(2, routes=[route]))
    limited = [LimitedEndpoint(rate=rate) for rate in rates]
    for number, each in enumerate(limited):
        await each.endpoint.start()
        entry = wiredata.beat(
            each.endpoint.address,
            zone=harness.ZONES[number % len(harness.ZONES)],
        )
        store.put("servers", f"i-{number}", entry)
    async with harness.serving_in_zones(store, folder) as (instances, session):
        yield instances, session, limited
    for each in limited:
        await each.endpoint.stop()


async def load(session, instances, *, rate=LOAD_PER_S, seconds=LOAD_S):
    """Send requests with a few shared prefixes, evenly to all instances.

    Returns a list of status, `Retry-After` and seconds of each.
    """

    async def send(number):
        headers = wiredata.head(
            f"r-{next(_request_ids)}", prefix_hash=f"{number % 5:x}:4000,1:9"
        )
        started_at = time.monotonic()
        status, answer_headers, _ = await harness.call(
            session, instances[number % len(instances)], headers=headers
        )
        took_s = time.monotonic() - started_at
        return status, answer_headers.get("Retry-After"), took_s

    tasks = []
    for number in range(int(rate * seconds)):
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(1 / rate)
    return await asyncio.gather(*tasks)


def allowed(rate):
    """Return the requests that an endpoint may get in a window."""
    return MAX_FACTOR * rate * WINDOW_S + MAX_EXTRA


@pytest.mark.parametrize("rates", [(RATE, None, None), (1.0, 1.3, None)])
async def test_endpoint_with_a_limit_gets_no_more_from_all_instances(
    store, tmp_path, rates
):
    """An engine that named a limit got as many requests as before."""
    async with system(store, tmp_path, rates=rates) as deployment:
        instances, session, limited = deployment
        started_at = time.monotonic()
        answers = await load(session, instances)
    for rate, each in zip(rates, limited, strict=True):
        if rate is not None:
            most = each.most_in_window(started_at + STABLE_S)
            assert most <= allowed(rate)
    assert {status for status, *_ in answers} == {200}


async def test_limits_of_all_endpoints_are_used_and_the_rest_is_rejected(
    store, tmp_path
):
    """Requests waited in vain for engines that all had named limits."""
    rates = (RATE, RATE, RATE)
    async with system(store, tmp_path, rates=rates) as deployment:
        instances, session, limited = deployment
        started_at = time.monotonic()
        answers = await load(session, instances)
    for each in limited:
        most = each.most_in_window(started_at + STABLE_S)
        assert most <= allowed(RATE)
        received = [at for at in each.received_at if at > started_at]
        assert len(received) >= 0.8 * RATE * LOAD_S
    assert {status for status, *_ in answers} == {200, 503}
    rejected = [each for each in answers if each[0] == 503]
    assert all(float(retry_after) > 0 for _, retry_after, _ in rejected)


async def test_single_instance_may_use_the_whole_limit(store, tmp_path):
    """Each instance had a fixed share, and most of a limit was not used."""
    async with system(store, tmp_path, rates=(4.0, 4.0, 4.0)) as deployment:
        instances, session, limited = deployment
        answers = await load(session, instances[:1])
    served = sum(status == 200 for status, *_ in answers)
    assert served >= 0.8 * 12 * LOAD_S
