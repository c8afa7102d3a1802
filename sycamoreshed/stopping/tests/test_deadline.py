"""Whether requests end before a stopping instance does."""

import asyncio
import time

import pytest

from sycamoreshed.errors import kinds
from sycamoreshed.stopping import durations
from sycamoreshed.stopping import estimating
from sycamoreshed.stopping import measuring
from sycamoreshed.stopping.tests import builders

REQUEST = measuring.Phase.REQUEST
ATTEMPT = measuring.Phase.ATTEMPT


def needed_s(stopping, request, phase=REQUEST, now=0.0, **more):
    """Return how long a stopping instance takes a request to last."""
    return stopping.ends_at - stopping.begin_by(request, phase, now, **more)


def test_everything_is_allowed_before_a_stop():
    stopping = builders.make_deadline()
    assert stopping.allows(builders.request(), REQUEST, 1e9)


def test_request_whose_caller_gives_up_before_the_end_is_allowed():
    """It was rejected, though it ends by its deadline whatever happens."""
    stopping = builders.make_deadline()
    stopping.set(61.0)
    assert stopping.allows(builders.request(), REQUEST, 60.9)
    assert not stopping.allows(builders.request(started_at=2.0), REQUEST, 60.9)


def test_request_of_an_unknown_route_is_taken_for_a_usual_one():
    """It was taken until the end, as nothing was known of its route."""
    stopping = builders.make_deadline()
    stopping.set(10.0)
    unknown_s = estimating.UNKNOWN_FACTOR
    assert needed_s(stopping, builders.request()) == pytest.approx(unknown_s)
    slow = builders.request(builders.route("slow", target_s=4.0))
    assert not stopping.allows(slow, REQUEST, 0.0)


def test_one_long_request_does_not_count_for_all():
    """Nearly everything was rejected after one answer that lasted long."""
    stopping = builders.make_deadline()
    for seconds in [0.2] * 40 + [9.0]:
        builders.measure(stopping, builders.request(), seconds)
    stopping.set(10.0)
    assert needed_s(stopping, builders.request()) < 2.0


def test_longer_ones_count_if_there_are_several():
    """A request was cut off that lasted no longer than others before."""
    stopping = builders.make_deadline()
    for seconds in [0.2] * 30 + [6.0] * 3:
        builders.measure(stopping, builders.request(), seconds)
    stopping.set(10.0)
    assert needed_s(stopping, builders.request()) == pytest.approx(6.0)


def test_what_still_runs_counts_before_it_has_ended():
    """Answers became longer, which was not known before they had ended."""
    stopping = builders.make_deadline()
    for _ in range(40):
        builders.measure(stopping, builders.request(), 0.2)
    for _ in range(6):
        stopping.measure(builders.request())
    stopping.set(10.0)
    assert needed_s(stopping, builders.request(), now=0.1) < 2.0
    assert needed_s(stopping, builders.request(), now=3.0) >= 3.9


def test_attempt_that_was_given_up_is_no_short_one():
    """Those given up counted as ended, and long ones were taken."""
    stopping = builders.make_deadline()
    for _ in range(30):
        measurement = stopping.measure(builders.request())
        measurement.begin_attempt(0.0)
        measurement.begin_attempt(3.0)
        measurement.end(7.0, is_whole=True)
    stopping.set(10.0)
    assert needed_s(stopping, builders.request(), ATTEMPT) >= 4.0


def test_attempts_that_failed_do_not_add_up():
    """Requests with two attempts stood for ones that last twice as long."""
    stopping = builders.make_deadline()
    for _ in range(30):
        measurement = stopping.measure(builders.request())
        measurement.begin_attempt(0.5)
        measurement.begin_attempt(3.5)
        measurement.end(5.5, is_whole=True)
    stopping.set(10.0)
    assert needed_s(stopping, builders.request()) == pytest.approx(2.5)


