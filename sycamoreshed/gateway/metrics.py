"""Metrics of a forwarding daemon.

Label values are a limited number of route names and fixed lists, so the
number of series does not grow with teams or endpoints.
"""

import prometheus_client

from sycamoreshed.kernel import kernel

__all__ = ["GatewayMetrics"]

# Further routes, and requests without a route, share a label: operators may
# configure thousands.
MAX_ROUTE_LABELS = 50
OTHER_LABEL = "other"
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
        self._services = set()
        self.registry = registry
        self._requests = prometheus_client.Counter(
            "sycamoreshed_gateway_requests",
            "Requests by how they ended.",
            ["route", "outcome"],
            registry=registry,
        )
        self._request_seconds = prometheus_client.Histogram(
            "sycamoreshed_gateway_request_seconds",
            "Time from a request's arrival to the end of its answer.",
            ["route"],
            buckets=BUCKETS_S,
            registry=registry,
        )
        self._first_event_seconds = prometheus_client.Histogram(
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
        self._store_era = prometheus_client.Gauge(
            "sycamoreshed_gateway_store_era",
            "Era of the store that this instance knows of; rises each time "
            "that the store comes back from an older copy.",
            registry=registry,
        )
        self._evacuated = prometheus_client.Gauge(
            "sycamoreshed_gateway_evacuated_seconds",
            "Time since a zone is known to be evacuated; 0 if it is not.",
            ["zone"],
            registry=registry,
        )
        self._cold_endpoints = prometheus_client.Gauge(
            "sycamoreshed_gateway_cold_endpoints",
            "Endpoints that have not warmed up yet.",
            registry=registry,
        )
        self._slow_engines = prometheus_client.Gauge(
            "sycamoreshed_gateway_slow_engines",
            "Endpoints that take 1.5 times the usual time or more.",
            ["service"],
            registry=registry,
        )
        self._unreached_endpoints = prometheus_client.Gauge(
            "sycamoreshed_gateway_unreached_endpoints",
            "Endpoints to which the latest connection was not established.",
            registry=registry,
        )
        self._cut_off = prometheus_client.Gauge(
            "sycamoreshed_gateway_cut_off",
            "Whether this instance has lost its links to all endpoints.",
            registry=registry,
        )
        self._connections = prometheus_client.Gauge(
            "sycamoreshed_gateway_connections",
            "Open connections that were accepted, by listener.",
            ["listener"],
            registry=registry,
        )
        self._max_descriptors = prometheus_client.Gauge(
            "sycamoreshed_gateway_max_descriptors",
            "Descriptors that the process may have open.",
            registry=registry,
        )
        self._held_bytes = prometheus_client.Gauge(
            "sycamoreshed_gateway_held_bytes",
            "Bytes of bodies and answers that are held for requests.",
            ["content"],
            registry=registry,
        )
        self._slow_readers = prometheus_client.Counter(
            "sycamoreshed_gateway_slow_readers",
            "Peers that were given up because they read nothing.",
            registry=registry,
        )
        self._taken_up = prometheus_client.Counter(
            "sycamoreshed_gateway_streams_taken_up",
            "Requests that go on with a stream, by what knew its origin.",
            ["origin"],
            registry=registry,
        )
        self._repeats = prometheus_client.Counter(
            "sycamoreshed_gateway_repeats",
            "Repeats that were asked of the retry budget, by its decision.",
            ["decision"],
            registry=registry,
        )
        self._engine_waiting = prometheus_client.Gauge(
            "sycamoreshed_gateway_engine_waiting",
            "Requests that wait for room in the memory of engines.",
            registry=registry,
        )
        self._no_room = prometheus_client.Counter(
            "sycamoreshed_gateway_no_room",
            "Requests rejected as engines have no room for them, by reason.",
            ["why"],
            registry=registry,
        )
        self._task_failures = prometheus_client.Counter(
            "sycamoreshed_gateway_task_failures",
            "Background tasks that ended by an error, by name.",
            ["task"],
            registry=registry,
        )
        self._engine_load_messages = prometheus_client.Counter(
            "sycamoreshed_gateway_engine_load_messages",
            "Messages about the load of engines, by what came of them.",
            ["content", "result"],
            registry=registry,
        )
        self._engine_load_age = prometheus_client.Gauge(
            "sycamoreshed_gateway_engine_load_age_seconds",
            "Time since the load of engines by others was last known.",
            registry=registry,
        )
        self._engine_requests = prometheus_client.Gauge(
            "sycamoreshed_gateway_engine_requests",
            "Requests that all instances have at engines, as far as known.",
            registry=registry,
        )
        self._dropped = prometheus_client.Gauge(
            "sycamoreshed_gateway_log_lines_dropped",
            "Log lines left out since the start.",
            registry=registry,
        )

    def record_answered(self, route, outcome, duration_s):
        """Count a request that an endpoint answered."""
        label = self._label(route)
        self._requests.labels(label, "answered").inc()
        self._request_seconds.labels(label).observe(duration_s)
        if outcome.first_s is not None:
            self._first_event_seconds.labels(label).observe(outcome.first_s)

    def record_ended(self, route, outcome, duration_s):
        """Count a request that ended without an endpoint's full response."""
        label = self._label(route)
        self._requests.labels(label, outcome).inc()
        self._request_seconds.labels(label).observe(duration_s)

    def export_age(self, table, read):
        """Export the age of a table, which `read` returns at each scrape."""
        self._age.labels(table).set_function(read)

    def export_store_era(self, read):
        """Export the store's era, which `read` returns at each scrape."""
        self._store_era.set_function(read)

    def export_evacuation(self, zone, read):
        """Export since when a zone is evacuated, in seconds."""
        self._evacuated.labels(zone).set_function(read)

    def export_cold_endpoints(self, read):
        """Export the number of cold endpoints, which `read` returns."""
        self._cold_endpoints.set_function(read)

    def export_slow_engines(self, service, read):
        """Export how many engines of a service are slow.

        Services after the first `MAX_ROUTE_LABELS` ones are left out.
        """
        self._services.add(service)
        if len(self._services) <= MAX_ROUTE_LABELS:
            self._slow_engines.labels(service).set_function(read)

    def export_unreached_endpoints(self, read):
        """Export the number of endpoints that were not reached."""
        self._unreached_endpoints.set_function(read)

    def export_cut_off(self, read):
        """Export whether this instance reaches no endpoint."""
        self._cut_off.set_function(read)

    def export_connections(self, listener, read):
        """Export a listener's open connections, which `read` returns."""
        self._connections.labels(listener).set_function(read)

    def export_max_descriptors(self, read):
        """Export the limit of open descriptors, which `read` returns."""
        self._max_descriptors.set_function(read)

    def export_held_bytes(self, content, read):
        """Export the bytes held of a kind of content, from `read`."""
        self._held_bytes.labels(content).set_function(read)

    def record_slow_reader(self):
        """Count a peer that was given up because it read nothing."""
        self._slow_readers.inc()

    def export_dropped(self, read):
        """Export the number of dropped log lines, which `read` returns."""
        self._dropped.set_function(read)

    def record_taken_up(self, origin):
        """Count a request that goes on with a stream.

        Parameters
        ----------
        origin : str
            What knew its origin.
        """
        self._taken_up.labels(origin).inc()

    def record_repeat(self, why):
        """Count a repeat that was asked of the retry budget.

        Parameters
        ----------
        why : str or None
            Why it must not be sent; None if it may.
        """
        self._repeats.labels(why or "spent").inc()

    def export_engine_waiting(self, read):
        """Export the requests that wait for room, which `read` returns."""
        self._engine_waiting.set_function(read)

    def record_no_room(self, why):
        """Count a request for which engines have no room.

        Parameters
        ----------
        why : NoRoom
        """
        self._no_room.labels(why.value).inc()

    def record_task_failure(self, name, _error):
        """Count a background task that ended by an error."""
        self._task_failures.labels(name).inc()

    def record_engine_load_message(self, content, result):
        """Count a message about the load of engines.

        Parameters
        ----------
        content : str
            ``own``, ``total`` or ``received``.
        result : str
            ``taken``, ``lost`` or ``ignored``.
        """
        self._engine_load_messages.labels(content, result).inc()

    def export_engine_load_age(self, read):
        """Export the age of the view of engines' load, in seconds."""
        self._engine_load_age.set_function(read)

    def export_engine_requests(self, read):
        """Export the requests of all instances at engines."""
        self._engine_requests.set_function(read)

    def render(self):
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def _label(self, route):
        if route is None:
            return OTHER_LABEL
        if route.name not in self._routes:
            if len(self._routes) >= MAX_ROUTE_LABELS:
                return OTHER_LABEL
            self._routes.add(route.name)
        return route.name


@kernel.plugin("gateway_metrics")
async def gateway_metrics(core):
    """Provide the daemon's metrics."""
    part = GatewayMetrics()
    core.tasks.on_failure(part.record_task_failure)
    yield part
