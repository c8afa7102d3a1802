"""Tests of a request with stages and several attempts."""

import pytest

from sycamoreshed.catalog import types
from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import forwarder
from sycamoreshed.forwarding.tests import builders
from sycamoreshed.membership import rendezvous
from sycamoreshed.platform import names


class StageRunner:
    """Returns one more result at each run."""

    def __init__(self):
        self.runs = 0
        self.engine_zones = []

    async def run(self, _job, results, *, engine_zone, origin):
        """Add a result."""
        self.runs += 1
        self.engine_zones.append(engine_zone)
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
    sender = builders.ScriptedSender(
        [INPUTS_MISSING, builders.OUTCOMES["done"]]
    )
    stage = types.Stage("first", (), 8000)
    request = builders.request(stages=(stage,), **route_options)
    request = request._replace(head=request.head._replace(pieces=(1,)))
    under_test = forwarder.Forwarder(
        parts=builders.parts(sender), stages=StageRunner()
    )
    outcome = await under_test.forward(request, sink=None)
    assert outcome.answer is not None
    runs = [each for _, each in sender.sent if each.may_have_run]
    assert len(runs) == 1


@pytest.mark.parametrize("reason", ["crashes", "limits"])
async def test_request_that_cannot_be_served_runs_no_stages(reason):
    """Stages worked for requests that no engine would take."""
    sender = builders.ScriptedSender([])
    parts = builders.parts(sender, endpoints=1, permits={"e0": 0})
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
    assert (stages.runs, sender.sent) == (0, [])


@pytest.mark.parametrize("permits", [0, 1])
async def test_results_of_stages_are_stored_where_an_engine_has_a_turn(
    permits,
):
    """Results crossed zones from where an engine with a limit had no turn."""
    sender = builders.ScriptedSender([])
    names = ["e0", "e1"]
    # Without the limit the prefix ranks this endpoint first.
    preferred = max(names, key=lambda name: rendezvous.rank("p", name))
    parts = builders.parts(sender, endpoints=2, permits={preferred: permits})
    zones = {"e0": "south-a", "e1": "north-a"}
    listed = [
        each._replace(zone=zones[each.id])
        for each in parts.catalog.endpoints(None, 0.0)
    ]
    parts.catalog.endpoints = lambda _service, _now: listed
    head = {"pieces": (1,), "prefix": (("p", 4000), ("q", 9))}
    request = builders.request(
        stages=(types.Stage("first", (), 8000),), sticky=True
    )
    request = request._replace(head=request.head._replace(**head))
    stages = StageRunner()
    under_test = forwarder.Forwarder(parts=parts, stages=stages)
    await under_test.forward(request, sink=None)
    (used,) = [name for name in names if (name == preferred) == bool(permits)]
    assert stages.engine_zones == [zones[used]]
    # The permit of the plan is used, and none asked for besides.
    assert [address for address, _ in sender.sent] == [f"{used}:80"]


async def test_permit_is_used_for_one_attempt():
    """An engine that missed its inputs got the request again, without one."""
    sender = builders.ScriptedSender([INPUTS_MISSING])
    parts = builders.parts(sender, endpoints=1, permits={"e0": 1})
    parts.limiter.free_after_s = 3.5
    request = builders.request(stages=(types.Stage("first", (), 8000),))
    request = request._replace(head=request.head._replace(pieces=(1,)))
    under_test = forwarder.Forwarder(parts=parts, stages=StageRunner())
    outcome = await under_test.forward(request, sink=None)
    assert len(sender.sent) == 1
    assert outcome.failure.kind is kinds.Kind.OVER_LIMIT
