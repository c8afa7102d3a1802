"""Which other instances there are, and which of them answer."""

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
    """Return three instances of the own zone, one of another."""
    result = Catalog()
    for name in ("own", "a", "b"):
        result.add(name, boot=1)
    result.add("far", "south-a", boot=1)
    return result


@pytest.fixture
def book(catalog):
    """Return the book of the instance `own`."""
    return peers.PeerDirectory(
        catalog=catalog,
        own="own",
        zone="north-a",
        seeds=["seed"],
        control="own",
        journal=journals.Journal(),
        choose=random.Random(1),
    )


def test_asked_are_one_near_and_some_elsewhere(book):
    """The store may have turned away all of a zone."""
    asked = book.sample(0.0)
    assert asked[0] in ("a", "b")
    assert set(asked[1:]) == {"far", "seed"}


def test_who_does_not_answer_is_left_alone_longer_each_time(book):
    now = 0.0
    times = []
    for _ in range(6):
        book.record_failure("a", now, "no answer")
        began = now
        while book.is_lost("a", now):
            now += 0.1
        times.append(round(now - began))
    assert times == [1, 2, 4, 8, 8, 8]


def test_who_was_started_again_takes_part_at_once(book, catalog):
    """An instance was down for seconds and has registered again.

    Left alone for as long as before, its zone would be short of it.
    """
    for now in (0.0, 2.0, 5.0):
        book.record_failure("a", now, "no answer")
    assert "a" not in book.of_zone("north-a", 5.1)
    catalog.add("a", boot=2)
    assert "a" in book.of_zone("north-a", 5.2)


def test_who_leaves_gets_nothing_new(book, catalog):
    catalog.add("b", boot=1, is_draining=True)
    assert set(book.of_zone("north-a", 0.0)) == {"own", "a"}
    book.is_draining = True
    assert set(book.of_zone("north-a", 0.0)) == {"a"}


def test_who_is_gone_for_good_is_named_once_it_is_certain(book, catalog):
    """An instance was replaced; its row would stay for ever."""
    now = 0.0
    while now < peers.GONE_S - peers.LONGEST_AVOID_S:
        book.record_failure("a", now, "no answer")
        assert not book.gone()
        now += 1.0
    book.record_failure("a", now + peers.LONGEST_AVOID_S, "no answer")
    assert book.gone() == ["a"]
    catalog.add("a", boot=2)
    assert not book.gone()
    book.record_success("a")


def test_small_instances_do_not_work_for_others(book, catalog):
    """A small one is late with the stages and the news of its whole zone."""
    catalog.add("a", boot=1, cores=2.15)
    catalog.add("b", boot=1, cores=0.516)
    assert set(book.eligible("north-a", 0.0)) == {"a"}
    book.record_failure("a", 0.0, "no answer")
    assert set(book.eligible("north-a", 0.1)) == {"b"}


def test_instances_of_one_size_all_work_for_others(book):
    assert set(book.eligible("north-a", 0.0)) == {"own", "a", "b"}
