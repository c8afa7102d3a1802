"""Tests of the evidence on links to endpoints."""

from sycamoreshed.relaying import reachability
from testkit import journals


def build():
    """Return a `Reachability` and its journal."""
    journal = journals.Journal()
    return reachability.Reachability(journal=journal), journal


def test_an_answer_on_an_older_connection_is_no_evidence():
    """A stream that lived on hid that no new connection was established."""
    links, _ = build()
    links.record_failure("e1", 2.0, "refused")
    links.record_success("e1", sent_at=1.0)
    assert links.unreached(2.5) == ["e1"]
    links.record_success("e1", sent_at=2.1)
    assert links.unreached(2.5) == []


def test_failures_are_forgotten():
    links, _ = build()
    links.record_failure("e1", 2.0, "refused")
    assert not links.unreached(2.0 + reachability.FAILURE_TTL_S)
