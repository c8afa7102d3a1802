from sycamoreshed.adapters import engines as control
from sycamoreshed.errors import kinds
from sycamoreshed.orders import pacing
from sycamoreshed.orders import tracking

TARGET = {"model": "m", "version": "1", "adapters": [], "role": "both"}
UNRESPONSIVE = kinds.Failure(kinds.Kind.LATE, "no answer in time", sent=True)


def test_interval_between_reads_of_a_settled_engine_doubles():
    tracker = tracking.EngineTracker(max_interval_s=15.0)
    now = 0.0
    intervals = []
    for _ in range(8):
        tracker.record_read(control.State(TARGET), TARGET, now)
        intervals.append(tracker.next_read_at - now)
        now = tracker.next_read_at
    assert intervals == [0.5, 1.0, 2.0, 4.0, 8.0, 15.0, 15.0, 15.0]
    assert tracker.record_read(control.State(None), TARGET, now)
    assert tracker.next_read_at == now + 0.5


def test_unresponsive_engine_is_reported_dead_once():
    tracker = tracking.EngineTracker(max_interval_s=15.0)
    tracker.record_read(control.State(TARGET), TARGET, 0.0)
    reported = []
    now = tracker.next_read_at
    for _ in range(8):
        if tracker.record_read(UNRESPONSIVE, TARGET, now):
            reported.append((now, tracker.is_dead(now)))
        now = tracker.next_read_at
    assert [dead for _, dead in reported] == [False, True]
    assert tracker.record_read(control.State(TARGET), TARGET, now)
    assert not tracker.is_dead(now)


def test_orders_back_off_until_one_is_accepted():
    tracker = tracking.EngineTracker(max_interval_s=15.0)
    delays = []
    for _ in range(7):
        tracker.record_order(0.0, accepted=False)
        delays.append(tracker.next_order_at)
    assert 0.25 <= delays[0] <= 0.5
    assert 5.0 <= delays[-1] <= 10.0
    tracker.record_order(0.0, accepted=True)
    assert tracker.next_order_at == tracking.MIN_INTERVAL_S


def test_few_instances_are_hot_standbys():
    names = [f"entry-{number}" for number in range(59)]
    hot = [pacing.is_hot_standby("z", name, names) for name in names]
    delays = [
        pacing.standby_delay_s(
            hot=item, interval_s=2.0, remaining_s=0.1 if item else 8.0
        )
        for item in hot
    ]
    assert sum(hot) == pacing.HOT_STANDBYS
    assert sorted(delays)[: pacing.HOT_STANDBYS] == [0.1] * pacing.HOT_STANDBYS
    assert sorted(delays)[pacing.HOT_STANDBYS] >= 45.0
    assert (
        1.5
        <= pacing.standby_delay_s(hot=True, interval_s=2.0, remaining_s=None)
        <= 2.5
    )


def test_loads_of_the_previous_holder_count():
    pacer = pacing.LoadPacer(rate=10.0)
    pacer.record_running(50.0, now=0.0)
    assert not pacer.try_start(1.0, now=4.0)
    assert pacer.try_start(0.0, now=4.0)
    assert pacer.try_start(1.0, now=5.0)
