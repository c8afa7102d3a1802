"""Tests of the loads that endpoints tell."""

from sycamoreshed.engineload.tests import speedbuilders
from sycamoreshed.engineload import told as told_loads
from sycamoreshed.platform import toldloads
from testkit import journals


def test_an_unreadable_load_is_logged_once_for_a_boot():
    """Guards against a line of log for each answer of a faulty endpoint."""
    journal = journals.Journal()
    told = told_loads.ToldLoads(journal=journal)
    for started_at_ms in (1, 1, 2, 1):
        engine = speedbuilders.engine("a", started_at_ms=started_at_ms)
        told.record(engine, None, 0.0)
        assert told.load(engine, 0.0) is None
    assert journal.names() == ["told_load_bad"] * 2


def test_a_restarted_endpoint_has_told_nothing():
    """Guards against the load of a process that has ended."""
    told = told_loads.ToldLoads()
    told.record(
        speedbuilders.engine("a"), toldloads.ToldLoad(9, 9, 9, 2.0), 0.0
    )
    restarted = speedbuilders.engine("a", started_at_ms=2)
    assert told.load(restarted, 0.1) is None
    assert told.slowdown(restarted, 0.1) == 1.0


def test_memory_is_bounded():
    """Guards against memory that grows with every restart."""
    told = told_loads.ToldLoads()
    load = toldloads.ToldLoad(1, 0, 9)
    for number in range(3000):
        engine = speedbuilders.engine("a", started_at_ms=number)
        told.record(engine, load, 0.0)
        told.record(engine, None, 0.0)
    assert len(told._loads) == told_loads.MAX_ENDPOINTS
    assert told.load(engine, 0.0) == load
