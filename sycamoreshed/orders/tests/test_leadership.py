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
    ("valid", "row_config", "own_config", "may"),
    [
        (True, 7, 7, True),
        (False, 7, 7, False),
        # Knows less than the holder before: engines would go back.
        (True, 7, 6, False),
        # The row does not name the new version yet.
        (True, 6, 7, False),
    ],
)
def test_orders_leave_only_for_the_version_the_row_names(
    valid, row_config, own_config, may
):
    part = _leadership(
        valid=valid, row_config=row_config, own_config=own_config
    )
    assert part.can_order(0.0) is may


class Gossip:
    """Hands each record to all who listen."""

    def __init__(self):
        self._listeners = []
        self.records = {}
        self.puts = 0

    def on_record(self, topic, func, *, own=False):
        self._listeners.append(func)

    def put(self, topic, key, value):
        self.puts += 1
        held = self.records.get(key)
        self.records[key] = unavailable.merge(held, value)
        if self.records[key] is not held:
            for func in self._listeners:
                func(key, value, 0.0)


def test_engine_is_away_until_it_is_told_back_or_forgotten():
    gossip = Gossip()
    times = iter(range(100))
    made = [
        unavailable.UnavailableEngines(
            gossip=gossip, instance=name, wall=lambda: next(times)
        )
        for name in "ab"
    ]
    holder, other = made
    assert other.names(0.0) == frozenset()
    holder.report("e", True, 0.0)
    holder.report("e", True, 1.0)
    assert gossip.puts == 1
    assert other.names(1.0) == {"e"}
    assert other.names(unavailable.FORGET_S) == set()
    # The holder is gone; its successor finds the engine serving.
    other.report("e", False, 2.0)
    other.report("e", False, 3.0)
    assert gossip.puts == 2
    assert holder.names(3.0) == frozenset()
