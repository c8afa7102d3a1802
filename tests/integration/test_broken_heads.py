"""Endpoints whose answers are no HTTP, and what their callers get."""

import pytest

from standins import scripted
from testkit import brokenheads
from testkit import rawcalls
from testkit import wiredata
from tests.integration import harness

PATH = "/lookup/a%2Fb//c?q=1"
ROUTES = {
    "safe": {"route_kind": "safe", "max_attempts": 1},
    "unsafe": {"route_kind": "unsafe", "max_attempts": 3},
    "stream": {"route_kind": "streaming", "max_attempts": 3},
    "resumable": {
        "route_kind": "streaming",
        "resumable": True,
        "max_attempts": 1,
    },
}


def configure(store, **route):
    """Store a configuration with one route."""
    routes = [wiredata.route(**route)]
    store.put("op", "config", wiredata.configuration(2, routes=routes))


async def ask(gateway, *, body=b"b"):
    """Send a request as a caller that reads bytes; return its answer."""
    raw = await rawcalls.call(gateway.public, PATH, wiredata.head(), body=body)
    return rawcalls.parse(raw)


@pytest.mark.parametrize("size", [0, 1, 10**6])
@pytest.mark.parametrize("route", ROUTES)
async def test_broken_head_is_a_failed_attempt(store, tmp_path, route, size):
    """Callers got a status of 000, fields that are none, or no answer."""
    names = list(brokenheads.BROKEN)
    left = iter(names)
    seen = []

    def script(received):
        seen.append(received)
        yield brokenheads.BROKEN[next(left)]
        yield scripted.RESET if len(seen) % 2 else 0.05

    configure(store, **ROUTES[route])
    wrong = {}
    async with (
        harness.endpoints(store, script),
        harness.serving(store, tmp_path) as (gateway, _),
    ):
        for name in names:
            try:
                answer = await ask(gateway, body=bytes(size))
            except (AssertionError, ValueError, TimeoutError) as err:
                wrong[name] = repr(err)
                continue
            fields = b"".join(answer.fields)
            if (answer.status, answer.is_whole) != (502, True):
                wrong[name] = (answer.status, answer.is_whole)
            elif b"seal" in fields or b"x-a" in fields:
                wrong[name] = answer.fields
    assert sorted(wrong) == []
    # None was repeated.
    assert len(seen) == len(names)


@pytest.mark.parametrize("name", ["zero", "control byte in a value"])
async def test_broken_head_is_repeated_as_the_route_allows(
    store, tmp_path, name
):
    """A safe request was not served though another endpoint was sound."""
    configure(store, route_kind="safe", max_attempts=2)
    async with (
        harness.endpoints(
            store, brokenheads.broken(name), harness.answer_ok
        ) as endpoints,
        harness.serving(store, tmp_path) as (gateway, _),
    ):
        for _ in range(6):
            answer = await ask(gateway)
            assert (answer.status, answer.body) == (200, b"whole")
    assert endpoints[0].seen


@pytest.mark.parametrize("route", ["safe", "unsafe", "resumable"])
async def test_odd_head_is_passed_on(store, tmp_path, route):
    """What may be written again is an answer, however it looks."""
    names = list(brokenheads.SOUND)
    left = iter(names)

    def script(_received):
        yield brokenheads.SOUND[next(left)][1]

    configure(store, **ROUTES[route])
    wrong = {}
    async with (
        harness.endpoints(store, script),
        harness.serving(store, tmp_path) as (gateway, _),
    ):
        for name in names:
            status, _ = brokenheads.SOUND[name]
            answer = await ask(gateway)
            if (
                answer[::2] != (status, brokenheads.BODY)
                or not answer.is_whole
            ):
                wrong[name] = answer
            elif answer.fields[brokenheads.NAME.lower().encode()] != b"proof":
                wrong[name] = answer.fields
    assert sorted(wrong) == []


async def test_broken_head_of_a_resumed_stream_does_not_end_it(
    store, tmp_path
):
    """A stream is resumed at the next endpoint after a broken head."""
    seen = []

    def script(received):
        seen.append(received.headers.get("last-event-id"))
        if len(seen) == 1:
            yield scripted.stream_head(**{harness.SEAL: "proof"})
            yield harness.event(0)
            yield scripted.RESET
        elif len(seen) == 2:
            yield brokenheads.BROKEN["zero"]
        else:
            yield scripted.stream_head(**{harness.SEAL: "proof"})
            yield harness.event(1)

    route = {"resumable": True, "max_attempts": 3}
    configure(store, route_kind="streaming", **route)
    async with (
        harness.endpoints(store, script, script, script),
        harness.serving(store, tmp_path, retry_slack=100.0) as (gateway, _),
    ):
        answer = await ask(gateway)
    assert answer.status == 200
    assert answer.body == harness.event(0) + harness.event(1)
    assert answer.is_whole
    assert seen == [None, "0", "0"]
