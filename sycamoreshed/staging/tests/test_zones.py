"""Tests of clustered load on the stages of several zones: what callers get."""

import random

from sycamoreshed.staging import delegation
from sycamoreshed.staging import pieces
from sycamoreshed.staging.tests import builders
from testkit import stagezones
from testkit import virtualtime

LARGE = 3_000_000
SECONDS = 40
REGIONS = {"n-a": "n", "n-b": "n", "s-a": "s", "s-b": "s"}
ZONES = tuple(REGIONS)
SPECS = {
    "first": builders.spec(
        batch=10, call_s=0.15, piece_s=0.013, memory_bytes=54e6
    ),
    "second": builders.spec(
        batch=47, call_s=0.15, piece_s=0.0028, memory_bytes=8.3e6
    ),
    "third": builders.spec(
        batch=82, call_s=0.15, piece_s=0.0016, memory_bytes=1.5e6
    ),
}
MEAN_CLUSTER = 3


def _job(name, stages, *, priority, target_s):
    return pieces.Job(
        name, stages, "key", target_s, 1.3 * target_s, 6.0, None, 0, priority
    )


def chain(name, _rng):
    """Return a job of three stages with small results."""
    stages = [
        pieces.StageWork("first", (), 1, 8_000),
        pieces.StageWork("second", (0,), 8, 60_000),
        pieces.StageWork("third", (1,), 16, 6_000),
    ]
    return _job(name, stages, priority=0, target_s=1.45)


def large(name, rng):
    """Return a job of one stage with large results."""
    stages = [pieces.StageWork("first", (), rng.choice((1, 2, 3)), LARGE)]
    return _job(name, stages, priority=1, target_s=1.1)


def clusters(rates, *, seed):
    """Return a load whose jobs come in clusters, each in one zone.

    Parameters
    ----------
    rates : dict of callable to float
        Builders of jobs, and jobs per second and zone.
    """
    rng = random.Random(seed)
    load = []
    for zone in ZONES:
        for build, rate in rates.items():
            at = rng.expovariate(rate / MEAN_CLUSTER)
            while at < SECONDS:
                for _ in range(rng.randint(1, 2 * MEAN_CLUSTER - 1)):
                    name = f"{build.__name__}-{len(load)}"
                    load.append(
                        stagezones.Arrival(
                            at,
                            build.__name__,
                            zone,
                            build(name, rng),
                            rng.choice(ZONES),
                        )
                    )
                at += rng.expovariate(rate / MEAN_CLUSTER)
    return sorted(load, key=lambda each: each.at)


def play(load, *, instances=3):
    """Return the records of a load, with one endpoint of a service a zone."""

    async def run():
        simulated = stagezones.Zones(
            regions=REGIONS,
            specs=SPECS,
            endpoints=dict.fromkeys(SPECS, 1),
            instances=instances,
        )
        return await simulated.play(load, fetch_s=0.15)

    return virtualtime.run(run())


def rejected_share(records, kind):
    """Return the share of a kind of jobs without results."""
    of_kind = [each for each in records if each.kind == kind]
    return sum(not each.is_done for each in of_kind) / len(of_kind)


def in_time_share(records, kind):
    """Return the share of a kind of jobs whose results were in time."""
    of_kind = [each for each in records if each.kind == kind]
    return sum(each.met_target for each in of_kind) / len(of_kind)


def test_clusters_are_served_by_zones_that_have_time(monkeypatch):
    """A cluster was rejected in its zone while endpoints elsewhere were idle.

    More callers of all kinds are in time, and fewer rejected, if a job that a
    zone rejects is offered to others.
    """
    for seed in range(3):
        load = clusters({chain: 7.0, large: 3.0}, seed=seed)
        offered = play(load)
        with monkeypatch.context() as patch:
            patch.setattr(delegation, "MAX_ATTEMPTS", 1)
            final = play(load)
        for kind in ("chain", "large"):
            assert in_time_share(offered, kind) >= in_time_share(final, kind)
        assert rejected_share(offered, "chain") < rejected_share(
            final, "chain"
        )


def test_large_results_stay_in_the_zone_of_their_engine():
    """Large results crossed zones although their own one had time."""
    load = clusters({large: 1.0}, seed=2)
    records = play(load)
    remote = [
        each for each in records if set(each.result_bytes) - {each.engine_zone}
    ]
    assert len(remote) <= 0.1 * len(records)
