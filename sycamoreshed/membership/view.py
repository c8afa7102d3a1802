"""One instance's view of the others: records, suspicions, heartbeats.

Within a zone an instance that does not answer is suspected; if it is alive
it refutes the suspicion with a higher generation.  Other zones are judged
as a whole by a heartbeat counter that each instance of a zone increments:
a partition between zones would otherwise cause a suspicion of every
instance behind it.
"""

from sycamoreshed.membership import members
from sycamoreshed.membership import records
from sycamoreshed.membership import topics

__all__ = ["View"]

# Members that were not alive for this long are removed, or replaced instances
# would fill the memory.  A partition between regions can last an hour and must
# not remove their members.
MEMBER_EXPIRY_S = 6 * 3600.0
# `View.alive` is called many times a second.  Scanning 410 instances takes
# most of a millisecond, and its inputs change on a scale of seconds.
ALIVE_CACHE_S = 0.25


class View:
    """Records of all topics, and the live members they imply.

    Parameters
    ----------
    settings : Settings
    generation : int
        Wall clock at the start of this process, in milliseconds.
    """

    def __init__(self, *, settings, generation):
        self._settings = settings
        self._records = records.Records()
        self._listeners = {}
        self._suspected_at = {}
        self._not_alive_since = {}
        self._heartbeats = {settings.zone: 0}
        self._heartbeat_at = {}
        self._state = members.State.LIVE
        self._generation = generation
        self._known = None
        self._alive = None
        self._alive_computed_at = 0.0
        self._publish_self()

    @property
    def own(self):
        """The `Member` entry of this instance."""
        return self.member(self._settings.instance)

    @property
    def last(self):
        """Position of the last record change."""
        return self._records.last

    @property
    def heartbeats(self):
        """Heartbeat counters by zone."""
        return self._heartbeats

    def on_record(self, topic, func, *, own=False):
        """Register a callback for changes of a topic's records.

        Parameters
        ----------
        topic : str
        func : callable
            Takes the key, the merged value and the time.
        own : bool
            Whether to call it for local changes too, not only for records
            received from peers.
        """
        self._listeners.setdefault(topic, []).append((func, own))

    def get(self, topic, key):
        """Return a record's value or None."""
        return self._records.get(topic, key)

    def entries(self, topic):
        """Return a topic's values by key; callers must not modify it."""
        return self._records.entries(topic)

    def drop(self, topic, key):
        """Remove a record locally, such as one of a withdrawn endpoint."""
        self._records.drop(topic, key)

    def since(self, base, *, same_zone, to=None):
        """Return the records that changed; see `Records.since`."""
        return self._records.since(base, same_zone=same_zone, to=to)

    def put(self, topic, key, value, now, *, via=None):
        """Merge a record; return whether it changed."""
        changed = self._records.merge(topic, key, value, via=via)
        if changed and topic == members.TOPIC:
            self._invalidate()
        if changed:
            for func, own in self._listeners.get(topic, ()):
                if own or via is not None:
                    func(key, self._records.get(topic, key), now)
        return changed

    def receive(self, topic, key, value, via, now):
        """Merge a record received from a peer.

        Returns
        -------
        bool
            Whether to forward it to other peers immediately.
        """
        if topic not in topics.TOPICS.names():
            # A peer of a newer release may send topics unknown here.
            return False
        if topic == members.TOPIC and key == self._settings.instance:
            return self._refute(value)
        is_first = self._records.get(topic, key) is None
        if not self.put(topic, key, value, now, via=via):
            return False
        if topic == members.TOPIC:
            self._record_suspicion(key, value, is_first, now)
            self._invalidate()
        return topics.TOPICS.get(topic).urgent

    def leave(self):
        """Announce that this instance is leaving; this is final."""
        self._state = members.State.LEAVING
        self._publish_self()

    def suspect(self, name, now):
        """Suspect a live instance of the own zone.

        Returns
        -------
        bool
            Whether its record changed.  Between zones the link may have
            failed instead, so instances of other zones are never
            suspected.
        """
        member = self.member(name)
        if member is None or member.zone != self._settings.zone:
            return False
        if member.state != members.State.LIVE:
            return False
        value = list(member[:5])
        value[1] = int(members.State.SUSPECT)
        self._suspected_at[name] = now
        return self.put(members.TOPIC, name, value, now)

    def increment_heartbeat(self):
        """Increment the heartbeat counter of the own zone."""
        self._heartbeats[self._settings.zone] += 1

    def merge_heartbeats(self, heartbeats, now):
        """Merge a peer's heartbeat counters by zone."""
        for zone, counter in heartbeats.items():
            if counter > self._heartbeats.get(zone, -1):
                self._heartbeats[zone] = counter
                if zone not in self._heartbeat_at:
                    self._alive = None
                self._heartbeat_at[zone] = now

    def member(self, name):
        """Return a `Member` or None."""
        value = self._records.get(members.TOPIC, name)
        return None if value is None else members.Member(*value, name=name)

    def known(self):
        """Return all members that have a record, alive or not."""
        if self._known is None:
            entries = self._records.entries(members.TOPIC)
            self._known = [
                members.Member(*value, name=name)
                for name, value in entries.items()
            ]
        return self._known

    def alive(self, now):
        """Return the live members, including the own one.

        Notes
        -----
        The result is cached for up to `ALIVE_CACHE_S`, or until a member
        record changes or a zone's first heartbeat arrives.
        """
        if (
            self._alive is None
            or now - self._alive_computed_at > ALIVE_CACHE_S
        ):
            self._alive_computed_at = now
            self._alive = members.alive(
                self.known(),
                suspected_at=self._suspected_at,
                heartbeat_at=self._heartbeat_at,
                own_zone=self._settings.zone,
                now=now,
            )
        return self._alive

    def alive_in_zone(self, now):
        """Return the live members of the own zone."""
        zone = self._settings.zone
        return [item for item in self.alive(now) if item.zone == zone]

    def partners(self, now, *, avoid):
        """Return the names of the peers to exchange messages with."""
        own = self.own
        remote = [
            item
            for item in self.known()
            if item.zone != own.zone and item.state == members.State.LIVE
        ]
        return members.partners(
            own, self.alive_in_zone(now), remote, avoid=avoid
        )

    def unreachable_zones(self, now):
        """Return the other zones that sent heartbeats but have stopped."""
        return {
            zone
            for zone, heartbeat_at in self._heartbeat_at.items()
            if zone != self._settings.zone
            and now - heartbeat_at > members.ZONE_TIMEOUT_S
        }

    def expire(self, now):
        """Remove members not alive for `MEMBER_EXPIRY_S`; return names."""
        alive = {item.name for item in self.alive(now)}
        expired = []
        for name in [item.name for item in self.known()]:
            if name in alive:
                self._not_alive_since.pop(name, None)
                continue
            since = self._not_alive_since.setdefault(name, now)
            if now - since > MEMBER_EXPIRY_S:
                self._records.drop(members.TOPIC, name)
                self._invalidate()
                del self._not_alive_since[name]
                expired.append(name)
        return expired

    def _publish_self(self):
        settings = self._settings
        value = [
            self._generation,
            int(self._state),
            settings.advertise,
            settings.zone,
            settings.region,
        ]
        self._records.merge(members.TOPIC, settings.instance, value)
        self._invalidate()

    def _invalidate(self):
        self._known = None
        self._alive = None

    def _refute(self, value):
        """Refute a wrong record of this instance with a higher generation."""
        stored = self._records.get(members.TOPIC, self._settings.instance)
        if value[0] < stored[0] or value == stored:
            return False
        self._generation = value[0] + 1
        self._publish_self()
        return True

    def _record_suspicion(self, name, value, is_first, now):
        if value[1] != members.State.SUSPECT:
            self._suspected_at.pop(name, None)
        elif is_first:
            # The suspicion predates this first record of the member, so
            # the member has already had the time to refute it.
            self._suspected_at[name] = now - members.SUSPICION_TIMEOUT_S
        else:
            self._suspected_at[name] = now
