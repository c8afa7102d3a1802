"""Engines that stop within the head of their answer."""

import pytest

from standins import scripted
from standins import tornheads
from testkit import wiredata
from tests.integration import harness

FORMS = ("length", "chunks", "connection")
# Bytes of the head between two places at which it is torn.
STEP = 5
ROUTES = {
    "unary": lambda: wiredata.configuration(2),
    "stream": lambda: harness.stream_route(max_attempts=1),
    "resumable": lambda: harness.stream_route(resumable=True, max_attempts=1),
}


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("route", ROUTES)
async def test_torn_head_is_no_answer(store, tmp_path, route, end):
    """Callers got 200 with an empty body, framed as a whole one."""
    heads = [
        tornheads.HEADS[form][:size]
        for form in FORMS
        for size in tornheads.torn_at(form)[1::STEP]
    ]
    left = iter(heads)

    def script(_received):
        yield next(left)
        if end == "reset":
            yield scripted.RESET

    store.put("op", "config", ROUTES[route]())
    async with (
        harness.endpoints(store, script),
        harness.serving(store, tmp_path, retry_slack=0.0) as running,
    ):
        gateway, session = running
        statuses = {
            (await harness.call(session, gateway, "POST"))[0] for _ in heads
        }
    assert statuses == {502}
