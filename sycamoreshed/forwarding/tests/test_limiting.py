import pytest

from sycamoreshed.findings import board
from sycamoreshed.findings import limits
from sycamoreshed.forwarding import permits
from sycamoreshed.forwarding import rates
from sycamoreshed.forwarding.tests import limitedzone
from testkit import journals
from testkit import virtualtime

WINDOW_S = 4.0
LOAD_S = 30.0
# Used up if so much of it is used.
MIN_USED_SHARE = 0.8


def play(*, size, rate, senders=None, during=None):
    """Return a zone whose instances had requests for 30 s."""

    async def scenario():
        zone = limitedzone.Zone(size=size, rate=rate)
        names = zone.names[:senders]
        await zone.load(names, seconds=LOAD_S / 2)
        if during is not None:
            during(zone)
        await zone.load(names, seconds=LOAD_S / 2)
        return zone

    return virtualtime.run(scenario())


def most_in_window(times, window_s=WINDOW_S):
    """Return the most requests in any window."""
    return max(
        sum(start <= at < start + window_s for at in times) for start in times
    )


def allowed(rate):
    """Return the requests that an endpoint may get in a window."""
    return 1.5 * rate * WINDOW_S + 5


@pytest.mark.parametrize("size", [1, 9, 195])
@pytest.mark.parametrize("rate", [0.5, 1.0, 1.3, 20.0])
def test_limit_is_used_up_and_not_exceeded(size, rate):
    """An endpoint got several times its limit, or hardly anything of it."""
    zone = play(size=size, rate=rate)
    assert most_in_window(zone.sent_at) <= allowed(rate)
    assert len(zone.sent_at) >= MIN_USED_SHARE * rate * LOAD_S


def test_one_of_many_instances_may_use_the_whole_limit():
    """An instance had a fixed share of a limit that nobody else used."""
    zone = play(size=195, rate=2.0, senders=1)
    assert len(zone.sent_at) >= MIN_USED_SHARE * 2.0 * LOAD_S


def test_calls_for_permits_are_bounded():
    """Each request of 195 instances asked for a permit, 2,000 a second."""
    zone = play(size=195, rate=1.0)
    # Those that are refused, those that are granted, and the first of all.
    expected = (permits.MAX_ASKS_PER_S + 1.0) * LOAD_S + 195
    assert zone.calls <= 1.5 * expected


@pytest.mark.parametrize("size", [9, 195])
def test_limit_holds_when_all_instances_restart(size):
    """Each instance that started anew issued what had been issued before."""

    def restart(zone):
        for name in zone.names:
            zone.restart(name, rate=2.0)

    zone = play(size=size, rate=2.0, during=restart)
    assert most_in_window(zone.sent_at) <= allowed(2.0)


@pytest.mark.parametrize("size", [9, 195])
def test_limit_holds_when_instances_are_cut_off(size):
    """Instances without the one that issues permits ignored a limit."""

    def cut(zone):
        zone.cut = set(zone.names[::3])

    zone = play(size=size, rate=2.0, during=cut)
    assert most_in_window(zone.sent_at) <= allowed(2.0)


@pytest.mark.parametrize("size", [9, 65, 195])
@pytest.mark.parametrize("cut_share", [0.0, 0.35, 0.9])
def test_cold_endpoint_is_spared_by_instances_that_are_cut_off(
    size, cut_share
):
    """Instances that were cut off added their requests to the full rate."""
    overrun, tolerance, rate = 1.5, 5.0, 11.0

    def cut(zone):
        zone.cut = set(zone.names[: int(cut_share * size)])

    permitted = rates.cold_rate(rate, overrun=overrun, tolerance=tolerance)
    zone = play(size=size, rate=permitted, during=cut)
    most = most_in_window(zone.sent_at, window_s=1.0)
    assert most <= overrun * rate + tolerance
    assert len(zone.sent_at) >= MIN_USED_SHARE * permitted * LOAD_S


def test_instance_that_is_slow_to_issue_permits_keeps_its_work():
    """An instance that issued a permit late no longer worked for its zone."""

    def cut(zone):
        zone.cut = set(zone.names[::3])

    zone = play(size=9, rate=2.0, during=cut)
    for directory in zone.peers.values():
        assert len(directory.eligible("north-a", LOAD_S)) == 9


class Answers:
    """Records of an endpoint's answers."""

    def __init__(self):
        self.records = limits.LimitRecords(
            board=board.Board(), journal=journals.Journal()
        )

    def answer(self, rate, *, sent_at, now):
        """Record an answer; return what others have to be told."""
        return self.records.record_answer(
            limitedzone.ENDPOINT, rate, sent_at=sent_at, now=now, unix_ms=0
        )

    def rate(self, now):
        """Return the endpoint's limit."""
        return self.records.rate(limitedzone.ENDPOINT, now)


def test_limit_ends_with_the_first_answer_without_it():
    """An endpoint that had recovered was still spared."""
    answers = Answers()
    answers.answer(2.0, sent_at=0.0, now=1.0)
    answers.answer(None, sent_at=2.0, now=3.0)
    assert answers.rate(3.0) is None


def test_answer_that_was_overtaken_does_not_end_a_limit():
    """A slow answer from before the need lifted the limit of everybody."""
    answers = Answers()
    answers.answer(2.0, sent_at=4.0, now=5.0)
    assert answers.answer(None, sent_at=3.0, now=6.0) is None
    assert answers.rate(6.0) == 2.0


def test_limit_that_does_not_change_is_told_seldom():
    """Each answer of a limited endpoint was told to all instances."""
    answers = Answers()
    told = [
        answers.answer(2.0, sent_at=at, now=at + 0.1)
        for at in map(float, range(60))
    ]
    assert sum(each is not None for each in told) == 3


def test_limit_of_an_earlier_start_does_not_hold():
    """An endpoint that started again under its id kept its old limit."""
    answers = Answers()
    answers.answer(2.0, sent_at=0.0, now=1.0)
    restarted = limitedzone.ENDPOINT._replace(started_at_ms=7)
    assert answers.records.rate(restarted, 1.0) is None


def test_unused_permits_of_an_overloaded_endpoint_are_lost():
    """Used together after a lull, they made the endpoint reject them."""
    issuer = permits.Issuer()
    ask = permits.PermitRequest("e@1", 8.0, 0.0, "edge-1", burst_s=0.0)
    issuer.issue(ask, 0.0)
    granted = [issuer.issue(ask, 10.0).is_granted for _ in range(8)]
    assert granted.count(True) == 1
