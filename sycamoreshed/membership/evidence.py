"""Evidence about endpoints: own calls, and what peers of the zone saw."""

import time

from sycamoreshed.membership import health
from sycamoreshed.membership import topics

__all__ = ["Evidence"]

DOWN = "endpoint-down"
TALLY = "endpoint-tally"
TELL_S = 2.0
CHECK_S = 0.25
# A success of our own this recent outweighs what a peer says.
FRESH_S = 3.0


@topics.topic(DOWN, zone_only=True, urgent=True)
def merge_down(held, came):
    """Keep the newest word: wall clock (ms), observer, 1 if down."""
    return topics.newest(held, came)


@topics.topic(TALLY, zone_only=True)
def merge_tally(held, came):
    """Keep the newest of an observer's tallies: wall clock, calls, bad."""
    return topics.newest(held, came)


class Evidence:
    """Health of endpoints as this instance holds it.

    Parameters
    ----------
    gossip : Gossip
    instance : str
    log : DecisionLog
    wall : callable, optional
        Returns the wall clock in seconds; orders an observer's own words.
    """

    def __init__(self, *, gossip, instance, log, wall=time.time):
        self._gossip = gossip
        self._instance = instance
        self._log = log
        self._wall = wall
        self._records = {}
        self._peers = {}
        self._told = {}
        self._checked = {}
        self._good = {}
        self._out = set()
        gossip.on_record(DOWN, self._hear_down)
        gossip.on_record(TALLY, self._hear_tally)

    @property
    def out(self):
        """Names of ejected endpoints, those on trial among them."""
        return self._out

    @property
    def records(self):
        """`Record` by endpoint name."""
        return self._records

    def outcome(self, endpoint, peers, *, ok, seconds, now):
        """Take in the outcome of one call.

        Parameters
        ----------
        endpoint : Endpoint
        peers : list of str
            Names of the service's endpoints.
        ok : bool
        seconds : float or None
        now : float
        """
        name = endpoint.name
        record = self._records.get(name, health.Record())
        times = [
            self._records[item].seconds
            for item in peers
            if item != name and item in self._records
        ]
        times = [item for item in times if item is not None]
        slow = ok and health.is_slow(seconds, times)
        if record.until is not None:
            if now >= record.until:
                self._end_trial(name, record, now, ok=ok and not slow)
            return
        record = health.add(record, now, ok=ok, seconds=seconds, slow=slow)
        self._set(name, record)
        if ok and not slow:
            self._good[name] = now
            return
        self._tell(name, record, now)
        if record.row >= health.IN_A_ROW:
            self.eject(name, "failures in a row", now)
            self.tell_down(name, True)
        elif self._is_gray(name, peers, now):
            self.eject(name, "out of line with the rest", now)

    def eject(self, name, why, now):
        """Eject an endpoint unless it is out already; log why."""
        record = self._records.get(name, health.Record())
        if record.until is None:
            record = health.eject(record, now)
            self._set(name, record)
            self._write(name, record, why, now)

    def may_use(self, name, now):
        """Return whether an ejected endpoint is due for a trial call."""
        return health.may_try(self._records[name], now)

    def begin_trial(self, name, now):
        """Hold further trial calls back for a while."""
        record = self._records[name]
        self._set(name, record._replace(next_trial=now + health.TRIAL_S))

    def tell_down(self, name, down):
        """Tell the zone that an endpoint does not answer, or does again."""
        held = self._gossip.get(DOWN, name)
        if bool(held and held[2]) != down:
            value = [int(self._wall() * 1000), self._instance, int(down)]
            self._gossip.put(DOWN, name, value)

    def forget(self, names):
        """Forget endpoints that are not in the configuration any more."""
        for name in list(self._records):
            if name not in names:
                del self._records[name]
                self._out.discard(name)
                self._good.pop(name, None)
                self._told.pop(name, None)
                self._checked.pop(name, None)
                self._gossip.view.drop(DOWN, name)
        for name in list(self._peers):
            if name not in names:
                del self._peers[name]

    def _end_trial(self, name, record, now, *, ok):
        record = health.tried(record, now, ok=ok)
        self._set(name, record)
        if record.until is None:
            self._write(name, record, "trial calls went well", now)
            self.tell_down(name, False)

    def _write(self, name, record, why, now):
        self._log.write(
            now,
            "return" if record.until is None else "eject",
            endpoint=name,
            choice=record.level,
            why=why,
        )

    def _set(self, name, record):
        self._records[name] = record
        if record.until is None:
            self._out.discard(name)
        else:
            self._out.add(name)

    def _tell(self, name, record, now):
        """Tell the tally of an endpoint with bad calls, now and then."""
        if now - self._told.get(name, -TELL_S) < TELL_S:
            return
        self._told[name] = now
        tally = record.tally
        value = [
            int(self._wall() * 1000),
            round(tally.calls, 1),
            round(tally.bad, 1),
        ]
        self._gossip.put(TALLY, f"{name}|{self._instance}", value)

    def _hear_down(self, name, value, now):
        down = bool(value[2])
        own_word = now - self._good.get(name, -FRESH_S) < FRESH_S
        if down and not own_word:
            self.eject(name, f"told by {value[1]}", now)

    def _hear_tally(self, key, value, now):
        name, _, observer = key.rpartition("|")
        tally = health.Tally(value[1], value[2], now)
        self._peers.setdefault(name, {})[observer] = tally

    def _is_gray(self, name, peers, now):
        # Looks at all endpoints of the service, so not for each bad call.
        if now - self._checked.get(name, -CHECK_S) < CHECK_S:
            return False
        self._checked[name] = now
        instances = len(self._gossip.view.alive_in_zone(now))
        tally = self._pooled(name, instances, now)
        rest = [
            self._pooled(item, instances, now)
            for item in peers
            if item != name
        ]
        together = health.Tally(
            sum(item.calls for item in rest),
            sum(item.bad for item in rest),
            now,
        )
        return health.is_gray(tally, together)

    def _pooled(self, name, instances, now):
        own = self._records.get(name, health.Record()).tally
        others = self._peers.get(name, {}).values()
        return health.pooled(own, others, instances, now)
