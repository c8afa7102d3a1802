"""Which connections a listener closes."""

import pytest

from sycamoreshed.entry import connections


def make_table(*, max_open=4):
    """Return a table with connections that are idle, receive and are busy."""
    table = connections.ConnectionTable(max_open=max_open)
    for number, name in enumerate(("idle", "receiving", "busy")):
        table.add(name, number / 10)
    for name in ("idle", "busy"):
        table.record_data(name, 0.3)
        table.record_request(name)
    table.record_response("idle", 0.4)
    table.record_data("receiving", 0.4)
    return table


def test_silent_connections_are_closed_before_those_that_were_used():
    """Connections that never sent a byte displaced those of callers."""
    table = make_table()
    assert table.add("silent", 1.0) == []
    assert table.add("new", 2.0) == ["silent"]


def test_connections_that_were_just_opened_are_left_time_to_send():
    """Callers that come at once displaced each other before they were read."""
    table = make_table()
    assert table.add("other", 1.0) == []
    assert table.add("new", 1.0) == ["idle"]
    assert table.add("next", 1.0) == ["receiving"]


def test_requests_in_flight_are_not_cut_off():
    """A new connection displaced one whose request was being served."""
    table = connections.ConnectionTable(max_open=1)
    table.add("busy", 0.0)
    table.record_request("busy")
    assert table.add("new", 1.0) == ["new"]
    assert len(table) == 1


@pytest.mark.parametrize("max_open", [1, 5])
def test_number_of_connections_is_limited(max_open):
    """Idle connections used up the descriptors of the process."""
    table = connections.ConnectionTable(max_open=max_open)
    for number in range(100):
        table.add(number, number / 10)
        if number % 3:
            table.record_data(number, number / 10)
    assert len(table) == max_open


def test_connections_that_wait_too_long_expire():
    """Connections without a whole request were kept for ever."""
    table = make_table()
    assert table.expired(2.0, idle_s=3.0, head_s=1.0) == ["receiving"]
    assert table.expired(9.0, idle_s=3.0, head_s=1.0) == ["idle", "receiving"]


def test_connection_that_was_closed_is_forgotten():
    """What was still under way revived a connection that was closed."""
    table = make_table()
    for name in ("busy", "idle"):
        table.remove(name)
    table.record_response("busy", 1.0)
    table.record_request("idle")
    table.record_data("idle", 1.0)
    assert len(table) == 1


@pytest.mark.parametrize("limit", [64, 256, 1024, 1638, 4100, 10250])
def test_descriptors_of_callers_leave_room_for_endpoints(limit):
    """Each request of a caller needs a connection to an endpoint as well."""
    shares = connections.descriptor_shares(limit)
    assert 2 * shares.callers + shares.instances < limit
    assert shares.backlog <= limit // 4
