"""What a stopping instance learns from others of how long requests last."""

import contextlib
import math

import aiohttp
from aiohttp import web
import pytest

from sycamoreshed.stopping import deadline as deadlines
from sycamoreshed.stopping import durations
from sycamoreshed.stopping import measuring
from sycamoreshed.stopping import telling
from sycamoreshed.stopping.tests import builders
from testkit import journals

KEY = measuring.Key(measuring.Part.WHOLE, measuring.Phase.REQUEST, "r")


class _Peers:
    """Knows one other instance, or none."""

    def __init__(self, *addresses):
        self._addresses = list(addresses)

    def sample(self, _now):
        """Return its address."""
        return self._addresses


def make_exchange(session=None, addresses=(), journal=None):
    """Return a `DurationExchange` and its `Durations`."""
    known = durations.Durations()
    exchange = telling.DurationExchange(
        known=known,
        peers=_Peers(*addresses),
        session=session,
        journal=journal or journals.Journal(),
    )
    return exchange, known


def record(known, *values):
    """Record durations of the route ``r``."""
    for value in values:
        known.series(KEY).add(durations.Sample(value))


@contextlib.asynccontextmanager
async def serving(handler):
    """Serve durations; yield the address of the instance."""
    app = web.Application()
    app.router.add_get(telling.PATH, handler)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0]
    yield f"{host}:{port}"
    await runner.cleanup()


async def test_instance_that_knows_nothing_learns_from_another():
    """An instance that had just started took what it could not end."""
    teller, known = make_exchange()
    record(known, *[4.0] * 30)
    async with (
        serving(teller.tell) as address,
        aiohttp.ClientSession() as http,
    ):
        asker, learnt = make_exchange(http, [address])
        await asker.ask(0.0)
    stopping = deadlines.StopDeadline(
        known=learnt, journal=journals.Journal(), clock=builders.Clock()
    )
    stopping.set(10.0)
    request = builders.request()
    assert stopping.allows(request, measuring.Phase.REQUEST, 5.9)
    assert not stopping.allows(request, measuring.Phase.REQUEST, 6.1)


async def test_own_durations_count_if_there_are_enough():
    """What others had seen earlier stood for what this instance serves."""
    asker, known = make_exchange()
    record(known, *[1.0] * telling.ENOUGH_SAMPLES)
    told = telling.Told(*KEY, [9.0] * 30)
    assert asker.record([told]) == 0
    assert {each.value for each in known.samples(KEY, 0.0)} == {1.0}


async def test_later_own_durations_stay_and_those_of_others_leave():
    """Told durations were kept as if they were the latest ones."""
    asker, known = make_exchange()
    asker.record([telling.Told(*KEY, [9.0])])
    record(known, *[1.0] * durations.MAX_SAMPLES)
    assert {each.value for each in known.samples(KEY, 0.0)} == {1.0}


@pytest.mark.parametrize("value", [math.inf, math.nan, -1.0, 1e30])
async def test_values_that_are_no_durations_are_left_out(value):
    """A number of another version made every request last for ever."""
    asker, known = make_exchange()
    assert asker.record([telling.Told(*KEY, [value])]) == 0
    assert known.samples(KEY, 0.0) == []


@pytest.mark.parametrize(
    "answer",
    [
        web.Response(status=404),
        web.json_response({"a": 1}),
        web.json_response([["whole", "request", "r", ["x"]]]),
        web.json_response([["other", "request", "r", [1.0]]]),
        web.Response(body=b"{"),
    ],
)
async def test_answer_that_tells_nothing_is_logged_and_ignored(answer):
    """An instance of another version ended the stop of this one."""

    async def tell(_http):
        return answer

    journal = journals.Journal()
    async with serving(tell) as address, aiohttp.ClientSession() as http:
        asker, known = make_exchange(http, [address], journal)
        await asker.ask(0.0)
    assert len(known) == 0
    ((name, fields),) = journal.lines
    assert name == "durations_told"
    assert fields["why"]


async def test_number_of_told_series_and_samples_is_limited():
    """Messages between instances grew with the number of routes."""
    teller, known = make_exchange()
    for number in range(telling.MAX_TOLD_SERIES + 10):
        key = KEY._replace(name=f"r{number}")
        for _ in range(40):
            known.series(key).add(durations.Sample(1.0))
    async with (
        serving(teller.tell) as address,
        aiohttp.ClientSession() as http,
    ):
        async with http.get(f"http://{address}{telling.PATH}") as answer:
            told = await answer.json()
    assert len(told) == telling.MAX_TOLD_SERIES
    assert {len(each[3]) for each in told} == {telling.MAX_TOLD_SAMPLES}
