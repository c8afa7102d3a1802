"""Answers with neither a length nor chunks, which end with the connection."""

import pytest

from standins import scripted
from testkit import wiredata
from tests.integration import harness

EVENTS = 6
HEAD = scripted.stream_head(**{harness.SEAL: "proof"})
WHOLE = b"".join(map(harness.event, range(EVENTS)))


async def test_unary_answer_ended_by_its_connection_is_whole(store, tmp_path):
    """An answer without a length was taken for one that was broken off."""

    def script(_received):
        yield HEAD + b"first "
        yield 0.05
        yield b"second"

    store.put("op", "config", wiredata.configuration(2))
    async with (
        harness.endpoints(store, script),
        harness.serving(store, tmp_path) as (gateway, session),
    ):
        status, headers, body = await harness.call(session, gateway)
    assert (status, body) == (200, b"first second")
    assert headers[harness.SEAL] == "proof"


@pytest.mark.parametrize("size", [None, 1, 20, len(WHOLE) - 1])
async def test_stream_ended_by_its_connection_is_whole(store, tmp_path, size):
    """A stream that ended inside an event was taken for a complete one."""
    seen = []

    def script(received):
        seen.append(received)
        last = received.headers.get("last-event-id")
        rest = range(0 if last is None else int(last) + 1, EVENTS)
        data = b"".join(map(harness.event, rest))
        yield HEAD + data[: size if len(seen) == 1 else None]
        yield 0.05

    route = {"resumable": True, "max_attempts": 3}
    store.put("op", "config", harness.stream_route(**route))
    async with (
        harness.endpoints(store, script, script, script),
        harness.serving(store, tmp_path, retry_slack=100.0) as running,
    ):
        gateway, session = running
        status, _, body = await harness.call(session, gateway, "POST")
    assert (status, body) == (200, WHOLE)
    assert len(seen) == (1 if size is None else 2)
