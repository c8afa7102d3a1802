"""A broken stream resumes at another engine, also under further faults."""

import asyncio
import json
import signal

import pytest

from standins import scripted
from tests.integration import harness

# Long after the first event, so that the stage results have been freed.
CRASH_S = 0.7
WORK_S = 0.05
# Longer than the timeout of any call.
SILENCE_S = 10.0


class PieceMaker:
    """An endpoint that runs a stage on pieces, with faults at some calls.

    Parameters
    ----------
    disturb : callable
        Called with the number of the call, from 1; returns the seconds
        until it is answered.
    """

    def __init__(self, disturb):
        self._disturb = disturb
        self._calls = 0
        self.endpoint = scripted.Endpoint(self._script)

    def _script(self, seen):
        if seen.target == "/v1/stage-free":
            yield scripted.answer(200)
            return
        self._calls += 1
        handle = f"h{self._calls}"
        items = json.loads(seen.body)["items"]
        yield self._disturb(self._calls)
        body = json.dumps({"items": [{"handle": handle} for _ in items]})
        yield scripted.answer(200, body.encode())


def crash_once():
    """Return a script of engines of which the first one called crashes."""
    sent = []

    def script(_seen):
        sent.append(None)
        yield scripted.stream_head(**{harness.SEAL: "proof"})
        if len(sent) == 1:
            yield harness.event(0)
            yield CRASH_S
            yield scripted.RESET
            return
        yield harness.event(1)

    return script


async def call(store, folder, disturb, **changes):
    """Request a stream with a stage, whose first engine crashes.

    Parameters
    ----------
    disturb : callable
        See `PieceMaker`; called with the daemon and the number.
    **changes
        See `harness.call_with_stage`.

    Returns
    -------
    (int, bytes)
        Status and body of the answer.
    """
    daemons = []
    maker = PieceMaker(lambda number: disturb(daemons[0], number))
    return await harness.call_with_stage(
        store,
        folder,
        crash_once(),
        maker.endpoint,
        on_ready=daemons.append,
        **changes,
    )


def pause(daemon, seconds):
    """Suspend a daemon for some seconds."""
    daemon.process.send_signal(signal.SIGSTOP)
    loop = asyncio.get_running_loop()
    loop.call_later(seconds, daemon.process.send_signal, signal.SIGCONT)


@pytest.mark.parametrize("seconds", [1.0, 1.3])
async def test_answers_that_come_during_a_pause_are_not_lost(
    store, tmp_path, seconds
):
    """An engine crashes in a stream, and the instance is paused twice.

    Both times it has just requested the stage results that the other
    engine needs, and the answer has arrived when the process continues.
    If timers run before the answer is read, the call counts as lost, and
    after the second one the stream is cut although time remains: the log
    has "retry" with "first: error" as long after "staged" as the pause,
    then "broken".
    """

    def disturb(daemon, number):
        if number in (2, 3):
            pause(daemon, seconds)
        return WORK_S

    status, body = await call(store, tmp_path, disturb)
    assert (status, body) == (200, harness.event(0) + harness.event(1))


async def test_a_lost_call_does_not_cut_a_stream(store, tmp_path):
    """The stage results that the other engine needs are late.

    Their endpoint does not answer the first call, which is abandoned after
    two seconds and retried.  The caller's deadline is six seconds later.
    The stream is cut if the results of a resumed stream are due after
    1.8 s whatever its deadline: "staged" then has until_s 1.8, and
    "broken" reports the engine's crash but not why no other one resumed.
    """

    def disturb(_daemon, number):
        return SILENCE_S if number == 2 else WORK_S

    status, body = await call(
        store,
        tmp_path,
        disturb,
        head={"deadline_ms": "8000"},
        call_ms=150.0,
        timeout_ms=9000,
        target_latency_ms=1300,
        itl_target_ms=400,
    )
    assert (status, body) == (200, harness.event(0) + harness.event(1))


async def test_a_long_pause_does_not_cut_a_stream(store, tmp_path):
    """The instance is paused for 1.9 s of the request's 3 s.

    The pause starts when it requests the stage results for the other
    engine.
    """

    def disturb(daemon, number):
        if number == 2:
            pause(daemon, 1.9)
        return WORK_S

    status, body = await call(store, tmp_path, disturb)
    assert (status, body) == (200, harness.event(0) + harness.event(1))
