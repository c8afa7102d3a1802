"""Counters and histograms of a forwarding daemon.

Labels are route names up to a bound and closed lists, so the number of
series does not grow with teams or endpoints.
"""

import prometheus_client

from sycamoreshed.kernel import kernel

__all__ = ["GatewayMetrics"]

# Routes beyond these share a label: operators may configure thousands.
ROUTE_LABELS = 50
OTHER = "other"
BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 1.8, 2.5, 4, 6, 10, 20)


class GatewayMetrics:
    """The daemon's metrics.

    Parameters
    ----------
    registry : CollectorRegistry, optional
    """

    def __init__(self, *, registry=None):
        registry = registry or prometheus_client.CollectorRegistry()
        self._routes = set()
        self.registry = registry
        self._requests = prometheus_client.Counter(
            "sycamoreshed_gateway_requests",
            "Requests by how they ended.",
            ["route", "outcome"],
            registry=registry,
        )
        self._seconds = prometheus_client.Histogram(
            "sycamoreshed_gateway_request_seconds",
            "Time from a request's arrival to the end of its answer.",
            ["route"],
            buckets=BUCKETS_S,
            registry=registry,
        )
        self._first = prometheus_client.Histogram(
            "sycamoreshed_gateway_first_event_seconds",
            "Time from a request's arrival to its first event.",
            ["route"],
            buckets=BUCKETS_S,
            registry=registry,
        )
        self._age = prometheus_client.Gauge(
            "sycamoreshed_gateway_age_seconds",
            "Time since a table was last known to be current.",
            ["table"],
            registry=registry,
        )
        self._dropped = prometheus_client.Gauge(
            "sycamoreshed_gateway_log_lines_dropped",
            "Log lines left out since the start.",
            registry=registry,
        )

    def answered(self, route, outcome, took_s):
        """Count a request that an endpoint answered."""
        label = self._label(route)
        self._requests.labels(label, "answered").inc()
        self._seconds.labels(label).observe(took_s)
        if outcome.first_s is not None:
            self._first.labels(label).observe(outcome.first_s)

    def ended(self, route, outcome, took_s):
        """Count a request that ended otherwise."""
        label = self._label(route)
        self._requests.labels(label, outcome).inc()
        self._seconds.labels(label).observe(took_s)

    def watch_age(self, table, read):
        """Show how old a table is, read when metrics are asked for."""
        self._age.labels(table).set_function(read)

    def watch_dropped(self, read):
        """Show how many log lines were left out."""
        self._dropped.set_function(read)

    def render(self):
        """Return all metrics in the text format."""
        return prometheus_client.generate_latest(self.registry)

    def _label(self, route):
        if route is None:
            return OTHER
        if route.name not in self._routes:
            if len(self._routes) >= ROUTE_LABELS:
                return OTHER
            self._routes.add(route.name)
        return route.name


@kernel.plugin("gateway_metrics")
async def gateway_metrics(_core):
    """Provide the daemon's metrics."""
    yield GatewayMetrics()