def test_length_that_a_stream_tells_counts():
    """Long streams were taken late, as others of their route are short."""
    stopping = builders.make_deadline()
    on = builders.route(streaming=True)
    for _ in range(20):
        request = builders.request(on, tokens=100)
        builders.measure(stopping, request, 1.5, first_event_s=0.5)
    stopping.set(30.0)
    other = builders.route("other", streaming=True, target_s=0.5)
    short, long, unknown = [
        needed_s(stopping, builders.request(where, tokens=tokens))
        for where, tokens in ((on, 100), (on, 1000), (other, 1000))
    ]
    assert 1.5 <= short < 2.0
    assert 10.5 <= long < 11.0
    # The pace is that of the service, which other routes have shown.
    assert unknown == pytest.approx(11.5)


def test_stream_that_is_resumed_needs_less():
    """Its rest was taken for a whole stream, and not resumed."""
    stopping = builders.make_deadline()
    on = builders.route(streaming=True)
    for _ in range(30):
        builders.measure(
            stopping, builders.request(on), 4.0, first_event_s=0.5
        )
    stopping.set(30.0)
    request = builders.request(on)
    assert needed_s(stopping, request, delivered_s=3.0) == pytest.approx(1.0)
    assert needed_s(stopping, request, delivered_s=3.9) == pytest.approx(1.0)


def test_part_of_a_stream_does_not_count_as_a_whole_one():
    """What callers resume is short, and whole streams were taken late."""
    stopping = builders.make_deadline()
    on = builders.route(streaming=True)
    request = builders.request(on, tokens=500, last_event_id="90")
    for _ in range(30):
        builders.measure(stopping, request, 0.1, first_event_s=0.05)
    stopping.set(30.0)
    assert needed_s(stopping, builders.request(on)) > 2.0


def test_late_request_is_allowed_only_if_all_known_ones_would_end():
    """Of many late requests a few were cut off, as the estimate tells."""
    stopping = builders.make_deadline()
    for seconds in [0.2] * 60 + [2.0]:
        builders.measure(stopping, builders.request(), seconds)
    stopping.set(13.0, late_from=3.0)
    early, late = builders.request(started_at=3.0), builders.request()
    late.started_at = 3.1
    assert needed_s(stopping, early) < 1.0
    assert needed_s(stopping, late) == pytest.approx(4.0)


def test_late_request_of_a_route_with_few_answers_is_no_known_one():
    """One short answer was enough to take long requests late."""
    stopping = builders.make_deadline()
    builders.measure(stopping, builders.request(), 0.2)
    stopping.set(13.0, late_from=3.0)
    late = builders.request()
    late.started_at = 3.1
    unknown_s = estimating.UNKNOWN_FACTOR
    assert needed_s(stopping, late) == pytest.approx(unknown_s)


def test_failed_attempts_leave_what_is_known():
    """Attempts that were refused at once replaced all that had ended."""
    stopping = builders.make_deadline()
    for _ in range(durations.MAX_SAMPLES):
        builders.measure(stopping, builders.request(), 6.0)
    for _ in range(2 * durations.MAX_SAMPLES):
        measurement = stopping.measure(builders.request())
        measurement.begin_attempt(0.0)
        measurement.end(0.001, is_whole=False)
    stopping.set(10.0)
    assert needed_s(stopping, builders.request()) == pytest.approx(6.0)


def test_length_that_a_stream_tells_counts_for_the_first_streams_as_well():
    """A long stream was taken late after a few short ones."""
    stopping = builders.make_deadline()
    on = builders.route(streaming=True)
    for _ in range(estimating.MIN_STREAMS - 1):
        request = builders.request(on, tokens=20)
        builders.measure(stopping, request, 0.5, first_event_s=0.1)
    stopping.set(30.0)
    assert needed_s(stopping, builders.request(on, tokens=2000)) > 30.0


