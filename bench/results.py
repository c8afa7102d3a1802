"""Results of a run: figures as JSON, from samples and the daemons."""

import collections
import re

from hdrh.histogram import HdrHistogram
import msgspec

__all__ = ["gather", "recovered", "summarise"]

BACK = 0.99

HIGHEST_US = 60_000_000
DIGITS = 3
PERCENTILES = (50, 90, 95, 99)
_LINE = re.compile(
    r"^sycamoreshed_(?P<name>\w+)(?:\{(?P<labels>.*)\})? (?P<value>\S+)$"
)
_LABEL = re.compile(r'(\w+)="([^"]*)"')
_KEPT = {
    "stage_seconds_sum",
    "stage_seconds_count",
    "cross_region_bytes_total",
    "retries_total",
    "hedges_total",
}


def summarise(samples, seconds):
    """Return the figures a run is compared by.

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
    # What is queued at the start hides an overload for some seconds, so
    # the second half is told by itself.
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
    """Return how long after `since` attainment is back, or None.

    Parameters
    ----------
    samples : list of Sample
    since, seconds : float
        When the disturbance ended, and the run; seconds.

    Returns
    -------
    float or None
        Seconds from `since` to the first second from which at least
        `BACK` of all requests up to the end of the run are attained.
    """
    for second in range(int(since), int(seconds)):
        rest = [sample for sample in samples if sample.at >= second]
        now = [sample for sample in rest if sample.at < second + 1]
        if now and min(_share(rest), _share(now)) >= BACK:
            return second - since
    return None


async def gather(world):
    """Return what daemons and engines counted.

    Returns
    -------
    dict
        Seconds, calls and crossing bytes by stage; prefix hits.
    """
    stages = collections.defaultdict(collections.Counter)
    for daemon in world.daemons:
        text = await world.get(daemon.public, "/metrics")
        for line in (text or "").splitlines():
            match = _LINE.match(line)
            if match is None or match["name"] not in _KEPT:
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
    """Return requests attained a second in the second half."""
    half = seconds / 2
    return sum(item.attained for item in samples if item.at >= half) / half


def _spread(values):
    """Return percentiles in seconds, and the histogram itself."""
    histogram = HdrHistogram(1, HIGHEST_US, DIGITS)
    for value in values:
        histogram.record_value(min(HIGHEST_US, max(1, int(value * 1e6))))
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
