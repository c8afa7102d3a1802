"""Rate limits of teams: a token bucket for each active team."""

import asyncio
import functools
import time

from sycamoreshed.admission import shares
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel

__all__ = ["Limits"]

STEP_INTERVAL_S = 1.0
DEMAND_SMOOTHING = 0.5
# Minimum capacity of a bucket, so that the first few requests of a team with
# a small share at this instance are not rejected.
MIN_BURST = 4.0
DEFAULT_BURST_S = 1.0
# Each instance publishes the demand of at most this many teams, those with
# the highest demand relative to their limit.  It does so when the set of teams
# changed, a demand changed by more than this fraction, or the last publication
# is this old.
MAX_PUBLISHED_TEAMS = 16
MIN_RELATIVE_CHANGE = 0.2
REPUBLISH_INTERVAL_S = 5.0
MIN_VALIDITY_S = 15.0
# Every instance receives the publications of all others.  Bytes per second
# that an instance may receive this way, and the approximate bytes of a record
# and of each team in it.
MAX_RECEIVED_BYTES_PER_S = 2000.0
RECORD_BYTES = 60
TEAM_BYTES = 24
PEAK_HALF_LIFE_S = 86400.0


class _TeamBucket:
    """Token bucket and measured demand of one active team."""

    __slots__ = (
        "refilled_at",
        "burst",
        "count",
        "demand",
        "local_share",
        "rate",
        "tokens",
    )

    def __init__(self, local_share, now):
        self.refilled_at = now
        self.burst = MIN_BURST
        self.count = 0
        self.demand = 0.0
        self.local_share = local_share
        self.rate = 0.0
        self.tokens = None

    def refill(self, now):
        """Add the tokens earned since the last refill; return the total."""
        capacity = self.capacity
        if self.tokens is None:
            self.tokens = capacity
        earned = (now - self.refilled_at) * self.rate * self.local_share
        self.tokens = min(capacity, self.tokens + earned)
        self.refilled_at = now
        return self.tokens

    @property
    def capacity(self):
        """Maximum number of tokens."""
        return max(MIN_BURST, self.burst * self.local_share)


