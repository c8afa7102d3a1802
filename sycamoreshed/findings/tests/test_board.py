import itertools

from sycamoreshed.findings import board
from sycamoreshed.findings.tests import builders

PASSING = builders.PASSING.name


def finding(key, value, *, stamp, age_s=0.0):
    """Return a finding of a topic that lasts a minute."""
    return board.Finding(PASSING, key, value, stamp, age_s)


def test_order_of_arrival_does_not_matter():
    """Instances that got findings in another order held others."""
    made = [
        finding("k", "old", stamp=1),
        finding("k", "new", stamp=3),
        finding("k", "middle", stamp=2),
    ]
    for order in itertools.permutations(made):
        each = board.Board()
        for item in order:
            each.merge([item], 0.0)
        assert each.find(PASSING, "k", 0.0).value == "new"


def test_later_finding_holds_although_the_clock_is_behind():
    """An instance whose clock is behind could not correct a finding."""
    each = board.Board()
    each.merge([finding("k", "old", stamp=5000)], 0.0)
    each.add(PASSING, "k", "new", now=1.0, unix_ms=1000)
    assert each.find(PASSING, "k", 1.0).value == "new"


def test_age_counts_from_when_it_was_found():
    """A finding that is passed on again and again never expired."""
    first, second = board.Board(), board.Board()
    first.merge([finding("k", 1, stamp=1)], 0.0)
    second.merge(first.findings(50.0), 50.0)
    first.merge(second.findings(59.0), 59.0)
    assert first.find(PASSING, "k", 61.0) is None
    assert not second.entries(PASSING, 61.0)


def test_memory_is_bounded():
    """Findings of many engines filled the memory of an instance."""
    each = board.Board()
    for number in range(1000):
        each.merge([finding(f"k{number}", 1, stamp=number)], 0.0)
    entries = each.entries(PASSING, 0.0)
    assert len(entries) == builders.PASSING.max_entries
    assert "k999" in entries


def test_finding_of_an_unknown_topic_is_left_alone():
    """An older version of the program failed at a newer one's findings."""
    each = board.Board()
    unknown = board.Finding("not-known", "k", 1, 1, 0.0)
    assert each.merge([unknown], 0.0) == []


def test_equal_findings_have_equal_digests():
    """Instances with equal findings sent them to each other for ever."""
    first, second = board.Board(), board.Board()
    made = [finding(f"k{number}", 1, stamp=number) for number in range(4)]
    first.merge(made, 0.0)
    second.merge(reversed(made), 7.0)
    assert first.digest(8.0) == second.digest(8.0)
    second.merge([finding("k1", 2, stamp=9)], 8.0)
    assert first.digest(8.0) != second.digest(8.0)
