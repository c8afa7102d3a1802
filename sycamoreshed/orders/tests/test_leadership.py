import types

import prometheus_client
import pytest

from sycamoreshed.orders import leadership
from sycamoreshed.orders import unavailable


def _leadership(*, valid, row_config, own_config):
    lease = types.SimpleNamespace(
        is_valid=lambda now: valid, config=row_config
    )
    notes = types.SimpleNamespace(
        config=types.SimpleNamespace(version=own_config),
        on_change=lambda func: None,
    )
    return leadership.Leadership(
        lease=lease,
        zone="z",
        instance="a",
        notes=notes,
        peers=lambda now: [],
        clock=lambda: 0.0,
        registry=prometheus_client.CollectorRegistry(),
    )


@pytest.mark.parametrize(
    ("valid", "row_config", "own_config", "expected"),
    [
        (True, 7, 7, True),
        (False, 7, 7, False),
        # An older configuration than the previous holder: engines would
        # return to a replaced version.
        (True, 7, 6, False),
        # The row does not hold the new version yet.
        (True, 6, 7, False),
    ],
)
def test_orders_are_sent_only_for_the_version_in_the_row(
    valid, row_config, own_config, expected
):
    zone_leadership = _leadership(
        valid=valid, row_config=row_config, own_config=own_config
    )
    assert zone_leadership.can_order(0.0) is expected


class Gossip:
    """Delivers each record to all listeners."""

    def __init__(self):
        self._listeners = []
        self.records = {}
        self.puts = 0

    def on_record(self, topic, func, *, own=False):
        self._listeners.append(func)

    def put(self, topic, key, value):
        self.puts += 1
        stored = self.records.get(key)
        self.records[key] = unavailable.merge(stored, value)
        if self.records[key] is not stored:
            for func in self._listeners:
                func(key, value, 0.0)


def test_engine_is_unavailable_until_withdrawn_or_expired():
    gossip = Gossip()
    times = iter(range(100))
    instances = [
        unavailable.UnavailableEngines(
            gossip=gossip, instance=name, wall_clock=lambda: next(times)
        )
        for name in "ab"
    ]
    holder, other = instances
    assert other.names(0.0) == frozenset()
    holder.report("e", True, 0.0)
    holder.report("e", True, 1.0)
    assert gossip.puts == 1
    assert other.names(1.0) == {"e"}
    assert other.names(unavailable.EXPIRY_S) == set()
    # The holder has crashed; its successor reads that the engine serves.
    other.report("e", False, 2.0)
    other.report("e", False, 3.0)
    assert gossip.puts == 2
    assert holder.names(3.0) == frozenset()
