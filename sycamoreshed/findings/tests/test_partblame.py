import asyncio

import pytest

from sycamoreshed.catalog import types
from sycamoreshed.findings import blame
from sycamoreshed.findings import board
from sycamoreshed.findings import crashes as crash_records
from sycamoreshed.findings import fingerprints
from sycamoreshed.findings import partblame
from sycamoreshed.findings.tests import partworld
from testkit import journals
from testkit import virtualtime

SEEDS = range(20)
# Requests with a part may reach endpoints so many times more, later than this
# after the fifth crash.
MAX_LATE_SENDS = 3
STABLE_S = 4.0
CRASHES = 5

LOADS = {
    "one": partworld.Load(bad=("x",)),
    "slow": partworld.Load(bad=("x",), bad_per_s=0.7),
    "fast": partworld.Load(bad=("x",), bad_per_s=10.0),
    "first": partworld.Load(bad=("x",), is_bad_first=True),
    "two": partworld.Load(bad=("x", "y")),
    "quiet": partworld.Load(bad=("x",), sound_per_s=4.0, middles=8),
}


def play(seed, *, seconds=30.0, **world):
    """Return a world and the parts that are rejected at its end."""

    async def scenario():
        played = partworld.World(seed=seed, **world)
        await played.run(seconds)
        now = asyncio.get_running_loop().time()
        return played, played.records.rejected_parts(now)

    return virtualtime.run(scenario())


def late_sends(played, part):
    """Return how often a part was sent long after its fifth crash."""
    crashed_at = played.crashed_at.get(part, []) + CRASHES * [float("inf")]
    fifth = crashed_at[CRASHES - 1]
    return sum(at > fifth + STABLE_S for at in played.sent_at.get(part, ()))


@pytest.mark.parametrize("name", LOADS)
@pytest.mark.parametrize("engines", [3, 9, 70])
def test_part_that_crashes_endpoints_is_told_from_others(engines, name):
    """A part beside one that crashes was rejected, or the latter was not."""
    load = LOADS[name]
    late, wrong = {}, {}
    for seed in SEEDS:
        played, rejected = play(seed, engines=engines, load=load)
        late[seed] = max(late_sends(played, part) for part in load.bad)
        wrong[seed] = rejected - {f"part:{each}" for each in load.bad}
    assert max(late.values()) <= MAX_LATE_SENDS, late
    assert not any(wrong.values()), wrong


def one_by_one(rng):
    """Crash an endpoint every now and then."""
    while True:
        yield rng.uniform(0.2, 1.0), 1


def all_at_once(rng):
    """Crash all endpoints every few seconds."""
    while True:
        yield rng.uniform(0.5, 4.0), 100


def some_at_once(rng):
    """Crash up to four endpoints at a time."""
    while True:
        yield rng.uniform(0.3, 2.0), rng.randrange(1, 5)


@pytest.mark.parametrize("crash_at", [one_by_one, all_at_once, some_at_once])
@pytest.mark.parametrize("sound_per_s", [4.0, 20.0])
def test_no_part_is_rejected_for_other_crashes(crash_at, sound_per_s):
    """A part of all prompts was rejected after a loss of power."""
    load = partworld.Load(sound_per_s=sound_per_s)
    for seed in SEEDS:
        _, rejected = play(
            seed, engines=9, load=load, crash_at=crash_at, seconds=60.0
        )
        assert not rejected, seed


def crash(at, *names, has_begun=False):
    """Return a crash with suspects of these fingerprints."""
    return blame.Crash(
        at, tuple(blame.Suspect(name, 0.1, has_begun) for name in names)
    )


def rejected_after(crashes, sound_at=()):
    """Return the parts that are rejected long after crashes."""
    return partblame.judge(crashes, dict(sound_at), (), 100.0).rejected


def test_crashes_at_one_moment_count_once():
    """A loss of power counted as one crash for each endpoint."""
    crashes = [crash(0.001 * n, f"r{n}/a") for n in range(9)]
    assert rejected_after(crashes) == set()


def test_parts_of_a_repeated_request_are_not_blamed_for_it():
    """The parts of one request that crashes endpoints were rejected."""
    crashes = [crash(float(n), "r/a/b") for n in range(9)]
    assert rejected_after(crashes) == set()


def test_part_whose_requests_had_begun_is_not_blamed():
    """A part was rejected whose requests were answered until the crash."""
    crashes = [crash(float(n), f"r{n}/a", has_begun=True) for n in range(9)]
    assert rejected_after(crashes) == set()


def test_answer_clears_a_part_of_earlier_crashes_only():
    """A part was never rejected that had been answered once."""
    crashes = [crash(float(n), f"r{n}/a") for n in range(9)]
    assert rejected_after(crashes, {"part:a": 4.5}.items()) == set()
    assert rejected_after(crashes, {"part:a": 3.5}.items()) == {"part:a"}


def test_instances_have_time_to_tell_of_answers():
    """A part was rejected before instances could tell that it is answered."""
    crashes = [crash(float(n), f"r{n}/a") for n in range(5)]
    early = partblame.judge(crashes, {}, (), 4.1)
    assert early.rejected == set()
    assert early.due_at == 4.0 + partblame.DEFENCE_S
    assert partblame.judge(crashes, {}, (), early.due_at).rejected


