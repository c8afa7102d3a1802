"""Tests of admission and of the order in which stages start."""

import random

from sycamoreshed.staging import pieces
from sycamoreshed.staging import scheduling
from sycamoreshed.staging.tests import builders


def test_jobs_that_would_be_too_late_are_rejected_at_once():
    """Jobs arrive faster than stages can process them.

    If all were admitted, each would wait until its deadline and make the
    others late; if some are rejected at once, those before them meet their
    targets.
    """
    scheduler = builders.scheduler()
    count = 0
    while scheduler.admit(builders.job(f"r{count}"), 0.0) is not None:
        count += 1
        assert count < 100
    assert 2 <= count <= 20
    assert scheduler.expected_lateness(builders.job("next"), 0.0) > 0


def test_jobs_admitted_in_a_burst_meet_their_targets():
    """For four seconds, the load is twice what two stages can carry.

    The calls of the admitted jobs are simulated, one job after another.
    Nine in ten must be done by their target time, without leaving the
    stages idle.
    """
    scheduler = builders.scheduler()
    service = builders.spec()
    arrivals = [0.05 * number for number in range(80)]
    done, late, rejected = 0, 0, 0
    free_at = 0.0
    queue = []
    for now in arrivals:
        while queue and free_at <= now:
            admitted = queue.pop(0)
            # The job arrived 1.0 s before its target.  The busier stage has
            # four pieces, in one call for each job.
            free_at = max(free_at, admitted.target_at - 1.0) + service.call_s
            free_at += 4 * service.piece_s
            scheduler.record_sent(admitted, 0, 2, 0.3)
            scheduler.record_sent(admitted, 1, 4, 0.3)
            scheduler.remove(admitted)
            late += free_at > admitted.target_at + 0.15
            done += 1
        admitted = scheduler.admit(builders.job(f"r{now}"), now)
        if admitted is None:
            rejected += 1
        elif not admitted.will_miss_target:
            queue.append(admitted)
    assert rejected > 20
    assert late <= done / 10
    assert done >= 15


def test_idle_stages_reject_no_job():
    """The target of a route leaves less time than its stages ever take.

    Without a longer limit, all its requests would be rejected, although no
    work is ahead of them and their callers would wait for the answer.
    """
    for priority in (0, 1, 2):
        scheduler = builders.scheduler()
        tight = builders.job(target_s=0.2, soft_limit_s=0.3, priority=priority)
        admitted = scheduler.admit(tight, 0.0)
        assert admitted is not None and admitted.deadline > 0.6
    assert scheduler.admit(tight._replace(hard_limit_s=0.2), 0.0) is None


def test_urgent_jobs_go_first_and_late_ones_last():
    scheduler = builders.scheduler(concurrency=4)
    low = scheduler.admit(builders.job("low", priority=2), 0.0)
    high = scheduler.admit(builders.job("high", priority=0), 0.0)
    late = scheduler.admit(builders.job("late", target_s=0.1), 0.0)
    assert high.rank < low.rank < late.rank
    assert late.will_miss_target


def test_jobs_wait_before_a_stage_while_the_next_one_is_busy():
    """The second stage is slow.

    If the first stage is far ahead of it, results fill the memory of the
    first, whose calls then go out with few pieces or none.
    """
    scheduler = builders.scheduler(concurrency=1)
    started = 0
    for number in range(12):
        admitted = scheduler.admit(
            builders.job(f"r{number}", target_s=99.0, soft_limit_s=99.0), 0.0
        )
        if scheduler.can_start(admitted, 0):
            scheduler.record_sent(admitted, 0, 2, 0.3)
            started += 1
    assert started * 4 <= scheduling.MAX_PENDING_CALLS * 4
    assert started >= 2


def test_estimates_include_the_wait_for_memory():
    """Stored results leave no memory for those of a new job."""
    free = builders.scheduler(stored_bytes=0)
    full = builders.scheduler(stored_bytes=5000)
    job = builders.job(target_s=0.6)
    assert free.admit(job, 0.0) is not None
    assert full.expected_lateness(job, 0.0) > 1.0


