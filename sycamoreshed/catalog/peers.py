"""Registered instances, and which of them answer."""

import random
import typing

from sycamoreshed.kernel import kernel

__all__ = ["PeerDirectory"]

# A peer that did not answer is skipped for this time, which doubles with each
# failure up to the maximum; a row with a new boot time ends it.  The minimum
# is short enough that an instance restarted within one or two seconds is used
# again soon, and long enough that trying it does not delay calls.
MIN_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0
# Maximum number of peers of other zones, or seeds, in a sample.
MAX_REMOTE_PEERS = 2
# A peer is presumed dead, and its row removed, when the time from its first
# failure to the next retry reaches this.  A live instance writes its row again
# within seconds.  Longer than a restart (a few seconds) and than most network
# partitions.
DEAD_AFTER_S = 30.0


# Minimum cores of an eligible instance, as a share of those of the zone's
# largest available instance.
MIN_CORES_SHARE = 0.5


class _Backoff(typing.NamedTuple):
    failed_since: float
    retry_at: float
    backoff_s: float
    boot: int


class _Candidate(typing.NamedTuple):
    control: str
    cores: float


class PeerDirectory:
    """Finds available instances by zone, skipping those that failed.

    Parameters
    ----------
    catalog : Catalog
    own : str
        Name of this instance.
    zone : str
    seeds : iterable of str
        Control addresses from the settings; may be stale.
    control : str
        Own control address.
    journal : Journal
    cores : float
        Processor time that this instance may use, in cores.
    rng : random.Random, optional
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
        rng=None,
    ):
        self._catalog = catalog
        self._own = own
        self._zone = zone
        self._control = control
        self._journal = journal
        self._cores = cores
        self._rng = rng or random.Random()
        self._backoffs = {}
        self._answer_count = 0
        self.seeds = tuple(seeds)
        self.is_draining = False

    @property
    def answer_count(self):
        """Number of answers of other instances so far."""
        return self._answer_count

    def sample(self, now):
        """Return control addresses to try in turn, the own zone first."""
        local, remote = [], []
        for peer in self._catalog.peers.values():
            if peer.name == self._own or self._is_unavailable(peer, now):
                continue
            (local if peer.zone == self._zone else remote).append(peer.control)
        known = {*local, *remote, self._control}
        remote += [
            seed
            for seed in self.seeds
            if seed not in known and not self.is_avoided(seed, now)
        ]
        self._rng.shuffle(local)
        self._rng.shuffle(remote)
        # Includes other zones: the store may reject the entire zone of this
        # instance.
        return local[:1] + remote[:MAX_REMOTE_PEERS]

    def of_zone(self, zone, now):
        """Return control addresses of a zone's available instances by name.

        Includes this instance if it is in that zone and not draining.
        """
        return {
            name: each.control for name, each in self._available(zone, now)
        }

    def eligible(self, zone, now):
        """Return instances that may read the store or run stages for others.

        Selected from the instances of `of_zone`, in the same form.  Much
        smaller instances are excluded: they would slow down the entire zone.
        """
        candidates = self._available(zone, now)
        largest = max((each.cores for _, each in candidates), default=0.0)
        return {
            name: each.control
            for name, each in candidates
            if each.cores >= MIN_CORES_SHARE * largest
        }

    def zones(self):
        """Return the zones of all registered instances and of this one."""
        registered = {peer.zone for peer in self._catalog.peers.values()}
        return registered | {self._zone}

    def random_other(self, now, rng):
        """Return the control address of a random other available instance.

        Returns
        -------
        str or None
            None if no other instance is available.
        """
        others = [
            peer.control
            for peer in self._catalog.peers.values()
            if peer.name != self._own and not self._is_unavailable(peer, now)
        ]
        return rng.choice(others) if others else None

    def size(self, zone):
        """Return the number of registered instances of a zone."""
        return sum(peer.zone == zone for peer in self._catalog.peers.values())

    def _available(self, zone, now):
        candidates = [
            (peer.name, _Candidate(peer.control, peer.cores))
            for peer in self._catalog.peers.values()
            if peer.zone == zone
            and peer.name != self._own
            and not self._is_unavailable(peer, now)
        ]
        if zone == self._zone and not self.is_draining:
            candidates.append(
                (self._own, _Candidate(self._control, self._cores))
            )
        return candidates

    def count(self):
        """Return the number of registered instances, at least one."""
        return max(1, len(self._catalog.peers))

    def dead(self):
        """Return the names of registered peers that are presumed dead."""
        return [
            peer.name
            for peer in self._catalog.peers.values()
            if self._is_dead(peer)
        ]

    def _is_dead(self, peer):
        backoff = self._backoffs.get(peer.control)
        if backoff is None or backoff.boot != peer.boot:
            return False
        return backoff.retry_at - backoff.failed_since >= DEAD_AFTER_S

    def _is_unavailable(self, peer, now):
        backoff = self._backoffs.get(peer.control)
        if backoff is not None and backoff.boot != peer.boot:
            # The peer has restarted since it failed.
            del self._backoffs[peer.control]
        return peer.is_draining or self.is_avoided(peer.control, now)

    def is_avoided(self, control, now):
        """Return whether a peer is skipped after a failure."""
        backoff = self._backoffs.get(control)
        return backoff is not None and now < backoff.retry_at

    def record_failure(self, control, now, why):
        """Skip a peer that did not answer, for a growing time."""
        backoff = self._backoffs.get(control)
        failed_since, backoff_s = now, MIN_BACKOFF_S
        if backoff is not None:
            if now < backoff.retry_at:
                return
            failed_since = backoff.failed_since
            backoff_s = min(MAX_BACKOFF_S, backoff.backoff_s * 2)
        boot = self._boot(control)
        self._backoffs[control] = _Backoff(
            failed_since, now + backoff_s, backoff_s, boot
        )
        self._journal.write(
            "peer_lost", peer=control, why=why, for_s=backoff_s
        )

    def _boot(self, control):
        for peer in self._catalog.peers.values():
            if peer.control == control:
                return peer.boot
        return 0

    def record_success(self, control):
        """Clear the failures of a peer that answered."""
        self._answer_count += 1
        if self._backoffs.pop(control, None) is not None:
            self._journal.write("peer_met", peer=control)


@kernel.plugin("peers", needs=("catalog", "journal"))
async def peers(core):
    """Provide the directory of peers."""
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