@pytest.mark.parametrize("tokens", [1, -5])
def test_length_that_is_wrong_does_not_count_for_all_streams(tokens):
    """A caller that told a length of one token had others rejected."""
    stopping = builders.make_deadline()
    on = builders.route(streaming=True)
    for _ in range(10):
        request = builders.request(on, tokens=100)
        builders.measure(stopping, request, 1.5, first_event_s=0.5)
    wrong = builders.request(on, tokens=tokens)
    builders.measure(stopping, wrong, 5.5, first_event_s=0.5)
    stopping.set(30.0)
    assert needed_s(stopping, builders.request(on, tokens=20)) < 10.0


def test_routes_and_phases_are_told_apart():
    """Short requests were rejected because others last long."""
    stopping = builders.make_deadline()
    for _ in range(30):
        builders.measure(
            stopping, builders.request(builders.route("long")), 9.0
        )
    stopping.set(10.0)
    short = builders.request(builders.route("short", target_s=0.1))
    assert stopping.allows(short, REQUEST, 9.5)
    assert not stopping.allows(
        builders.request(builders.route("long")), REQUEST, 9.5
    )


def test_number_of_routes_is_limited():
    """Routes that come and go filled the memory."""
    known = durations.Durations()
    for number in range(durations.MAX_SERIES + 10):
        known.series(f"r{number}")
    assert len(known) == durations.MAX_SERIES


async def test_wait_ends_once_the_request_can_not_end_any_more():
    """A request waited for its stages and was cut off after them."""
    stopping = builders.make_deadline(time.monotonic)
    request = builders.request(started_at=time.monotonic())
    waiting = asyncio.create_task(
        stopping.wait_for(asyncio.sleep(30.0), request, ATTEMPT)
    )
    await asyncio.sleep(0.01)
    stopping.set(time.monotonic() + estimating.UNKNOWN_FACTOR + 0.1)
    async with asyncio.timeout(5.0):
        result = await waiting
    assert result.kind is kinds.Kind.DRAINING
    assert not result.sent


async def test_what_waits_is_estimated_anew_by_what_others_tell():
    """A request of a short route was rejected as nothing was known of it."""
    stopping = builders.make_deadline(time.monotonic)
    request = builders.request(started_at=time.monotonic())
    waiting = asyncio.create_task(
        stopping.wait_for(asyncio.sleep(0.6, "whole"), request, ATTEMPT)
    )
    await asyncio.sleep(0.01)
    now = time.monotonic()
    stopping.set(now + 2.0, learns_until=now + 0.3)
    await asyncio.sleep(0.05)
    for _ in range(20):
        builders.measure(stopping, builders.request(), 0.1)
    stopping.refresh()
    assert await waiting == "whole"


async def test_timeout_of_what_is_awaited_is_no_end_of_the_wait():
    """Its own timeout was told as a stop of the instance."""
    stopping = builders.make_deadline(time.monotonic)

    async def fail():
        raise TimeoutError

    with pytest.raises(TimeoutError):
        await stopping.wait_for(fail(), builders.request(), ATTEMPT)


async def test_what_has_not_ended_is_given_up_before_the_process_is_killed():
    """Callers lost the connection instead of getting an answer."""
    stopping = builders.make_deadline(time.monotonic)
    limits = []

    async def run():
        async with stopping.time_limit() as limit:
            limits.append(limit)
            await asyncio.sleep(30.0)

    running = asyncio.create_task(run())
    await asyncio.sleep(0.01)
    now = time.monotonic()
    stopping.set(now, gives_up_at=now + 0.1)
    async with asyncio.timeout(5.0):
        with pytest.raises(TimeoutError):
            await running
    assert limits[0].expired()


def test_calls_for_others_do_not_count_from_the_arrival_of_requests():
    """Requests that wait first were taken to last as long as such calls."""
    stopping = builders.make_deadline()
    measurement = stopping.measure(builders.request(), phases=(ATTEMPT,))
    measurement.begin_attempt(0.0)
    measurement.end(0.2, is_whole=True)
    stopping.set(10.0)
    assert needed_s(stopping, builders.request(), ATTEMPT) < 1.0
    unknown_s = estimating.UNKNOWN_FACTOR
    assert needed_s(stopping, builders.request()) == pytest.approx(unknown_s)
