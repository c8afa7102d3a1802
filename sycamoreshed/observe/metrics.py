"""Metrics of the entry daemon.

The first `MAX_TEAM_LABELS` teams seen since the start have a label each and
all others share one, so that 35,000 teams do not make 35,000 series.
"""

import prometheus_client

from sycamoreshed.kernel import kernel

__all__ = ["Metrics"]

MAX_TEAM_LABELS = 50
OTHER_TEAMS_LABEL = "other"


class Metrics:
    """The daemon's counters and histograms.

    Parameters
    ----------
    region : str
        Region of this instance; traffic with other regions is counted.
    registry : CollectorRegistry, optional
    """

    def __init__(self, *, region="", registry=None):
        registry = registry or prometheus_client.CollectorRegistry()
        self._teams = set()
        self._region = region
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
        self.request_seconds = prometheus_client.Histogram(
            "sycamoreshed_request_seconds",
            "Time from a request's arrival to the end of its answer.",
            ["pipeline"],
            registry=registry,
        )
        self.sheds = prometheus_client.Counter(
            "sycamoreshed_sheds",
            "Requests turned away before any call was sent.",
            ["kind"],
            registry=registry,
        )
        self.cross_region_bytes = prometheus_client.Counter(
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
        self.stray_answers = prometheus_client.Counter(
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
        if len(self._teams) < MAX_TEAM_LABELS:
            self._teams.add(team)
            return team
        return OTHER_TEAMS_LABEL

    def count_cross_region(self, request, stage, endpoint, answer):
        """Count the bytes of a call to an endpoint in another region.

        Parameters
        ----------
        request : Request
        stage : StageSpec
        endpoint : Endpoint
        answer : StageAnswer
        """
        if endpoint.region != self._region:
            self.cross_region_bytes.labels(
                request.pipeline, stage["name"]
            ).inc(answer.size)

    def render(self):
        """Return all metrics in the text format."""
        return prometheus_client.generate_latest(self.registry)


@kernel.plugin("metrics")
async def metrics(core):
    """Provide the daemon's metrics."""
    yield Metrics(region=core.settings.region)
