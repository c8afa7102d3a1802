"""Tests of the directory of peers."""

import random

import pytest

from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.catalog import peers
from testkit import journals


class Catalog:
    """The registered instances."""

    def __init__(self):
        self.peers = {}

    def add(self, name, zone="north-a", **more):
        """Register an instance; its control address is its name."""
        self.peers[name] = catalogs.Peer(name, zone, name, **more)


@pytest.fixture
def catalog():
    """Return three instances of the own zone and one of another."""
    result = Catalog()
    for name in ("own", "a", "b"):
        result.add(name, boot=1)
    result.add("far", "south-a", boot=1)
    return result


@pytest.fixture
def directory(catalog):
    """Return the directory of the instance `own`."""
    return peers.PeerDirectory(
        catalog=catalog,
        own="own",
        zone="north-a",
        seeds=["seed"],
        control="own",
        journal=journals.Journal(),
        rng=random.Random(1),
    )


def test_sample_has_one_peer_of_the_zone_and_some_others(directory):
    """The store may be rejecting an entire zone."""
    sample = directory.sample(0.0)
    assert sample[0] in ("a", "b")
    assert set(sample[1:]) == {"far", "seed"}


def test_backoff_doubles_with_each_failure(directory):
    now = 0.0
    backoffs = []
    for _ in range(6):
        directory.record_failure("a", now, "no answer")
        started_at = now
        while directory.is_avoided("a", now):
            now += 0.1
        backoffs.append(round(now - started_at))
    assert backoffs == [1, 2, 4, 8, 8, 8]


def test_restarted_peer_is_used_at_once(directory, catalog):
    """An instance was down for seconds and has registered again.

    Were it skipped until its backoff ends, its zone would lack its capacity.
    """
    for now in (0.0, 2.0, 5.0):
        directory.record_failure("a", now, "no answer")
    assert "a" not in directory.of_zone("north-a", 5.1)
    catalog.add("a", boot=2)
    assert "a" in directory.of_zone("north-a", 5.2)


def test_draining_instance_is_excluded(directory, catalog):
    catalog.add("b", boot=1, is_draining=True)
    assert set(directory.of_zone("north-a", 0.0)) == {"own", "a"}
    directory.is_draining = True
    assert set(directory.of_zone("north-a", 0.0)) == {"a"}


def test_peer_is_dead_only_after_a_long_failure(directory, catalog):
    """The row of a replaced instance must not stay for ever.

    A shorter failure does not remove the row, and a restart clears the
    failures.
    """
    now = 0.0
    while now < peers.DEAD_AFTER_S - peers.MAX_BACKOFF_S:
        directory.record_failure("a", now, "no answer")
        assert not directory.dead()
        now += 1.0
    directory.record_failure("a", now + peers.MAX_BACKOFF_S, "no answer")
    assert directory.dead() == ["a"]
    catalog.add("a", boot=2)
    assert not directory.dead()
    directory.record_success("a")


def test_small_instances_are_not_eligible(directory, catalog):
    """A small instance would delay the stages and updates of its zone."""
    catalog.add("a", boot=1, cores=2.15)
    catalog.add("b", boot=1, cores=0.516)
    assert set(directory.eligible("north-a", 0.0)) == {"a"}
    directory.record_failure("a", 0.0, "no answer")
    assert set(directory.eligible("north-a", 0.1)) == {"b"}


def test_instances_of_equal_size_are_all_eligible(directory):
    assert set(directory.eligible("north-a", 0.0)) == {"own", "a", "b"}
