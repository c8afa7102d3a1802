"""Tests of the decision whether an instance is cut off from endpoints."""

import pytest

from sycamoreshed.links import reachability
from testkit import journals


@pytest.fixture
def links():
    """Return a `Reachability` without evidence."""
    return reachability.Reachability(journal=journals.Journal())


def unreached(*names):
    """Return the results of a check that reached no endpoint."""
    return [reachability.CheckResult(n, False, "refused") for n in names]


def reached(name):
    """Return the result of a check that reached an endpoint."""
    return reachability.CheckResult(name, True)


def test_an_answer_on_an_older_connection_is_no_evidence(links):
    """A stream that lived on hid that no new connection was established."""
    links.record_failure("e1", 2.0, "refused")
    links.record_success("e1", sent_at=1.0)
    assert links.unreached(2.5) == ["e1"]
    assert links.is_check_due(2.5)
    links.record_success("e1", sent_at=2.1)
    assert links.unreached(2.5) == []
    assert not links.is_check_due(2.5)


def test_failures_are_forgotten(links):
    links.record_failure("e1", 2.0, "refused")
    assert not links.unreached(2.0 + reachability.FAILURE_TTL_S)


def test_one_endpoint_that_is_down_is_no_cut(links):
    """Crashes of endpoints would send all requests a longer way."""
    links.record_failure("e1", 2.0, "refused")
    results = [*unreached("e2"), reached("e3")]
    links.record_check(results, started_at=2.0, now=2.1)
    assert not links.is_cut_off
    assert not links.is_check_due(2.7)
    links.record_failure("e1", 2.8, "refused")
    assert links.is_check_due(2.8)


def test_a_request_that_got_through_meanwhile_refutes_a_check(links):
    links.record_failure("e1", 2.0, "refused")
    links.record_success("e2", sent_at=2.1)
    links.record_check(unreached("e3"), started_at=2.0, now=2.3)
    assert not links.is_cut_off


def test_a_cut_ends_with_the_first_connection(links):
    """An instance went on to use others after its links were back."""
    links.record_failure("e1", 2.0, "refused")
    links.record_check(unreached("e2", "e3"), started_at=2.0, now=2.3)
    assert links.is_cut_off
    assert not links.is_check_due(2.4)
    assert links.is_check_due(2.3 + reachability.CHECK_INTERVAL_S)
    links.record_check([reached("e2")], started_at=3.0, now=3.1)
    assert not links.is_cut_off
    assert not links.unreached(3.1)


def test_without_endpoints_there_is_no_cut(links):
    links.record_failure("e1", 2.0, "refused")
    links.record_check([], started_at=2.0, now=2.3)
    assert not links.is_cut_off
