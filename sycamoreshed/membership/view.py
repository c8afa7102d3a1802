"""What one instance knows of the others: records, suspicions, beats.

Within a zone an instance that does not answer is suspected, and objects
with a higher generation if it lives.  Other zones are judged as a whole
by a counter that each instance of a zone raises: a cut between zones
would otherwise raise a suspicion against every instance behind it.
"""

from sycamoreshed.membership import members
from sycamoreshed.membership import records
from sycamoreshed.membership import topics

__all__ = ["View"]

# Members long out of reach are forgotten, or replaced instances would
# fill the memory; long, since regions lose each other for an hour.
FORGET_S = 6 * 3600.0
# Who is alive is asked many times a second; to go through 410 instances
# takes most of a millisecond, and what it depends on moves by seconds.
ALIVE_S = 0.25


class View:
    """Records of all topics, and who is alive by them.

    Parameters
    ----------
    settings : Settings
    generation : int
        Milliseconds of the wall clock at the start.
    """

    def __init__(self, *, settings, generation):
        self._settings = settings
        self._records = records.Records()
        self._listeners = {}
        self._suspected = {}
        self._gone = {}
        self._beats = {settings.zone: 0}
        self._heard = {}
        self._state = members.State.LIVE
        self._generation = generation
        self._known = None
        self._alive = None
        self._alive_at = 0.0
        self._tell_self()

    @property
    def own(self):
        """The own `Member` entry."""
        return self.member(self._settings.instance)

    @property
    def last(self):
        """Position of the last change of a record."""
        return self._records.last

    @property
    def beats(self):
        """Counters by zone."""
        return self._beats

    def on_record(self, topic, func, *, own=False):
        """Call a function with key, value and time of each change.

        Parameters
        ----------
        topic : str
        func : callable
        own : bool
            Whether for records put here too, not just those that come.
        """
        self._listeners.setdefault(topic, []).append((func, own))

    def get(self, topic, key):
        """Return a record's value or None."""
        return self._records.get(topic, key)

    def entries(self, topic):
        """Return a topic's values by key; not to be changed."""
        return self._records.entries(topic)

    def drop(self, topic, key):
        """Forget a record here, such as one of a withdrawn endpoint."""
        self._records.drop(topic, key)

    def since(self, base, *, same_zone, to=None):
        """Return what changed; see `Records.since`."""
        return self._records.since(base, same_zone=same_zone, to=to)

    def put(self, topic, key, value, now, *, via=None):
        """Merge a record; return whether it was new."""
        changed = self._records.merge(topic, key, value, via=via)
        if changed and topic == members.TOPIC:
            self._changed()
        if changed:
            for func, own in self._listeners.get(topic, ()):
                if own or via is not None:
                    func(key, self._records.get(topic, key), now)
        return changed

    def receive(self, topic, key, value, via, now):
        """Take in a record of a peer.

        Returns
        -------
        bool
            Whether others should hear of it at once.
        """
        if topic not in topics.TOPICS.names():
            # A newer release may tell what this one does not know.
            return False
        if topic == members.TOPIC and key == self._settings.instance:
            return self._object(value)
        first = self._records.get(topic, key) is None
        if not self.put(topic, key, value, now, via=via):
            return False
        if topic == members.TOPIC:
            self._note_suspicion(key, value, first, now)
            self._changed()
        return topics.TOPICS.get(topic).urgent

    def leave(self):
        """Tell that this instance is leaving; it stays so."""
        self._state = members.State.LEAVING
        self._tell_self()

    def suspect(self, name, now):
        """Suspect a live instance of the own zone.

        Returns
        -------
        bool
            Whether that is news.  Between zones it may be the link that
            failed, so instances of other zones are never suspected.
        """
        member = self.member(name)
        if member is None or member.zone != self._settings.zone:
            return False
        if member.state != members.State.LIVE:
            return False
        value = list(member[:5])
        value[1] = int(members.State.SUSPECT)
        self._suspected[name] = now
        return self.put(members.TOPIC, name, value, now)

    def beat(self):
        """Raise the counter of the own zone."""
        self._beats[self._settings.zone] += 1

    def merge_heartbeats(self, beats, now):
        """Take in a peer's counters."""
        for zone, beat in beats.items():
            if beat > self._beats.get(zone, -1):
                self._beats[zone] = beat
                if zone not in self._heard:
                    self._alive = None
                self._heard[zone] = now

    def member(self, name):
        """Return a `Member` or None."""
        value = self._records.get(members.TOPIC, name)
        return None if value is None else members.Member(*value, name=name)

    def known(self):
        """Return all members ever heard of and not forgotten."""
        if self._known is None:
            entries = self._records.entries(members.TOPIC)
            self._known = [
                members.Member(*value, name=name)
                for name, value in entries.items()
            ]
        return self._known

    def alive(self, now):
        """Return the live members, the own one among them.

        Notes
        -----
        As of at most `ALIVE_S` ago, or of the last change.
        """
        if self._alive is None or now - self._alive_at > ALIVE_S:
            self._alive_at = now
            self._alive = members.alive(
                self.known(),
                suspected=self._suspected,
                beats=self._heard,
                own_zone=self._settings.zone,
                now=now,
            )
        return self._alive

    def alive_in_zone(self, now):
        """Return the live members of the own zone."""
        zone = self._settings.zone
        return [item for item in self.alive(now) if item.zone == zone]

    def partners(self, now, *, avoid):
        """Return the names to exchange messages with."""
        own = self.own
        far = [
            item
            for item in self.known()
            if item.zone != own.zone and item.state == members.State.LIVE
        ]
        return members.partners(own, self.alive_in_zone(now), far, avoid=avoid)

    def lost_zones(self, now):
        """Return the zones that were heard of once and are silent now."""
        return {
            zone
            for zone, heard in self._heard.items()
            if zone != self._settings.zone and now - heard > members.ZONE_S
        }

    def forget(self, now):
        """Forget members long out of reach; return their names."""
        alive = {item.name for item in self.alive(now)}
        forgotten = []
        for name in [item.name for item in self.known()]:
            if name in alive:
                self._gone.pop(name, None)
                continue
            since = self._gone.setdefault(name, now)
            if now - since > FORGET_S:
                self._records.drop(members.TOPIC, name)
                self._changed()
                del self._gone[name]
                forgotten.append(name)
        return forgotten

    def _tell_self(self):
        settings = self._settings
        value = [
            self._generation,
            int(self._state),
            settings.advertise,
            settings.zone,
            settings.region,
        ]
        self._records.merge(members.TOPIC, settings.instance, value)
        self._changed()

    def _changed(self):
        self._known = None
        self._alive = None

    def _object(self, value):
        """Raise the own generation over what is wrongly said of us."""
        held = self._records.get(members.TOPIC, self._settings.instance)
        if value[0] < held[0] or value == held:
            return False
        self._generation = value[0] + 1
        self._tell_self()
        return True

    def _note_suspicion(self, name, value, first, now):
        if value[1] != members.State.SUSPECT:
            self._suspected.pop(name, None)
        elif first:
            # Suspected before we heard of it: it had its time to object.
            self._suspected[name] = now - members.SUSPECT_S
        else:
            self._suspected[name] = now
