"""Tests of calls with pieces whose answers are lost."""

import asyncio
import collections
import typing

from sycamoreshed.forwarding import health
from sycamoreshed.platform import calls
from sycamoreshed.platform import names
from sycamoreshed.staging import piececalls
from sycamoreshed.staging import pieces
from sycamoreshed.staging import queueing
from sycamoreshed.staging.tests import builders
from testkit import crashes
from testkit import journals
from testkit import limiters
from testkit import stagezone
from testkit import virtualtime

SPECS = {"first": builders.spec(batch=8, memory_bytes=1e9)}
# Without trouble a job takes one call, of 0.16 s.
JOB_S = 0.16


class Zone(stagezone.Zone):
    """A zone with one endpoint, which loses some answers or is slow.

    Parameters
    ----------
    lost : collection of int
        Numbers of the calls that are processed, but not answered.
    slow_s : float
        Seconds that each call takes longer.
    """

    def __init__(self, *, lost=(), slow_s=0.0):
        super().__init__(
            specs=SPECS,
            endpoints={"first": 1},
            sizes=collections.defaultdict(int),
        )
        self._lost = lost
        self._slow_s = slow_s
        self.calls = 0

    async def send(self, *call, **options):
        """Answer a call, unless its answer is lost."""
        number = self.calls
        self.calls += 1
        answer = await super().send(*call, **options)
        await asyncio.sleep(self._slow_s)
        if number in self._lost:
            await asyncio.sleep(options["timeout_s"])
        return answer


def load(count, *, every_s):
    """Return a load of jobs with one piece each."""
    stages = [pieces.StageWork("first", (), 1, 10)]
    return [
        (
            number * every_s,
            "job",
            pieces.Job(f"r{number}", stages, "key", 1.5, 3.0, 9.0, None, 0, 0),
        )
        for number in range(count)
    ]


def play(zone_options, *, count=20, every_s=0.2):
    """Return the records of a load, and the number of calls."""

    async def run():
        zone = Zone(**zone_options)
        records = await stagezone.simulate(
            zone, load(count, every_s=every_s), fetch_s=0.0
        )
        return records, zone.calls

    return virtualtime.run(run())


def test_lost_answer_is_noticed_by_the_answer_to_the_next_call():
    """The endpoint stood idle until the timeout of the lost call."""
    records, _ = play({"lost": (3,)})
    assert all(each.is_done for each in records)
    longest_s = max(each.ended_at - each.arrived_at for each in records)
    assert longest_s < 1.5


def test_lost_answers_delay_the_jobs_of_their_calls_alone():
    """Each lost answer cost the zone its only endpoint for two seconds."""
    lost = range(3, 30, 4)
    records, _ = play({"lost": lost}, count=50)
    missed = sum(not each.met_target for each in records)
    assert missed <= len(lost)


def test_slow_endpoint_gets_one_call_more_at_most():
    """Calls were repeated although their endpoint was working on them."""
    records, calls = play({"slow_s": 4 * JOB_S}, count=3, every_s=2.0)
    assert all(each.is_done for each in records)
    assert calls == len(records)


def test_slow_endpoint_under_load_repeats_no_call():
    """Under load, pieces of a call that was only slow were sent again."""
    records, calls = play({"slow_s": 2 * JOB_S}, count=12, every_s=0.3)
    assert calls <= len(records)


class _Answer:
    """An answer to a call, with the results of one piece."""

    headers: typing.ClassVar = {"Content-Length": "1", names.NOT_RUN: "1"}
    reason = ""
    content_length = 1

    def __init__(self, status):
        self.status = status
        self.content = self

    async def iter_any(self):
        """Yield the body."""
        yield b'{"items":[{"handle":"h"}]}'

    def close(self):
        """Do nothing."""


class _FullEndpoint:
    """Works on one call for two seconds, and rejects the others."""

    def __init__(self):
        self._is_busy = False

    async def send(self, *_call, **_options):
        """Answer a call."""
        if self._is_busy:
            return _Answer(503)
        self._is_busy = True
        await asyncio.sleep(2.0)
        return _Answer(200)


def test_rejected_call_does_not_show_that_an_answer_is_lost():
    """A call was repeated as its endpoint had no room for the next one."""

    async def run():
        clock = asyncio.get_running_loop().time
        sent = piececalls.PieceCalls(
            spec=SPECS["first"],
            sender=_FullEndpoint(),
            codec=calls,
            health=health.Health(journal=journals.Journal()),
            crashes=crashes.Crashes(),
            limiter=limiters.Limiter(),
            clock=clock,
        )
        batches = [
            queueing.Batch(
                builders.endpoint("e"), [builders.queued_piece(name, 0)]
            )
            for name in "ab"
        ]
        results = await asyncio.gather(*map(sent.run, batches))
        return [status for _, status in results]

    assert virtualtime.run(run()) == ["done", "status 503"]
