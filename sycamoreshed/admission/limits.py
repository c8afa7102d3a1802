"""Limits of teams: a token bucket for each active team."""

import asyncio
import time

from sycamoreshed.admission import shares
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel

__all__ = ["Limits"]

ROUND_S = 1.0
DEMAND_WEIGHT = 0.5
# A bucket holds at least this many, so that a team with a small part
# here is not refused its first few requests.
LEAST_BURST = 4.0
DEFAULT_BURST_S = 1.0
# What is told: the hottest teams, again when changed by this much or as
# old as that.
MOST_TOLD = 16
CHANGE = 0.2
TELL_AGAIN_S = 5.0
TOLD_VALID_S = 15.0
# Everybody hears what everybody tells; bytes a second that this may cost
# an instance, and about how many a record and a team in it take.
HEARD_BYTES = 2000.0
RECORD_BYTES = 60
TEAM_BYTES = 24
MOST_HALF_LIFE_S = 86400.0


class _Bucket:
    """State of one active team."""

    __slots__ = ("at", "burst", "count", "demand", "part", "rate", "tokens")

    def __init__(self, part, now):
        self.at = now
        self.burst = LEAST_BURST
        self.count = 0
        self.demand = 0.0
        self.part = part
        self.rate = 0.0
        self.tokens = None

    def refill(self, now):
        """Add what has become due; return the tokens."""
        size = self.size
        if self.tokens is None:
            self.tokens = size
        due = (now - self.at) * self.rate * self.part
        self.tokens = min(size, self.tokens + due)
        self.at = now
        return self.tokens

    @property
    def size(self):
        """Tokens the bucket holds at most."""
        return max(LEAST_BURST, self.burst * self.part)


class Limits:
    """Checks requests against their teams' limits.

    Parameters
    ----------
    instance : str
    live_count : callable
        Takes monotonic seconds, returns the number of live instances.
    publish : callable
        Takes demand by team, to spread to the other instances.

    Notes
    -----
    Only teams that sent lately have state; it goes when the bucket is
    full again, since a new one would be the same.
    """

    def __init__(self, *, instance, live_count, publish):
        self._instance = instance
        self._live_count = live_count
        self._publish = publish
        self._buckets = {}
        self._heard = {}
        self._told = {}
        self._told_at = float("-inf")
        self._most = 1.0
        self._stepped = None

    @property
    def active(self):
        """Number of teams that state is held for."""
        return len(self._buckets)

    def part(self, team):
        """Return the part of a team's limit that is used here."""
        bucket = self._buckets.get(team)
        return None if bucket is None else bucket.part

    def check(self, team, spec, now):
        """Take a token for a request; return a failure if there is none.

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
            part = shares.part(self._view(team, now, spec["rate"]))
            bucket = self._buckets[team] = _Bucket(part, now)
        bucket.rate = spec["rate"]
        bucket.burst = spec.get("burst", spec["rate"] * DEFAULT_BURST_S)
        bucket.count += 1
        if bucket.refill(now) >= 1.0:
            bucket.tokens -= 1.0
            return None
        wait = (1.0 - bucket.tokens) / (bucket.rate * bucket.part)
        return kinds.Failure(
            kinds.Kind.OVER_LIMIT,
            f"team {team!r} is over its limit",
            retry_after=wait,
        )

    def hear(self, instance, value, now):
        """Take in what another instance told."""
        self._heard[instance] = (now, value[1])

    def step(self, now):
        """Measure demand, tell it, and work out the parts anew."""
        seconds = ROUND_S if self._stepped is None else now - self._stepped
        self._stepped = now
        fade = 0.5 ** (seconds / MOST_HALF_LIFE_S)
        self._most = max(self._live_count(now), self._most * fade)
        self._drop_old(now)
        for bucket in self._buckets.values():
            rate = bucket.count / seconds
            bucket.demand += DEMAND_WEIGHT * (rate - bucket.demand)
            bucket.count = 0
        self._tell_demand(now)
        for team, bucket in self._buckets.items():
            # Up to now the old part was in force.
            bucket.refill(now)
            bucket.part = shares.part(self._view(team, now, bucket.rate))

    def _drop_old(self, now):
        valid = max(
            TOLD_VALID_S, 3 * _interval(self._live_count(now), MOST_TOLD)
        )
        for instance, (at, _) in list(self._heard.items()):
            if now - at > valid:
                del self._heard[instance]
        for team, bucket in list(self._buckets.items()):
            idle = not bucket.count and bucket.demand < bucket.rate / 1000
            if idle and bucket.refill(now) >= bucket.size:
                del self._buckets[team]

    def _view(self, team, now, rate):
        others = [
            told[team] for _, told in self._heard.values() if team in told
        ]
        return shares.View(
            live=self._live_count(now),
            most=max(self._most, self._live_count(now)),
            own=self._told.get(team, 0.0),
            others=tuple(others),
            rate=rate,
        )

    def _tell_demand(self, now):
        """Tell the demand of teams that need more than the even floor."""
        hot = {}
        live = self._live_count(now)
        for team, bucket in self._buckets.items():
            if bucket.demand * live > shares.FLOOR * bucket.rate:
                hot[team] = float(f"{bucket.demand:.3g}")
        if len(hot) > MOST_TOLD:
            top = sorted(hot, key=self._pressure, reverse=True)[:MOST_TOLD]
            hot = {team: hot[team] for team in top}
        since = now - self._told_at
        if since < _interval(live, len(hot)):
            return
        old = since >= TELL_AGAIN_S
        if (hot and old) or _differs(hot, self._told):
            self._told = hot
            self._told_at = now
            self._publish(hot)

    def _pressure(self, team):
        bucket = self._buckets[team]
        return bucket.demand / bucket.rate


def _interval(live, teams):
    """Return the least seconds between two tellings of one instance.

    Notes
    -----
    Without it 410 instances that tell 16 teams each at every change would
    have each instance hear some 180 KB/s, thirty times what control may
    cost; the links would be seen full of gossip.
    """
    return live * (RECORD_BYTES + TEAM_BYTES * teams) / HEARD_BYTES


def _differs(new, old):
    if new.keys() != old.keys():
        return True
    return any(abs(new[key] - old[key]) > CHANGE * old[key] for key in new)


@kernel.plugin("limits", needs=("gossip", "membership"))
async def limits(core):
    """Provide the limits of teams."""
    gossip = core.part("gossip")
    membership = core.part("membership")
    instance = core.settings.instance

    def tell(demand):
        stamp = int(time.time() * 1000)
        gossip.put(shares.TOPIC, instance, [stamp, demand])

    part = Limits(
        instance=instance,
        live_count=LiveCount(membership=membership),
        publish=tell,
    )
    gossip.on_record(shares.TOPIC, part.hear)
    core.spawn(_keep(part, core.clock), name="limits")
    yield part


async def _keep(part, clock):
    while True:
        await asyncio.sleep(ROUND_S)
        part.step(clock())


class LiveCount:
    """The number of live instances, counted anew once a second."""

    def __init__(self, *, membership):
        self._membership = membership
        self._until = float("-inf")
        self._total = 1

    def __call__(self, now):
        """Return the count; `now` in monotonic seconds."""
        if now >= self._until:
            self._until = now + ROUND_S
            live = self._membership.live_instances(now)
            self._total = max(1, live.total)
        return self._total
