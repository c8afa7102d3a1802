"""Which other instances there are, and which of them answer."""

import random
import typing

from sycamoreshed.kernel import kernel

__all__ = ["PeerDirectory"]

# A peer that did not answer is left alone that long; doubles each time up
# to the longest.  Short enough that an instance restarted within a second
# or two takes part again, long enough that calls are not held up by it.
AVOID_S = 1.0
LONGEST_AVOID_S = 8.0
# Peers that are asked in turn, when one is needed at once.
ASKED_AT_ONCE = 2
# A peer that has not answered for so long is gone for good, and its row is
# removed; one that lives writes it again within seconds.  Longer than a
# restart takes (a few seconds) and than most cuts last.
GONE_S = 30.0


# Of the processor time of the largest instance of a zone.
ELIGIBLE_SHARE = 0.5


class _Lost(typing.NamedTuple):
    since: float
    until: float
    for_s: float
    boot: int


class _Reached(typing.NamedTuple):
    control: str
    cores: float


class PeerDirectory:
    """The other instances, by zone, without those that do not answer.

    Parameters
    ----------
    catalog : Catalog
    own : str
        Name of this instance.
    zone : str
    seeds : iterable of str
        Control addresses that the settings name; may be stale.
    control : str
        Own control address.
    journal : Journal
    cores : float
        Processor time that this instance may use, in cores.
    choose : random.Random, optional
    """

    def __init__(
        self,
        *,
        catalog,
        own,
        zone,
        seeds,
        control,
        journal,
        cores=0.0,
        choose=None,
    ):
        self._catalog = catalog
        self._own = own
        self._zone = zone
        self._control = control
        self._journal = journal
        self._cores = cores
        self._choose = choose or random.Random()
        self._lost = {}
        self.seeds = tuple(seeds)
        self.is_draining = False

    def sample(self, now):
        """Return a few control addresses to ask, the nearest first."""
        near, far = [], []
        for peer in self._catalog.peers.values():
            if peer.name == self._own or self._is_away(peer, now):
                continue
            (near if peer.zone == self._zone else far).append(peer.control)
        known = {*near, *far, self._control}
        far += [
            seed
            for seed in self.seeds
            if seed not in known and not self.is_lost(seed, now)
        ]
        self._choose.shuffle(near)
        self._choose.shuffle(far)
        # One of another zone as well: what turned this instance away may
        # have turned away all of its zone.
        return near[:1] + far[:ASKED_AT_ONCE]

    def of_zone(self, zone, now):
        """Return names and control addresses of a zone's instances.

        This instance is among them if it is of that zone.
        """
        return {name: each.control for name, each in self._at(zone, now)}

    def eligible(self, zone, now):
        """Return those of a zone's instances that may work for the others.

        Much smaller instances are left out: they would slow down the whole
        zone.
        """
        found = self._at(zone, now)
        largest = max((each.cores for _, each in found), default=0.0)
        return {
            name: each.control
            for name, each in found
            if each.cores >= ELIGIBLE_SHARE * largest
        }

    def size(self, zone):
        """Return how many instances of a zone are registered."""
        return sum(peer.zone == zone for peer in self._catalog.peers.values())

    def _at(self, zone, now):
        found = [
            (peer.name, _Reached(peer.control, peer.cores))
            for peer in self._catalog.peers.values()
            if peer.zone == zone
            and peer.name != self._own
            and not self._is_away(peer, now)
        ]
        if zone == self._zone and not self.is_draining:
            found.append((self._own, _Reached(self._control, self._cores)))
        return found

    def count(self):
        """Return how many instances are registered, at least one."""
        return max(1, len(self._catalog.peers))

    def gone(self):
        """Return the names of registered peers that are gone for good."""
        return [
            peer.name
            for peer in self._catalog.peers.values()
            if self._is_gone(peer)
        ]

    def _is_gone(self, peer):
        held = self._lost.get(peer.control)
        if held is None or held.boot != peer.boot:
            return False
        return held.until - held.since >= GONE_S

    def _is_away(self, peer, now):
        held = self._lost.get(peer.control)
        if held is not None and held.boot != peer.boot:
            # It was started again since it did not answer.
            del self._lost[peer.control]
        return peer.is_draining or self.is_lost(peer.control, now)

    def is_lost(self, control, now):
        """Return whether a peer is left alone for now."""
        held = self._lost.get(control)
        return held is not None and now < held.until

    def record_failure(self, control, now, why):
        """Leave a peer alone that did not answer."""
        held = self._lost.get(control)
        since, for_s = now, AVOID_S
        if held is not None:
            if now < held.until:
                return
            since = held.since
            for_s = min(LONGEST_AVOID_S, held.for_s * 2)
        boot = self._boot(control)
        self._lost[control] = _Lost(since, now + for_s, for_s, boot)
        self._journal.write("peer_lost", peer=control, why=why, for_s=for_s)

    def _boot(self, control):
        for peer in self._catalog.peers.values():
            if peer.control == control:
                return peer.boot
        return 0

    def record_success(self, control):
        """Note that a peer answered."""
        if self._lost.pop(control, None) is not None:
            self._journal.write("peer_met", peer=control)


@kernel.plugin("peers", needs=("catalog", "journal"))
async def peers(core):
    """Provide the book of peers."""
    settings = core.settings
    yield PeerDirectory(
        catalog=core.part("catalog"),
        own=settings.instance,
        zone=settings.zone,
        seeds=settings.peers,
        control=settings.control,
        journal=core.part("journal"),
        cores=settings.cores,
    )
