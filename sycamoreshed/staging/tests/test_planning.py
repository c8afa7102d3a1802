"""Which jobs are taken on, and what waits where."""

import random

from sycamoreshed.staging import pieces
from sycamoreshed.staging import planning
from sycamoreshed.staging.tests import builders


def test_a_job_that_cannot_be_in_time_is_refused_at_once():
    """Callers come faster than stages can work.

    Taken on, each would wait until its deadline and be late with all
    others; refused, it hears so at once, and those before it are in time.
    """
    plans = builders.plans()
    admitted = 0
    while plans.admit(builders.job(f"r{admitted}"), 0.0) is not None:
        admitted += 1
        assert admitted < 100
    assert 2 <= admitted <= 20
    assert plans.excess(builders.job("next"), 0.0) > 0


def test_the_load_of_a_burst_is_served_in_time():
    """Twice the load that two stages can carry comes for four seconds.

    Each admitted job is played through: a call takes its time, with as
    many jobs as fit.  Nine in ten of those that are taken on have to be
    done by their aim, and the stages must not run idle for it.
    """
    plans = builders.plans()
    service = builders.spec()
    arrivals = [0.05 * number for number in range(80)]
    done, late, refused = 0, 0, 0
    free_at = 0.0
    queue = []
    for now in arrivals:
        while queue and free_at <= now:
            plan = queue.pop(0)
            # The busier stage has four pieces a job, a call for each.
            free_at = max(free_at, plan.aim - 1.0) + service.call_s
            free_at += 4 * service.piece_s
            plans.started(plan, 0, 2, 0.3)
            plans.started(plan, 1, 4, 0.3)
            plans.drop(plan)
            late += free_at > plan.aim + 0.15
            done += 1
        plan = plans.admit(builders.job(f"r{now}"), now)
        if plan is None:
            refused += 1
        elif not plan.is_late:
            queue.append(plan)
    assert refused > 20
    assert late <= done / 10
    assert done >= 15


def test_stages_with_nothing_to_do_refuse_nothing():
    """A route's target leaves less time than its stages ever take.

    Its callers would be refused each time, though nobody is before them
    and they would wait for the answer.
    """
    for priority in (0, 1, 2):
        plans = builders.plans()
        tight = builders.job(target_s=0.2, soft_limit_s=0.3, priority=priority)
        plan = plans.admit(tight, 0.0)
        assert plan is not None and plan.deadline > 0.6
    assert plans.admit(tight._replace(hard_limit_s=0.2), 0.0) is None


def test_what_is_urgent_goes_first_and_what_is_late_last():
    plans = builders.plans(places=4)
    low = plans.admit(builders.job("low", priority=2), 0.0)
    high = plans.admit(builders.job("high", priority=0), 0.0)
    late = plans.admit(builders.job("late", target_s=0.1), 0.0)
    assert high.rank < low.rank < late.rank
    assert late.is_late


def test_work_waits_where_nothing_takes_room_yet():
    """The second stage is slow.

    With the first stage far ahead of it, results would fill the room of the
    first, whose calls then go out with few pieces or none.
    """
    plans = builders.plans(places=1)
    started = 0
    for number in range(12):
        plan = plans.admit(
            builders.job(f"r{number}", target_s=99.0, soft_limit_s=99.0), 0.0
        )
        if plans.may_start(plan, 0):
            plans.started(plan, 0, 2, 0.3)
            started += 1
    assert started * 4 <= planning.AHEAD_CALLS * 4
    assert started >= 2


def test_waiting_for_room_counts():
    """Results that are held leave no room for those of a new job."""
    free = builders.plans(held=0)
    full = builders.plans(held=5000)
    job = builders.job(target_s=0.6)
    assert free.admit(job, 0.0) is not None
    assert full.excess(job, 0.0) > 1.0


