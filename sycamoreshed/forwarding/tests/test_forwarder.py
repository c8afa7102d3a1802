"""The way of a request through its stages and attempts."""

import pytest

from sycamoreshed.catalog import types
from sycamoreshed.forwarding import forwarder
from sycamoreshed.forwarding.tests import builders
from sycamoreshed.platform import names


class Stages:
    """Makes one result each time it is asked."""

    def __init__(self):
        self.runs = 0

    async def run(self, _job, kept, *, engine_zone):
        """Make a result."""
        self.runs += 1
        kept.append(f"h{self.runs}")
        return list(kept)

    def free(self, _handles):
        """Do nothing."""

    def zone_bytes(self, _handles, _stages):
        """Return that nothing lies anywhere."""
        return {}


GONE = builders.Outcome(
    409, {names.REQUEST_ID: builders.ID, names.NOT_RUN: "1"}, False
)


@pytest.mark.parametrize("terms", [{}, {"idempotent": True}])
async def test_a_request_is_not_run_again_after_its_answer(terms):
    """One engine does not find its inputs, and the next one answers.

    Run once more for the inputs that were gone, a ballot would be counted
    twice, and a caller of a stream would get a second answer in the middle
    of the first.
    """
    client = builders.ScriptedClient([GONE, builders.OUTCOMES["done"]])
    stage = types.Stage("first", (), 8000)
    request = builders.request(stages=(stage,), **terms)
    request = request._replace(head=request.head._replace(pieces=(1,)))
    way = forwarder.Forwarder(parts=builders.parts(client), stages=Stages())
    outcome = await way.forward(request, sink=None)
    assert outcome.answer is not None
    runs = [each for _, each in client.sent if each.may_have_run]
    assert len(runs) == 1
