"""Figures of a run as JSON, from samples and the daemons' metrics."""

import collections
import re

from hdrh.histogram import HdrHistogram
import msgspec

__all__ = ["gather", "recovered", "summarise"]

RECOVERED_SHARE = 0.99

MAX_US = 60_000_000
DIGITS = 3
PERCENTILES = (50, 90, 95, 99)
_LINE = re.compile(
    r"^sycamoreshed_(?P<name>\w+)(?:\{(?P<labels>.*)\})? (?P<value>\S+)$"
)
_LABEL = re.compile(r'(\w+)="([^"]*)"')
_METRICS = {
    "stage_seconds_sum",
    "stage_seconds_count",
    "cross_region_bytes_total",
    "retries_total",
    "hedges_total",
}


def summarise(samples, seconds):
    """Return the figures by which runs are compared.

    Parameters
    ----------
    samples : list of Sample
    seconds : float
        Length of the run.

    Returns
    -------
    dict
    """
    teams = collections.defaultdict(list)
    pipelines = collections.defaultdict(list)
    for sample in samples:
        teams[sample.team].append(sample)
        pipelines[sample.pipeline].append(sample)
    # Queues that fill at the start hide an overload for some seconds, so
    # the second half is also reported by itself.
    settled = [sample for sample in samples if sample.at >= seconds / 2]
    return {
        "requests": len(samples),
        "attainment": _share(samples),
        "settled": _share(settled),
        "settled_teams": {
            name: _share([item for item in settled if item.team == name])
            for name in teams
        },
        "outcomes": dict(
            collections.Counter(sample.outcome for sample in samples)
        ),
        "teams": {name: _share(items) for name, items in teams.items()},
        "pipelines": {
            name: {
                "attainment": _share(items),
                "goodput": _goodput(items, seconds),
                "seconds": _spread(
                    item.seconds for item in items if item.attained
                ),
                "first_s": _spread(
                    item.first_s for item in items if item.first_s is not None
                ),
                "refused_s": _spread(
                    item.seconds
                    for item in items
                    if item.outcome in ("shed", "not-run")
                ),
            }
            for name, items in pipelines.items()
        },
        "over_time": _over_time(teams, seconds),
        "generator_lag_s": _spread(sample.lag_s for sample in samples),
    }


def recovered(samples, since, seconds):
    """Return the time from `since` until attainment recovers, or None.

    Parameters
    ----------
    samples : list of Sample
    since, seconds : float
        End of the disturbance and end of the run, in seconds.

    Returns
    -------
    float or None
        Seconds from `since` to the first one-second interval for which at
        least `RECOVERED_SHARE` of the requests are attained both in it and
        from its start to the end of the run.
    """
    for second in range(int(since), int(seconds)):
        remaining = [sample for sample in samples if sample.at >= second]
        current = [sample for sample in remaining if sample.at < second + 1]
        if (
            current
            and min(_share(remaining), _share(current)) >= RECOVERED_SHARE
        ):
            return second - since
    return None


async def gather(world):
    """Return the counters of daemons and engines.

    Returns
    -------
    dict
        ``stages``: seconds, calls, cross-region bytes, retries and hedges
        by stage; ``engines``: the summed counts of the engine stand-ins.
    """
    stages = collections.defaultdict(collections.Counter)
    for daemon in world.daemons:
        text = await world.get(daemon.public, "/metrics")
        for line in (text or "").splitlines():
            match = _LINE.match(line)
            if match is None or match["name"] not in _METRICS:
                continue
            labels = dict(_LABEL.findall(match["labels"] or ""))
            stage = labels.get("stage", "all")
            stages[stage][match["name"]] += float(match["value"])
    engines = collections.Counter()
    for spec in world.deployment.specs:
        if spec["kind"] == "engine":
            raw = await world.get(world.addresses[spec["name"]], "/counts")
            engines.update(msgspec.json.decode(raw or "{}"))
    return {"stages": stages, "engines": engines}


def _share(samples):
    if not samples:
        return None
    return sum(sample.attained for sample in samples) / len(samples)


def _goodput(samples, seconds):
    """Return attained requests per second in the second half."""
    half = seconds / 2
    return sum(item.attained for item in samples if item.at >= half) / half


def _spread(values):
    """Return percentiles in seconds, and the histogram itself."""
    histogram = HdrHistogram(1, MAX_US, DIGITS)
    for value in values:
        histogram.record_value(min(MAX_US, max(1, int(value * 1e6))))
    if not histogram.get_total_count():
        return None
    figures = {
        f"p{point}": histogram.get_value_at_percentile(point) / 1e6
        for point in PERCENTILES
    }
    return {
        **figures,
        "count": histogram.get_total_count(),
        "histogram": histogram.encode().decode(),
    }


def _over_time(teams, seconds):
    result = {}
    for team, samples in teams.items():
        buckets = collections.defaultdict(list)
        for sample in samples:
            buckets[int(sample.at)].append(sample)
        result[team] = [
            _share(buckets.get(second, ())) for second in range(int(seconds))
        ]
    return result
