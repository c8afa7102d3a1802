"""Order of stages, and whether a failure reports that one may have run."""

import time

import pytest

from sycamoreshed.adapters import endpoints
from sycamoreshed.config import state
from sycamoreshed.errors import kinds
from sycamoreshed import exceptions
from sycamoreshed.observe import metrics
from sycamoreshed.pipeline import requests
from sycamoreshed.pipeline import runner
from sycamoreshed.pipeline import stops
from testkit import builders
from testkit import fakes

SENT = kinds.Failure(kinds.Kind.STAGE_FAILED, "x", sent=True)
UNSENT = kinds.Failure(kinds.Kind.NO_ENDPOINT, "x")
GOOD = endpoints.StageAnswer("out", 3)


class Stages:
    """Fake for both kinds of stage; returns results by stage name."""

    def __init__(self, **results):
        self._results = results
        self.ran = []

    async def run(self, _request, stage, _payload, _deadline, **_options):
        self.ran.append(stage["name"])
        return self._results.get(stage["name"], GOOD)


def config(*services):
    """Return a configuration with a pipeline of one stage per service."""
    stages = [
        {"name": f"s{index}", "service": service}
        for index, service in enumerate(services)
    ]
    spec = {"stages": stages, "deadline_ms": 5000}
    note = builders.note(1, added={"pipelines": {"mixed": spec}})
    return state.apply_note(builders.config(), note)


async def run(stages, *services, stop_limit=None):
    """Run a pipeline with one stage per service."""
    part = runner.Runner(
        clock=time.monotonic,
        unary_stage=stages,
        streamed_stage=stages,
        metrics=metrics.Metrics(),
        stop_limit=stop_limit or stops.StopLimit(clock=time.monotonic),
    )
    request = fakes.request(config=config(*services), pipeline="mixed")
    return await part.run(request)


@pytest.mark.parametrize(
    "services, failing, failure, sent",
    [
        (["encoder", "language"], "s0", UNSENT, False),
        (["encoder", "language"], "s0", SENT, True),
        (["encoder", "language"], "s1", UNSENT, True),
        (["encoder", "ballot", "encoder"], "s0", SENT, False),
        (["encoder", "ballot", "encoder"], "s1", UNSENT, False),
        (["encoder", "ballot", "encoder"], "s1", SENT, True),
        (["encoder", "ballot", "encoder"], "s2", UNSENT, True),
    ],
)
async def test_failure_reports_whether_unrepeatable_stage_may_have_run(
    services, failing, failure, sent
):
    """A stage fails before, at or after the one that must not be repeated.

    A caller told "not run" sends its vote again, which must not be
    counted twice.
    """
    stages = Stages(**{failing: failure})
    result = await run(stages, *services)
    assert (result.kind, result.sent) == (failure.kind, sent)
    assert result.reason == f"stage {failing}: x"
    assert stages.ran[-1] == failing


class StoppingStages(Stages):
    """Stages during whose first run the instance is told to stop."""

    def __init__(self, *, stop_limit, ends_at):
        super().__init__()
        self._stop_limit = stop_limit
        self._ends_at = ends_at

    async def run(self, *args, **options):
        result = await super().run(*args, **options)
        self._stop_limit.set(self._ends_at)
        return result


@pytest.mark.parametrize(
    "services, sent",
    [(["encoder", "language"], True), (["encoder", "ballot"], False)],
)
async def test_stage_that_may_not_end_is_not_begun(services, sent):
    """A stopping instance began stages that were cut off."""
    stop_limit = stops.StopLimit(clock=time.monotonic)
    ends_at = time.monotonic() + 10.0
    stages = StoppingStages(stop_limit=stop_limit, ends_at=ends_at)
    result = await run(stages, *services, stop_limit=stop_limit)
    assert (result.kind, result.sent) == (kinds.Kind.DRAINING, sent)
    assert stages.ran == ["s0"]


async def test_stage_that_ends_by_its_deadline_is_begun():
    stop_limit = stops.StopLimit(clock=time.monotonic)
    ends_at = time.monotonic() + 600.0
    stages = StoppingStages(stop_limit=stop_limit, ends_at=ends_at)
    result = await run(stages, "encoder", "language", stop_limit=stop_limit)
    assert result == requests.Complete("out", ("s0", "s1"))


async def test_complete_answer_names_its_stages():
    result = await run(Stages(), "encoder", "language")
    assert result == requests.Complete("out", ("s0", "s1"))


def test_duplicate_stage_name_is_rejected():
    spec = {
        "stages": [{"name": "a", "service": "encoder"}] * 2,
        "deadline_ms": 10,
    }
    note = builders.note(1, added={"pipelines": {"twice": spec}})
    with pytest.raises(exceptions.CheckError, match="used twice"):
        state.apply_note(builders.config(), note)