def test_last_part_of_a_prompt_is_not_told_apart():
    """A request was rejected whose last part had crashed endpoints."""
    named = {"method": "POST", "host": "h", "target": "/", "team": None}
    text = fingerprints.fingerprint(**named, body=b"", parts=["a", "b/c"])
    assert fingerprints.parts_of(text) == ("part:a",)


class Records:
    """Records of one instance, at a time that tests set."""

    def __init__(self):
        self.now = 0.0
        self.board = board.Board()
        self.records = crash_records.CrashRecords(
            board=self.board, instance="i", journal=journals.Journal()
        )

    @property
    def times(self):
        """Return the present time in both forms."""
        return {"now": self.now, "unix_ms": int(self.now * 1000)}

    def crash(self, number, *names):
        """Record a crash of an endpoint under some requests."""
        endpoint = types.Endpoint(f"e{number}", "s", "", "north-a", 4)
        suspects = [blame.Suspect(name, 0.1) for name in names]
        return self.records.record_crash(endpoint, suspects, **self.times)

    def reject(self, part):
        """Have a part rejected."""
        for number in range(CRASHES):
            self.now += 1.0
            self.crash(number, f"r{number}/{part}")
        self.now += 2.0
        assert self.records.record_rejection(f"r/{part}", **self.times)


def test_part_is_taken_back_after_an_answered_probe():
    """A part that had been rejected without reason stayed so for an hour."""
    made = Records()
    made.reject("a")
    assert made.records.is_rejected("new/a", made.now)
    probe = {"fingerprint": "new/a", "delay_s": lambda _part: 0.0}
    assert not made.records.record_probe(**probe, **made.times)
    made.now += crash_records.PROBE_INTERVALS_S[0]
    assert made.records.record_probe(**probe, **made.times)
    assert not made.records.record_probe(**probe, **made.times)
    made.now += 1.0
    made.records.record_sound("new/a", made.now)
    assert made.records.clear_parts(
        made.records.rejected_parts(made.now), **made.times
    )
    # Long after all findings but the rejection are forgotten.
    for later_s in (0.0, 700.0):
        assert not made.records.is_rejected("new/a", made.now + later_s)


def test_withdrawal_is_known_before_its_reason():
    """A withdrawn rejection was renewed by an instance that read it first."""
    made = Records()
    made.reject("a")
    made.now += 1.0
    made.board.add(
        crash_records.REJECTIONS.name,
        "part:a",
        crash_records.WITHDRAWN,
        **made.times,
    )
    assert not made.records.is_rejected("r/a", made.now)


def test_operator_withdraws_the_rejection_of_a_request():
    """A request was rejected again for the crashes that operators forgave."""
    made = Records()
    for number in range(3):
        made.now += 1.0
        made.crash(number, "bad")
    assert made.records.record_rejection("bad", **made.times)
    made.now += 1.0
    made.board.add(
        crash_records.REJECTIONS.name,
        "bad",
        crash_records.WITHDRAWN,
        **made.times,
    )
    assert not made.records.is_rejected("bad", made.now)


def test_probes_of_a_part_are_few():
    """Probes crashed endpoints as long as a part was rejected."""
    made = Records()
    made.reject("a")
    sent = 0
    for _ in range(3000):
        made.now += 1.0
        probes = made.records.record_probe(
            "new/a", delay_s=lambda _part: 0.0, **made.times
        )
        sent += bool(probes)
    assert sent == len(crash_records.PROBE_INTERVALS_S) <= MAX_LATE_SENDS


def test_request_beside_a_rejected_part_is_cleared():
    """A request was rejected that crashed only beside a part that does."""
    made = Records()
    for number in range(6):
        made.now += 0.1
        made.crash(number, "sound/b", f"r{number}/b/a")
    assert made.records.is_rejected("sound/b", made.now)
    made.records.record_rejection("sound/b", **made.times)
    made.records.record_sound("other/b", made.now)
    made.records.clear_parts(["part:b"], **made.times)
    made.now += 2.0
    assert made.records.is_rejected("new/a", made.now)
    assert not made.records.is_rejected("sound/b", made.now)


def test_request_keeps_its_bound_beside_a_rejected_part():
    """A request that crashes endpoints was not found after a part was."""
    made = Records()
    made.reject("a")
    for number in range(10, 13):
        made.now += 1.0
        made.crash(number, "bad/b/c")
    assert made.records.is_rejected("bad/b/c", made.now)
    assert not made.records.is_rejected("other/b/c", made.now)


def test_part_is_found_while_endpoints_are_overloaded():
    """A part crashed overloaded endpoints without end; requests are spared."""
    made = Records()
    for number in range(CRASHES + 1):
        made.now += 1.0
        endpoint = types.Endpoint(f"e{number}", "s", "", "north-a", 4)
        suspects = [
            blame.Suspect("sound/b", 0.1),
            blame.Suspect(f"r{number}/a", 0.1),
        ]
        made.records.record_crash(
            endpoint, suspects, is_overload=True, **made.times
        )
    made.now += 2.0
    assert made.records.is_rejected("new/a", made.now)
    assert not made.records.is_rejected("sound/b", made.now)
    assert not made.records.blamed("sound/b", made.now)


def test_suspects_of_one_crash_are_added_up():
    """A call that noticed a crash late replaced the suspects known before."""
    made = Records()
    made.crash(1, "r/a")
    made.now += 1.0
    finding = made.crash(1, "s/b")
    names = [each.fingerprint for each in finding.value["suspects"]]
    assert names == ["r/a", "s/b"]
    assert finding.age_s == 1.0
