"""Requests that callers send while an instance stops."""

import asyncio

import pytest

from standins import scripted
from testkit import latecallers
from testkit import stopcallers
from testkit import wiredata
from tests.integration import harness

# Scaled to it, the plays of other paths take half of the time.
SHORT_GRACE_S = 4.0
TRIALS = [
    latecallers.Plan(1, "safe", "nothing"),
    latecallers.Plan(2, "unsafe", "40 short", is_open=True),
    latecallers.Plan(3, "stream", "2 short"),
    latecallers.Plan(4, "resumable", "40 short", is_open=True),
    latecallers.Plan(5, "stream", "40 short", has_usage=True),
]
PATHS = {
    "stages": "stream",
    "queue": "unsafe",
    "all-faults": "resumable",
    "slow-upload": "unsafe",
    "endless-upload": "stream",
    "slow-reader": "stream",
    "store-away": "resumable",
    "second-signal": "unsafe",
    "three-instances": "safe",
}


@pytest.mark.parametrize("plan", TRIALS, ids=str)
async def test_late_requests_are_served_or_rejected(tmp_path, plan):
    """They were taken late in the grace period and cut at its end."""
    played = await latecallers.play(plan, tmp_path)
    assert not latecallers.violations(latecallers.report(played))


@pytest.mark.parametrize("name", PATHS)
async def test_late_requests_are_not_cut_on_other_paths(tmp_path, name):
    """Only the first attempt of a request asked whether it would end."""
    plan = latecallers.Plan(
        1,
        PATHS[name],
        "40 short",
        **{"grace_s": SHORT_GRACE_S, **latecallers.SCENARIOS[name]},
    )
    played = await latecallers.play(plan, tmp_path)
    assert not latecallers.violations(latecallers.report(played))


async def test_callers_that_go_on_do_not_prolong_the_time_of_acceptance(
    store, tmp_path
):
    """While others kept coming, late requests were taken and cut."""
    grace_s = 8.0
    # After the load balancer has noticed, and longer than what is left then.
    late_s = 3.4
    # The instance still runs at that time, as it has an early request.
    lasts_s = {"early": 5.0, "late": 5.0}
    plan = latecallers.Plan(1, "unsafe")
    store.put("op", "config", latecallers.configuration(plan))

    def script(received):
        yield lasts_s.get(received.headers["x-sycamoreshed-request-id"], 0.02)
        yield scripted.answer(200, b"whole", **{harness.SEAL: "proof"})

    def head(request):
        fields = wiredata.head(request, deadline_ms="15000")
        lines = [f"{name}: {value}\r\n" for name, value in fields.items()]
        return "".join(["POST /lookup/1 HTTP/1.1\r\n", *lines]).encode()

    async with (
        harness.endpoints(store, script, slots=100),
        harness.serving(store, tmp_path, grace_s=grace_s) as (gateway, _),
    ):
        others = stopcallers.StopCallers(
            address=gateway.public, head=head, count=4
        )
        calling = asyncio.create_task(others.run())
        await asyncio.sleep(1.0)
        early = asyncio.create_task(
            stopcallers.send(gateway.public, "early", head("early"))
        )
        await asyncio.sleep(0.1)
        gateway.process.terminate()
        await asyncio.sleep(late_s)
        late = await stopcallers.send(gateway.public, "late", head("late"))
        assert (await early).status == 200
        await gateway.process.wait()
        calling.cancel()
    assert late.status == 503
