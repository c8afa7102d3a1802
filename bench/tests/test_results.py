"""Scenario plans, and summary and comparison of results."""

from bench import arrivals
from bench import deployments
from bench import load
from bench import results
from bench import runs
from bench import scenarios
import pytest


def sample(at, attained, **changes):
    fields = {
        "at": at,
        "team": "gaucho",
        "pipeline": "summary",
        "outcome": "complete" if attained else "shed",
        "seconds": 0.5,
        "first_s": 0.2,
        "lag_s": 0.001,
        "attained": attained,
    }
    return load.Sample(**{**fields, **changes})


def test_summary_of_samples():
    samples = [sample(at, at < 6) for at in range(10)]
    samples.append(sample(9, False, team="ilha"))
    figures = results.summarise(samples, 10.0)
    assert figures["attainment"] == 6 / 11
    assert figures["settled_teams"] == {"gaucho": 0.2, "ilha": 0.0}
    assert figures["outcomes"] == {"complete": 6, "shed": 5}
    assert figures["pipelines"]["summary"]["goodput"] == 1 / 5
    assert figures["over_time"]["ilha"][:9] == [None] * 9
    spread = figures["pipelines"]["summary"]["seconds"]
    assert spread["count"] == 6
    assert spread["p95"] == pytest.approx(0.5, rel=0.01)


@pytest.mark.parametrize("name", scenarios.SCENARIOS.names())
@pytest.mark.parametrize("deployment", deployments.DEPLOYMENTS.names())
def test_scenario_plan_stays_within_run_length(name, deployment):
    system = deployments.DEPLOYMENTS.get(deployment)()
    plan = scenarios.SCENARIOS.get(name)(system, 0.9, 9.0)
    drawn = arrivals.draw(plan.phases, system.mix, seed=3)
    assert drawn
    assert drawn == sorted(drawn)
    assert max(item.at for item in drawn) < 9.0
    assert all(0 <= event.at < 9.0 for event in plan.events)


def test_compare_groups_seeds():
    figures = results.summarise([sample(6, True)], 10.0)
    result = {
        "scenario": "steady",
        "deployment": "cineclubes",
        "load": 0.9,
        "settings": {"routing": "random"},
        "figures": figures,
        "counted": {"stages": {}, "engines": {}},
    }
    head, row = runs.compare([result, result])
    named = dict(zip(head, row, strict=True))
    assert named["runs"] == "2"
    assert named["settings"] == "routing=random"
    assert named["attainment"] == "1 ±0"


@pytest.mark.parametrize(
    ("attained_from", "expected"), [(5, 0.0), (7, 2.0), (10, None), (0, 0.0)]
)
def test_time_to_recover(attained_from, expected):
    samples = [
        sample(second + tenth / 10, second >= attained_from)
        for second in range(10)
        for tenth in range(10)
    ]
    assert results.recovered(samples, 5.0, 10.0) == expected
