"""Metrics with many teams and of calls across regions."""

import types

from sycamoreshed.adapters import endpoints
from sycamoreshed.errors import kinds
from sycamoreshed.observe import metrics

TEAMS = 35_000
PIPELINES = 13


def test_series_stay_few_with_all_teams():
    """The size of a scrape must not grow with the number of teams."""
    daemon_metrics = metrics.Metrics()
    for number in range(TEAMS):
        team = daemon_metrics.team_label(f"team-{number}")
        pipeline = f"pipeline-{number % PIPELINES}"
        outcome = list(kinds.Outcome)[number % len(kinds.Outcome)]
        daemon_metrics.requests.labels(team, pipeline, outcome).inc()
    text = daemon_metrics.render().decode()
    lines = [line for line in text.splitlines() if line[0] != "#"]
    totals = [
        line for line in lines if line.startswith("sycamoreshed_requests_tot")
    ]
    # The first teams have a series each; the others share one for each
    # pipeline and outcome.
    assert len(totals) == metrics.MAX_TEAM_LABELS + PIPELINES * len(
        kinds.Outcome
    )
    assert sum(float(line.split()[-1]) for line in totals) == TEAMS


def test_only_traffic_with_other_regions_is_counted():
    daemon_metrics = metrics.Metrics(region="north")
    request = types.SimpleNamespace(pipeline="summary")
    answer = endpoints.StageAnswer("x", 100)
    for region in ("north", "south", "south"):
        endpoint = types.SimpleNamespace(region=region)
        daemon_metrics.count_cross_region(
            request, {"name": "encode"}, endpoint, answer
        )
    counter = daemon_metrics.cross_region_bytes.labels("summary", "encode")
    assert counter._value.get() == 200