class Limits:
    """Checks requests against the rate limits of their teams.

    Parameters
    ----------
    instance : str
    live_count : callable
        Takes the monotonic time, returns the number of live instances.
    publish : callable
        Takes demand by team, and sends it to the other instances.

    Notes
    -----
    Only teams that sent requests recently have state.  It is dropped when
    their demand is negligible and the bucket is full, since a new bucket
    would be full as well.
    """

    def __init__(self, *, instance, live_count, publish):
        self._instance = instance
        self._live_count = live_count
        self._publish = publish
        self._buckets = {}
        self._received = {}
        self._published = {}
        self._published_at = float("-inf")
        self._peak_live = 1.0
        self._stepped_at = None

    @property
    def active(self):
        """Number of teams that have state."""
        return len(self._buckets)

    def local_share(self, team):
        """Return the share of a team's limit at this instance, or None."""
        bucket = self._buckets.get(team)
        return None if bucket is None else bucket.local_share

    def check(self, team, spec, now):
        """Take a token for a request, or return a failure.

        Parameters
        ----------
        team : str
        spec : TeamSpec
        now : float
            Monotonic seconds.

        Returns
        -------
        Failure or None
        """
        bucket = self._buckets.get(team)
        if bucket is None:
            local_share = shares.local_share(
                self._demand_view(team, now, spec["rate"])
            )
            bucket = self._buckets[team] = _TeamBucket(local_share, now)
        bucket.rate = spec["rate"]
        bucket.burst = spec.get("burst", spec["rate"] * DEFAULT_BURST_S)
        bucket.count += 1
        if bucket.refill(now) >= 1.0:
            bucket.tokens -= 1.0
            return None
        wait = (1.0 - bucket.tokens) / (bucket.rate * bucket.local_share)
        return kinds.Failure(
            kinds.Kind.OVER_LIMIT,
            f"team {team!r} is over its limit",
            retry_after=wait,
        )

    def receive_demand(self, instance, value, now):
        """Store the demand published by another instance."""
        self._received[instance] = (now, value[1])

    def step(self, now):
        """Measure and publish the demand, and update the shares."""
        seconds = (
            STEP_INTERVAL_S
            if self._stepped_at is None
            else now - self._stepped_at
        )
        self._stepped_at = now
        decay = 0.5 ** (seconds / PEAK_HALF_LIFE_S)
        self._peak_live = max(self._live_count(now), self._peak_live * decay)
        self._drop_stale_state(now)
        for bucket in self._buckets.values():
            rate = bucket.count / seconds
            bucket.demand += DEMAND_SMOOTHING * (rate - bucket.demand)
            bucket.count = 0
        self._publish_demand(now)
        for team, bucket in self._buckets.items():
            # The old share applies to the time up to now.
            bucket.refill(now)
            bucket.local_share = shares.local_share(
                self._demand_view(team, now, bucket.rate)
            )

    def _drop_stale_state(self, now):
        validity_s = max(
            MIN_VALIDITY_S,
            3 * _min_interval_s(self._live_count(now), MAX_PUBLISHED_TEAMS),
        )
        for instance, (received_at, _) in list(self._received.items()):
            if now - received_at > validity_s:
                del self._received[instance]
        for team, bucket in list(self._buckets.items()):
            idle = not bucket.count and bucket.demand < bucket.rate / 1000
            if idle and bucket.refill(now) >= bucket.capacity:
                del self._buckets[team]

    def _demand_view(self, team, now, rate):
        others = [
            demand[team]
            for _, demand in self._received.values()
            if team in demand
        ]
        return shares.DemandView(
            live=self._live_count(now),
            peak_live=max(self._peak_live, self._live_count(now)),
            own=self._published.get(team, 0.0),
            others=tuple(others),
            rate=rate,
        )

    def _publish_demand(self, now):
        """Publish the demand of the most active teams, if changed or old."""
        demand = {}
        live = self._live_count(now)
        for team, bucket in self._buckets.items():
            if bucket.demand * live > shares.MIN_EVEN_FRACTION * bucket.rate:
                demand[team] = float(f"{bucket.demand:.3g}")
        if len(demand) > MAX_PUBLISHED_TEAMS:
            top = sorted(demand, key=self._demand_ratio, reverse=True)[
                :MAX_PUBLISHED_TEAMS
            ]
            demand = {team: demand[team] for team in top}
        elapsed_s = now - self._published_at
        if elapsed_s < _min_interval_s(live, len(demand)):
            return
        is_old = elapsed_s >= REPUBLISH_INTERVAL_S
        if (demand and is_old) or _has_changed(demand, self._published):
            self._published = demand
            self._published_at = now
            self._publish(demand)

    def _demand_ratio(self, team):
        bucket = self._buckets[team]
        return bucket.demand / bucket.rate


def _min_interval_s(live, teams):
    """Return the minimum seconds between two publications of an instance.

    Notes
    -----
    Without it, 410 instances that publish 16 teams every second would send
    each instance about 180 KB/s, thirty times the 6 KB/s that the control
    traffic of an instance may use, and gossip would fill the links.
    """
    return (
        live * (RECORD_BYTES + TEAM_BYTES * teams) / MAX_RECEIVED_BYTES_PER_S
    )


def _has_changed(new, old):
    if new.keys() != old.keys():
        return True
    return any(
        abs(new[key] - old[key]) > MIN_RELATIVE_CHANGE * old[key]
        for key in new
    )


@kernel.plugin("limits", needs=("gossip", "membership"))
async def limits(core):
    """Provide the rate limits of teams."""
    gossip = core.part("gossip")
    membership = core.part("membership")
    instance = core.settings.instance

    def publish(demand):
        stamp = int(time.time() * 1000)
        gossip.put(shares.TOPIC, instance, [stamp, demand])

    part = Limits(
        instance=instance,
        live_count=LiveCount(membership=membership),
        publish=publish,
    )
    gossip.on_record(shares.TOPIC, part.receive_demand)
    run_steps = functools.partial(_run_steps, part, core.clock)
    core.keep_running(run_steps, name="limits")
    yield part


async def _run_steps(part, clock):
    while True:
        await asyncio.sleep(STEP_INTERVAL_S)
        part.step(clock())


class LiveCount:
    """Number of live instances, cached for `STEP_INTERVAL_S`."""

    def __init__(self, *, membership):
        self._membership = membership
        self._expires_at = float("-inf")
        self._total = 1

    def __call__(self, now):
        """Return the number; `now` is in monotonic seconds."""
        if now >= self._expires_at:
            self._expires_at = now + STEP_INTERVAL_S
            live = self._membership.live_instances(now)
            self._total = max(1, live.total)
        return self._total
