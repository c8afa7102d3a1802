"""Selection of the instances that know what began a stream."""

import itertools

from sycamoreshed.membership import rendezvous

__all__ = ["GROUP_SIZE", "Holders", "majority", "order"]

# Instances that are to know what began a stream.
GROUP_SIZE = 3
# Streams are spread over this many orders of the instances, which are computed
# once for each list of instances.
BUCKETS = 256


def order(bucket, peers):
    """Return the instances that hold the origins of a bucket's streams.

    The first few of them hold them.  All instances with the same list of peers
    compute the same order, and one that joins or leaves moves few buckets.
    As many zones as there are come before a second instance of any, so that
    the loss of a zone costs one of the copies.

    Parameters
    ----------
    bucket : int
    peers : dict of str to Peer
        Registered instances by name.

    Returns
    -------
    list of str
        Names of all peers that do not leave.

    Examples
    --------
    >>> from sycamoreshed.catalog import catalog
    >>> peers = {
    ...     name: catalog.Peer(name, zone, name)
    ...     for name, zone in [("a", "x"), ("b", "x"), ("c", "y")]
    ... }
    >>> sorted(peers[name].zone for name in order(7, peers)[:2])
    ['x', 'y']
    """
    by_zone = {}
    for name, peer in peers.items():
        if not peer.is_draining:
            by_zone.setdefault(peer.zone, []).append(name)
    key = f"streams {bucket}"
    ranked = [
        rendezvous.top(key, by_zone[zone], len(by_zone[zone]))
        for zone in rendezvous.top(key, by_zone, len(by_zone))
    ]
    return [
        name
        for same_rank in itertools.zip_longest(*ranked)
        for name in same_rank
        if name is not None
    ]


def majority(group):
    """Return how many of a group are more than half of it.

    Examples
    --------
    >>> majority("abc"), majority("ab"), majority("a")
    (2, 2, 1)
    """
    return len(group) // 2 + 1


class Holders:
    """Control addresses of the instances that hold the origins of streams.

    Parameters
    ----------
    own : str
        Name of this instance.
    catalog : Catalog
    """

    def __init__(self, *, own, catalog):
        self._own = own
        self._catalog = catalog
        self._peers = None
        self._orders = {}

    def of(self, stream):
        """Return name and control address of all others, in order.

        Returns
        -------
        list of (str, str)
        """
        return [each for each in self._order(stream) if each[0] != self._own]

    def group(self, stream):
        """Return name and control address of the first `GROUP_SIZE`.

        All instances with the same list of peers return the same ones; this
        instance may be among them.

        Returns
        -------
        list of (str, str)
        """
        return self._order(stream)[:GROUP_SIZE]

    def _order(self, stream):
        peers = self._catalog.peers
        if peers is not self._peers:
            self._peers = peers
            self._orders = {}
        bucket = rendezvous.rank("stream", stream) % BUCKETS
        if bucket not in self._orders:
            self._orders[bucket] = [
                (name, peers[name].control) for name in order(bucket, peers)
            ]
        return self._orders[bucket]