def test_the_least_urgent_are_not_starved():
    """Three kinds of requests press for long, three times the capacity.

    If the least urgent always yielded, their callers would see a service
    that is down.
    """
    plans = builders.plans()
    chance = random.Random(7)
    taken = [0, 0, 0]
    under_way = []
    for number in range(600):
        now = number * 0.05
        while under_way and under_way[0][0] <= now:
            plans.drop(under_way.pop(0)[1])
        priority = chance.choice((0, 1, 2))
        job = builders.job(f"r{number}", priority=priority)
        plan = plans.admit(job, now)
        if plan is not None and not plan.is_late:
            taken[priority] += 1
            end = max([now, *(end for end, _ in under_way)]) + 0.15
            under_way.append((end, plan))
    assert sum(taken) > 100
    assert taken[0] >= taken[1] >= taken[2]
    assert taken[2] > 0.4 * sum(taken) / 3


def test_a_large_team_does_not_crowd_out_a_small_one():
    """One team sends ten times as much as the stages can do.

    Another sends a little, and far less than its share; it is refused
    because of the first one's load.
    """
    plans = builders.plans()
    chance = random.Random(7)
    sent = {"large": 0, "small": 0}
    taken = {"large": 0, "small": 0}
    under_way = []
    for number in range(900):
        now = number * 0.05
        while under_way and under_way[0][0] <= now:
            plans.drop(under_way.pop(0)[1])
        team = "small" if chance.random() < 0.1 else "large"
        sent[team] += 1
        plan = plans.admit(builders.job(f"r{number}", team=team), now)
        if plan is not None and not plan.is_late:
            taken[team] += 1
            end = max([now, *(end for end, _ in under_way)]) + 0.15
            under_way.append((end, plan))
    assert taken["small"] > 0.9 * sent["small"]
    assert taken["large"] < 0.5 * sent["large"]
    # The stages are not left idle for it.
    assert sum(taken.values()) > 0.9 * 900 * 0.05 / 0.15


def test_stages_left_out_take_no_time():
    plans = builders.plans()
    short = plans.expected_end(
        planning.Plan(builders.job(counts=(2, 0)), 9, 9, 0, False, 0), 0.0
    )
    both = plans.expected_end(
        planning.Plan(builders.job(counts=(2, 4)), 9, 9, 0, False, 0), 0.0
    )
    assert short < both


def test_time_after_a_stage():
    stages = builders.job().stages
    specs = {"first": builders.spec(), "second": builders.spec()}
    assert round(pieces.time_after(stages, 0, specs), 3) == 0.19
    assert pieces.time_after(stages, 1, specs) == 0.0


def test_pieces_that_come_are_known_until_they_are_there():
    """A stage's call is under way, and the next stage's will have work."""
    plans = builders.plans()
    plan = plans.admit(builders.job(counts=(2, 4)), 0.0)
    plans.started(plan, 0, 1, 0.3)
    assert not plans.coming("second", 0.0, 1.0)
    plans.started(plan, 0, 1, 0.4)
    (coming,) = plans.coming("second", 0.0, 1.0)
    assert (coming.count, coming.due) == (4, 0.4)
    assert not plans.coming("second", 0.0, 0.3)
    assert not plans.coming("second", 0.5, 1.0)
    plans.arrived(plan, 1)
    assert not plans.coming("second", 0.0, 1.0)
    plans.started(plan, 0, 1, 0.6)
    plans.drop(plan)
    assert not plans.coming("second", 0.0, 1.0)


def test_a_team_twice_as_large_as_four_others_does_not_yield():
    """Teams differ in size; the largest sends a third of all.

    Made to yield to teams that are not there to use it, its callers are
    refused while endpoints wait for work.
    """
    plans = builders.plans()
    for _ in range(4):
        for team in ("large", "large", "a", "b", "c", "d"):
            plans.drop(plans.admit(builders.job(team=team), 0.0))
    # Work before it that leaves just the time to be done.
    ahead = plans.admit(builders.job("ahead", counts=(24, 0), team="a"), 0.0)
    target_s = plans.expected_end(
        planning.Plan(builders.job(), 9, 9, 0, False, 99), 0.0
    )
    tight = builders.job(
        target_s=target_s + 0.05, soft_limit_s=target_s + 0.05
    )
    assert ahead is not None
    assert not plans.admit(tight._replace(team="large"), 0.0).is_late