def test_the_least_urgent_jobs_are_not_starved():
    """Jobs of three priorities arrive at three times the capacity.

    If the least urgent always yielded, to their callers the service would
    seem down.
    """
    scheduler = builders.scheduler()
    rng = random.Random(7)
    admissions = [0, 0, 0]
    running = []
    for number in range(600):
        now = number * 0.05
        while running and running[0][0] <= now:
            scheduler.remove(running.pop(0)[1])
        priority = rng.choice((0, 1, 2))
        job = builders.job(f"r{number}", priority=priority)
        admitted = scheduler.admit(job, now)
        if admitted is not None and not admitted.will_miss_target:
            admissions[priority] += 1
            end = max([now, *(end for end, _ in running)]) + 0.15
            running.append((end, admitted))
    assert sum(admissions) > 100
    assert admissions[0] >= admissions[1] >= admissions[2]
    assert admissions[2] > 0.4 * sum(admissions) / 3


def test_a_large_team_does_not_crowd_out_a_small_one():
    """One team sends far more than the stages can process.

    Another sends far less than its share.  Without a limit on the first, its
    load causes jobs of the second to be rejected.
    """
    scheduler = builders.scheduler()
    rng = random.Random(7)
    sent = {"large": 0, "small": 0}
    admissions = {"large": 0, "small": 0}
    running = []
    for number in range(900):
        now = number * 0.05
        while running and running[0][0] <= now:
            scheduler.remove(running.pop(0)[1])
        team = "small" if rng.random() < 0.1 else "large"
        sent[team] += 1
        admitted = scheduler.admit(builders.job(f"r{number}", team=team), now)
        if admitted is not None and not admitted.will_miss_target:
            admissions[team] += 1
            end = max([now, *(end for end, _ in running)]) + 0.15
            running.append((end, admitted))
    assert admissions["small"] > 0.9 * sent["small"]
    assert admissions["large"] < 0.5 * sent["large"]
    # This does not leave the stages idle.
    assert sum(admissions.values()) > 0.9 * 900 * 0.05 / 0.15


def test_skipped_stages_take_no_time():
    scheduler = builders.scheduler()
    short = scheduler.expected_end(
        scheduling.AdmittedJob(builders.job(counts=(2, 0)), 9, 9, 0, False, 0),
        0.0,
    )
    both = scheduler.expected_end(
        scheduling.AdmittedJob(builders.job(counts=(2, 4)), 9, 9, 0, False, 0),
        0.0,
    )
    assert short < both


def test_min_remaining_time_after_a_stage():
    stages = builders.job().stages
    specs = {"first": builders.spec(), "second": builders.spec()}
    assert round(pieces.min_remaining_s(stages, 0, specs), 3) == 0.19
    assert pieces.min_remaining_s(stages, 1, specs) == 0.0


def test_pieces_are_upcoming_until_their_inputs_are_available():
    """The last call of a stage is in progress; the next stage follows."""
    scheduler = builders.scheduler()
    admitted = scheduler.admit(builders.job(counts=(2, 4)), 0.0)
    scheduler.record_sent(admitted, 0, 1, 0.3)
    assert not scheduler.upcoming("second", 0.0, 1.0)
    scheduler.record_sent(admitted, 0, 1, 0.4)
    (upcoming,) = scheduler.upcoming("second", 0.0, 1.0)
    assert (upcoming.count, upcoming.due_at) == (4, 0.4)
    assert not scheduler.upcoming("second", 0.0, 0.3)
    assert not scheduler.upcoming("second", 0.5, 1.0)
    scheduler.record_inputs(admitted, 1)
    assert not scheduler.upcoming("second", 0.0, 1.0)
    scheduler.record_sent(admitted, 0, 1, 0.6)
    scheduler.remove(admitted)
    assert not scheduler.upcoming("second", 0.0, 1.0)


def test_a_team_twice_as_large_as_four_others_does_not_yield():
    """Teams differ in size; the largest sends a third of all jobs.

    If it had to leave time for teams that do not use it, its jobs would be
    rejected while endpoints are idle.
    """
    scheduler = builders.scheduler()
    for _ in range(4):
        for team in ("large", "large", "a", "b", "c", "d"):
            scheduler.remove(scheduler.admit(builders.job(team=team), 0.0))
    # Work ahead that leaves just enough time.
    ahead = scheduler.admit(
        builders.job("ahead", counts=(24, 0), team="a"), 0.0
    )
    target_s = scheduler.expected_end(
        scheduling.AdmittedJob(builders.job(), 9, 9, 0, False, 99), 0.0
    )
    tight = builders.job(
        target_s=target_s + 0.05, soft_limit_s=target_s + 0.05
    )
    assert ahead is not None
    assert not scheduler.admit(
        tight._replace(team="large"), 0.0
    ).will_miss_target
