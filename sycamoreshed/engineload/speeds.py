"""How fast engines work, as learnt from their answers.

Each instance has few answers of each engine, so instances tell each other what
they have learnt.  What is told are logarithms of seconds, corrected for the
load at which they were taken: an instance that knows some slow engines only
cannot tell from them what is usual.
"""

import math

from sycamoreshed.engineload import pooling
from sycamoreshed.engineload import tables
from sycamoreshed.engineload import told as told_loads
from sycamoreshed.kernel import kernel

__all__ = ["Speeds"]

# A sample counts as at most this many times what is expected there, or as its
# inverse.
MAX_SURPRISE = 2.5
# From this slowness on, or from its inverse, an engine is logged as slow or
# fast.
LOGGED_SLOWNESS = 1.5
# Growth of the logarithm of time when load doubles: twice the time at most.
MAX_SLOPE = math.log(2)
# Interval of computing what is usual in a service again.
REFRESH_S = 1.0
# Reports name the engines with most samples and the services; messages stay
# small, and each engine is in the reports of many instances.
MAX_REPORTED = 128
MIN_REPORTED_WEIGHT = 0.1
MAX_ENGINES = 1024
MAX_SERVICES = 64

_NO_TABLE = tables.Table()


class _Service:
    """What this instance has learnt of a service."""

    def __init__(self):
        self.trend = pooling.Trend()
        self.mean = pooling.Mean()
        self.boots = set()
        self.table = tables.Table()
        self.prompt_token = pooling.Typical()


