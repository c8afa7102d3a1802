from sycamoreshed.adapters import engines as control
from sycamoreshed.errors import kinds
from sycamoreshed.orders import pacing
from sycamoreshed.orders import tracking

TARGET = {"model": "m", "version": "1", "adapters": [], "role": "both"}
SILENT = kinds.Failure(kinds.Kind.LATE, "no answer in time", sent=True)


def test_settled_engine_is_read_back_ever_more_rarely():
    watch = tracking.EngineTracker(longest=15.0)
    now = 0.0
    times = []
    for _ in range(8):
        watch.take(control.State(TARGET), TARGET, now)
        times.append(watch.look_at - now)
        now = watch.look_at
    assert times == [0.5, 1.0, 2.0, 4.0, 8.0, 15.0, 15.0, 15.0]
    assert watch.take(control.State(None), TARGET, now)
    assert watch.look_at == now + 0.5


def test_silent_engine_is_dead_after_a_while_and_told_once():
    watch = tracking.EngineTracker(longest=15.0)
    watch.take(control.State(TARGET), TARGET, 0.0)
    told = []
    now = watch.look_at
    for _ in range(8):
        if watch.take(SILENT, TARGET, now):
            told.append((now, watch.is_dead(now)))
        now = watch.look_at
    assert [dead for _, dead in told] == [False, True]
    assert watch.take(control.State(TARGET), TARGET, now)
    assert not watch.is_dead(now)


def test_orders_back_off_until_one_is_taken():
    watch = tracking.EngineTracker(longest=15.0)
    waits = []
    for _ in range(7):
        watch.ordered(0.0, ok=False)
        waits.append(watch.order_at)
    assert 0.25 <= waits[0] <= 0.5
    assert 5.0 <= waits[-1] <= 10.0
    watch.ordered(0.0, ok=True)
    assert watch.order_at == tracking.SOON_S


def test_few_instances_stand_by_quickly():
    names = [f"entry-{number}" for number in range(59)]
    first = [pacing.stands_by("z", name, names) for name in names]
    waits = [
        pacing.standby_s(first=item, quick=2.0, left=0.1 if item else 8.0)
        for item in first
    ]
    assert sum(first) == pacing.STANDBYS
    assert sorted(waits)[: pacing.STANDBYS] == [0.1] * pacing.STANDBYS
    assert sorted(waits)[pacing.STANDBYS] >= 45.0
    assert 1.5 <= pacing.standby_s(first=True, quick=2.0, left=None) <= 2.5


def test_loads_of_the_holder_before_count():
    pace = pacing.LoadPacer(rate=10.0)
    pace.add(50.0, now=0.0)
    assert not pace.take(1.0, now=4.0)
    assert pace.take(0.0, now=4.0)
    assert pace.take(1.0, now=5.0)
