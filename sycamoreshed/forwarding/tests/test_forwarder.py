"""Tests of a request with stages and several attempts."""

import pytest

from sycamoreshed.catalog import types
from sycamoreshed.forwarding import forwarder
from sycamoreshed.forwarding.tests import builders
from sycamoreshed.platform import names


class StageRunner:
    """Returns one more result at each run."""

    def __init__(self):
        self.runs = 0

    async def run(self, _job, results, *, engine_zone, fingerprint):
        """Add a result."""
        self.runs += 1
        results.append(f"h{self.runs}")
        return list(results)

    def free(self, _handles):
        """Do nothing."""

    def zone_bytes(self, _handles, _stages):
        """Return no bytes in any zone."""
        return {}


INPUTS_MISSING = builders.Outcome(
    409, {names.REQUEST_ID: builders.ID, names.NOT_RUN: "1"}, False
)


@pytest.mark.parametrize("route_options", [{}, {"idempotent": True}])
async def test_a_request_is_not_run_again_after_its_answer(route_options):
    """One engine does not find its inputs, and the next one answers.

    If the missing inputs made the request run again, one that may run only
    once, such as a ballot, would be counted twice, and a caller of a stream
    would get a second answer within the first.
    """
    client = builders.ScriptedClient(
        [INPUTS_MISSING, builders.OUTCOMES["done"]]
    )
    stage = types.Stage("first", (), 8000)
    request = builders.request(stages=(stage,), **route_options)
    request = request._replace(head=request.head._replace(pieces=(1,)))
    under_test = forwarder.Forwarder(
        parts=builders.parts(client), stages=StageRunner()
    )
    outcome = await under_test.forward(request, sink=None)
    assert outcome.answer is not None
    runs = [each for _, each in client.sent if each.may_have_run]
    assert len(runs) == 1


@pytest.mark.parametrize("reason", ["crashes", "limits"])
async def test_request_that_cannot_be_served_runs_no_stages(reason):
    """Stages worked for requests that no engine would take."""
    client = builders.ScriptedClient([])
    parts = builders.parts(client, endpoints=1, permits={"e0": 0})
    if reason == "crashes":
        parts.crashes.rejected.add("f1")
    stage = types.Stage("first", (), 8000)
    request = builders.request(stages=(stage,))
    request = request._replace(head=request.head._replace(pieces=(1,)))
    stages = StageRunner()
    under_test = forwarder.Forwarder(parts=parts, stages=stages)
    outcome = await under_test.forward(request, sink=None)
    assert outcome.failure.retry_after > 0
    assert not outcome.failure.sent
    assert (stages.runs, client.sent) == (0, [])
