"""Metrics of a daemon.

Teams are counted under their own label only while few; the rest share
one, so that 35,000 teams do not make 35,000 series.
"""

import prometheus_client

from sycamoreshed.kernel import kernel

__all__ = ["Metrics"]

TEAM_LABELS = 50
OTHER = "other"


class Metrics:
    """The daemon's counters and histograms."""

    def __init__(self, *, registry=None):
        registry = registry or prometheus_client.CollectorRegistry()
        self._teams = set()
        self.registry = registry
        self.requests = prometheus_client.Counter(
            "sycamoreshed_requests",
            "Requests by outcome.",
            ["team", "pipeline", "outcome"],
            registry=registry,
        )
        self.stage_seconds = prometheus_client.Histogram(
            "sycamoreshed_stage_seconds",
            "Time of a stage, retries included.",
            ["pipeline", "stage"],
            registry=registry,
        )
        self.crossing_bytes = prometheus_client.Counter(
            "sycamoreshed_cross_region_bytes",
            "Bytes sent to and received from other regions.",
            ["pipeline", "stage"],
            registry=registry,
        )
        self.retries = prometheus_client.Counter(
            "sycamoreshed_retries",
            "Calls sent again.",
            ["stage", "why"],
            registry=registry,
        )
        self.strays = prometheus_client.Counter(
            "sycamoreshed_stray_answers",
            "Answers dropped as not for this call.",
            ["why"],
            registry=registry,
        )
        self.control_bytes = prometheus_client.Counter(
            "sycamoreshed_control_bytes",
            "Bytes of control traffic.",
            ["purpose"],
            registry=registry,
        )

    def team_label(self, team):
        """Return the label under which a team is counted."""
        if team in self._teams:
            return team
        if len(self._teams) < TEAM_LABELS:
            self._teams.add(team)
            return team
        return OTHER

    def render(self):
        """Return all metrics in the text format."""
        return prometheus_client.generate_latest(self.registry)


@kernel.plugin("metrics")
async def metrics(_kernel):
    """Provide the daemon's metrics."""
    yield Metrics()