class Speeds:
    """Learnt speed of each engine; without answers all are equally fast.

    Parameters
    ----------
    told : ToldLoads, optional
    journal : Journal, optional
    export : callable, optional
        Takes the name of a service that is seen for the first time.
    is_enabled : bool
        Whether anything is learnt.
    """

    def __init__(
        self, *, told=None, journal=None, export=None, is_enabled=True
    ):
        self._is_enabled = is_enabled
        self._told = told or told_loads.ToldLoads()
        self._journal = journal
        self._export = export
        self._services = {}
        self._means = {}
        self._pool = pooling.Pool()
        # Services of the boots that are logged as slow or fast, and sources of
        # bad reports.
        self._logged = {}
        self._bad_sources = set()

    def slowness(self, endpoint, now):
        """Return how many times longer an engine takes than its service.

        Parameters
        ----------
        endpoint : Endpoint
        now : float

        Returns
        -------
        float
            1 for the usual speed, more for a slower engine.
        """
        boot = endpoint.boot
        table = self._table(endpoint.service, boot, now)
        ratio = table.slowness.get(boot, 1.0)
        return tables.bounded(ratio * self._told.slowdown(endpoint, now))

    def prompt_token_s(self, endpoint, now):
        """Return the seconds an engine needs for a token of a prompt.

        Returns
        -------
        float or None
            None if its service has shown nothing yet.
        """
        service = self._services.get(endpoint.service)
        usual = None if service is None else service.prompt_token.value
        if usual is None:
            return None
        return math.exp(usual) * self.slowness(endpoint, now)

    def event_s(self, endpoint, now):
        """Return the usual seconds between events of an engine, or None."""
        table = self._table(endpoint.service, endpoint.boot, now)
        if table.usual is None:
            return None
        load = self._services[endpoint.service].mean.load
        usual_s = math.exp(table.usual + table.slope * load)
        return usual_s * self.slowness(endpoint, now)

    def count_slow(self, service, now):
        """Return the number of slow engines that a service has."""
        if service not in self._services:
            return 0
        slowness = self._refreshed(service, now).slowness
        return sum(each >= LOGGED_SLOWNESS for each in slowness.values())

    def record_time(self, endpoint, seconds, requests, now):
        """Record a time that shows an endpoint's speed.

        Parameters
        ----------
        endpoint : Endpoint
        seconds : float
            The usual time between events of a stream, or that of a call.
        requests : int
            Requests that it had then.
        now : float
        """
        if not self._is_enabled or not 0 < seconds < math.inf:
            return
        service = self._service(endpoint.service)
        self._refreshed(endpoint.service, now)
        boot = endpoint.boot
        load = math.log2(max(1, requests))
        log_s = tables.clipped(
            math.log(seconds), pooling.MIN_VALUE, pooling.MAX_VALUE
        )
        expected = _expected(service, boot, load, now)
        if expected is not None:
            surprise = math.log(MAX_SURPRISE)
            log_s = tables.clipped(
                log_s, expected - surprise, expected + surprise
            )
        mean = self._mean(boot)
        if mean.weight(now) >= 1:
            service.trend.add(log_s - mean.log_s, load - mean.load, now)
        mean.add(log_s, load, now)
        service.mean.add(log_s, load, now)
        service.boots.add(boot)

    def record_prompt(self, endpoint, seconds, tokens, now):
        """Record the time in which an endpoint has read prompts.

        Parameters
        ----------
        endpoint : Endpoint
        seconds : float
        tokens : int
            What was not cached against expectation is not among them.
        now : float
        """
        if not self._is_enabled or not 0 < seconds < math.inf or tokens <= 0:
            return
        service = self._service(endpoint.service)
        ratio = self.slowness(endpoint, now)
        service.prompt_token.add(math.log(seconds / tokens / ratio))

    def report(self, now):
        """Return what this instance has learnt itself, for the others.

        Returns
        -------
        dict of str to (float, float)
            Values and weights, by `Endpoint.boot` and by ``service`` and
            the name of a service.
        """
        entries = []
        result = {}
        for name, service in self._services.items():
            slope, weight = service.trend.slope()
            if weight >= 1:
                weight = min(weight, pooling.MAX_WEIGHT)
                result[_service_key(name)] = (round(slope, 3), round(weight))
            pooled = self._slope(name)
            for boot in service.boots:
                mean = self._means.get(boot)
                weight = 0.0 if mean is None else mean.weight(now)
                if weight >= MIN_REPORTED_WEIGHT:
                    value = mean.log_s - pooled * mean.load
                    entries.append((weight, boot, value))
        entries.sort(reverse=True)
        for weight, boot, value in entries[:MAX_REPORTED]:
            weight = min(weight, pooling.MAX_WEIGHT)
            result[boot] = (round(value, 3), round(weight, 2))
        return result

    def record_report(self, source, report, at):
        """Replace what another instance has told.

        Parameters
        ----------
        source : str
        report : object
            As its `report` returned it; what cannot be read is ignored.
        at : float
            Monotonic time at which it was received.
        """
        if not self._is_enabled:
            return
        entries, bad_count = pooling.read_report(report)
        if bad_count:
            self._log_bad(source, bad_count)
        self._pool.record(source, entries, at)

    def _log_bad(self, source, count):
        if source in self._bad_sources or self._journal is None:
            return
        if len(self._bad_sources) >= pooling.MAX_SOURCES:
            return
        self._bad_sources.add(source)
        self._journal.write(
            "speed_report_bad", peer=source, why=f"{count} bad entries"
        )

    def _service(self, name):
        if name not in self._services:
            if len(self._services) >= MAX_SERVICES:
                del self._services[next(iter(self._services))]
            self._services[name] = _Service()
            if self._export is not None:
                self._export(name)
        return self._services[name]

    def _mean(self, boot):
        if boot not in self._means:
            if len(self._means) >= MAX_ENGINES:
                del self._means[next(iter(self._means))]
            self._means[boot] = pooling.Mean()
        return self._means[boot]

    def _table(self, name, boot, now):
        """Return the `tables.Table` of an engine's service.

        Reports do not tell the services of engines: one that others have told
        of is in the table from its next computation on.
        """
        service = self._services.get(name)
        if service is None or boot not in service.boots:
            if boot not in self._pool:
                return _NO_TABLE if service is None else service.table
            self._service(name).boots.add(boot)
        return self._refreshed(name, now)

    def _refreshed(self, name, now):
        service = self._services[name]
        if now - service.table.at >= REFRESH_S:
            self._pool.expire(now)
            service.table = self._compute(name, now)
            self._log(name, service.table)
        return service.table

    def _compute(self, name, now):
        service = self._services[name]
        slope = self._slope(name)
        levels = {}
        for boot in list(service.boots):
            level = self._level(boot, slope, now)
            if level.weight < MIN_REPORTED_WEIGHT and boot not in self._pool:
                service.boots.discard(boot)
                self._means.pop(boot, None)
            else:
                levels[boot] = level
        return tables.of_levels(levels, slope, now, known=service.table.levels)

    def _level(self, boot, slope, now):
        """Return the `tables.Level` of an engine by all instances."""
        weight, weighted = self._pool.total(boot)
        mean = self._means.get(boot)
        if mean is not None:
            own = mean.weight(now)
            weight += own
            weighted += own * (mean.log_s - slope * mean.load)
        if weight <= 0:
            return tables.Level(0.0, 0.0)
        return tables.Level(weighted / weight, weight)

    def _slope(self, name):
        """Return how times in a service grow with load, by all instances."""
        slope, weight = self._services[name].trend.slope()
        told_weight, weighted = self._pool.total(_service_key(name))
        if weight + told_weight <= 0:
            return 0.0
        pooled = (weight * slope + weighted) / (weight + told_weight)
        return tables.clipped(pooled, 0.0, MAX_SLOPE)

    def _log(self, name, table):
        """Write an event for each engine that became slow, fast or usual."""
        for boot, ratio in table.slowness.items():
            is_usual = 1 / LOGGED_SLOWNESS < ratio < LOGGED_SLOWNESS
            if boot not in self._logged and not is_usual:
                self._logged[boot] = name
                self._write(name, boot, table)
        usual = [
            boot
            for boot, service in self._logged.items()
            if service == name and table.slowness.get(boot, 1.0) == 1.0
        ]
        for boot in usual:
            del self._logged[boot]
            self._write(name, boot, table)

    def _write(self, name, boot, table):
        if self._journal is None:
            return
        level = table.levels.get(boot, tables.Level(0.0, 0.0))
        self._journal.write(
            "engine_speed",
            endpoint=boot.rpartition("@")[0],
            service=name,
            slowness=round(table.slowness.get(boot, 1.0), 2),
            weight=round(level.weight, 1),
        )


def _expected(service, boot, load, now):
    """Return the logarithm of the time that is expected of an engine.

    None if its service has shown nothing yet.
    """
    table = service.table
    if table.usual is not None:
        level = table.levels.get(boot)
        log_s = table.usual if level is None else level.log_s
        return log_s + table.slope * load
    return service.mean.log_s if service.mean.weight(now) >= 1 else None


def _service_key(name):
    return f"service {name}"


@kernel.plugin(
    "engine_speeds", needs=("gateway_metrics", "journal", "told_loads")
)
async def engine_speeds(core):
    """Provide the `Speeds`."""

    def export(service):
        core.part("gateway_metrics").export_slow_engines(
            service, lambda: part.count_slow(service, core.clock())
        )

    part = Speeds(
        told=core.part("told_loads"),
        journal=core.part("journal"),
        export=export,
        is_enabled=core.settings.learn_speeds,
    )
    yield part
