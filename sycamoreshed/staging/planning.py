"""What a queue's stages have before them, and which jobs go first.

All jobs of a queue are known in one place, so the time a new one will take
can be told when it comes: every job ahead of it has to go through the same
busiest service.
"""

import collections
import typing

from sycamoreshed.staging import pieces
from sycamoreshed.staging import pool
from sycamoreshed.staging import usage
from sycamoreshed.staging import waits

__all__ = ["Coming", "Plan", "Plans"]

# A request of the next lower priority yields as if its answer were due this
# much later.  It exceeds the usual differences between targets, which would
# outweigh priority otherwise.
PRIORITY_STEP_S = 0.8
# What a job of the next lower priority leaves of its time for more urgent
# ones that come while it waits and overtake it.
RESERVE_S = 0.25
# What a job leaves of its time for those of other teams if its team has used
# far more than an equal share lately.  It exceeds the work of one job, or a
# team that floods the stages has the jobs of all others refused.
TEAM_RESERVE_S = 0.2
# Share of jobs admitted, by priority and of all.  A priority whose share is
# below this part of all jobs' goes before the others, which leave some of
# their time for it: going first alone does not help a kind of request that
# has a little less time to spare than others.
FAIR_SHARE = 0.75
NEGLECTED = -1
NEGLECT_RESERVE_S = 0.2
SHARE_WEIGHT = 0.025
ALL = None
# Calls go out with this share of the pieces they may hold, on the average
# under load: requests do not fit together exactly.
FILL_SHARE = 0.75
# Pieces that may wait for a stage, in full calls of all its endpoints, with
# those that are on their way to it.  More, and results that wait to be
# fetched fill the room of the stage before, whose calls then go out nearly
# empty; less, and an endpoint that is done finds nothing to do.
AHEAD_CALLS = 4.0
# Places that are counted at the least, so that nothing is divided by zero
# where a zone has no endpoint for the moment.
LEAST_PLACES = 0.1
# Expected time that a result takes room: its call, the transfer to the engine
# and the call that frees it.
HELD_S = 0.6


# A job that will be late is admitted if the time it has exceeds the time it
# needs now by this factor: jobs that can be in time overtake it.
LATE_FACTOR = 1.6


# A job is given this many times the least time that its stages take, where
# its route's target leaves less: otherwise requests of a route with a tight
# target were refused by stages that have nothing to do.
LEAST_FACTOR = 2.0


class Plan(typing.NamedTuple):
    """A job under way.

    Parameters
    ----------
    job : Job
    aim, deadline : float
        Monotonic times by which it should be done, and after which it
        is given up.
    priority : int
        Of its route, or `NEGLECTED`.
    is_late : bool
        Whether it cannot be in time; goes behind those that can.
    order : int
        Of arrival.
    began : float
        Monotonic time at which it was taken on.
    ahead_s : float
        Seconds of work ahead of it then.
    """

    job: typing.Any
    aim: float
    deadline: float
    priority: int
    is_late: bool
    order: int
    began: float = 0.0
    ahead_s: float = 0.0

    @property
    def rank(self):
        """The least goes first."""
        yields = self.job.team_priority + self.priority
        urgency = self.aim + PRIORITY_STEP_S * yields
        return self.is_late, urgency, self.order


class Coming(typing.NamedTuple):
    """Pieces that will wait as soon as a call of the stage before ends."""

    service: str
    count: int
    due: float


class _Load(typing.NamedTuple):
    """Pieces that jobs still need of a service, and bytes of results."""

    count: int = 0
    size: int = 0


_NO_LOAD = _Load()


class Plans:
    """The jobs of a queue.

    Parameters
    ----------
    specs : callable
        Takes the name of a service, returns its `PieceSpec` or None.
    places : callable
        Takes the name of a service, returns how many calls its endpoints
        work on at a time.
    held : callable
        Takes the name of a service, returns the bytes of results that
        its endpoints hold.
    """

    def __init__(self, *, specs, places, held):
        self._specs = specs
        self._places = places
        self._held = held
        self._plans = {}
        self._ranks = {}
        self._left = {}
        # Stages whose results of the stage before are there or being made,
        # and their pieces by service.
        self._ahead = {}
        self._ahead_of = collections.Counter()
        # Those of them whose results are still being made, and until when.
        self._coming = {}
        self._order = 0
        self._shares = {}
        self._waits = waits.WaitFactor()
        self._usage = usage.TeamUsage()

    def admit(self, job, now):
        """Take a job, or return None if it cannot be done in time.

        Returns
        -------
        Plan or None
        """
        self._order += 1
        priority = job.priority
        reserve = RESERVE_S * priority
        if self._is_neglected(priority):
            priority = NEGLECTED
            reserve = 0.0
        elif any(map(self._is_neglected, self._shares)):
            reserve = max(reserve, NEGLECT_RESERVE_S)
        if self._usage.is_heavy(job.team, now):
            reserve += TEAM_RESERVE_S
        least = self._least(job)
        patience = max(job.soft_limit_s, LEAST_FACTOR * least)
        plan = Plan(
            job=job,
            aim=now + job.target_s,
            deadline=now + min(job.hard_limit_s, patience),
            priority=priority,
            is_late=False,
            order=self._order,
        )
        ahead = self._busy(plan)
        plan = plan._replace(began=now, ahead_s=ahead)
        busy = self._waits.factor * ahead
        if now + busy + least + (reserve if busy else 0.0) > plan.aim:
            plan = plan._replace(is_late=True)
            if not self._is_late_worth(plan, least, now):
                self._observe(job.priority, 0.0)
                return None
        self._observe(job.priority, 1.0)
        self._usage.add(job.team, now)
        self._plans[self._order] = plan
        self._ranks[self._order] = plan.rank
        self._left[self._order] = {
            index: stage.count for index, stage in enumerate(job.stages)
        }
        return plan

    def _is_late_worth(self, plan, least, now):
        """Return whether a job that cannot be in time is taken on.

        Behind all that can be in time it is overtaken again and again
        while those keep coming.  Where nothing is ahead it is done as
        fast as it ever can be.
        """
        busy = self._waits.factor * self._busy(plan)
        if busy:
            return (busy + least) * LATE_FACTOR <= plan.job.soft_limit_s
        return now + least <= plan.deadline

    def _observe(self, priority, taken):
        for key in (priority, ALL):
            share = self._shares.get(key, 1.0)
            self._shares[key] = share + SHARE_WEIGHT * (taken - share)

    def _is_neglected(self, priority):
        """Return whether routes of a priority are refused far more often.

        Under load that lasts, those that always yield would hardly be
        served at all: their callers would see a service that is down,
        while others lose little when they are not.
        """
        share = self._shares.get(priority, 1.0)
        return share < FAIR_SHARE * self._shares.get(ALL, 1.0)

    def excess(self, job, now):
        """Return by how much a job would miss its aim, in seconds."""
        plan = Plan(job, now + job.target_s, now, 0, False, self._order)
        return max(0.0, self.expected_end(plan, now) - plan.aim)

    def done(self, plan, now):
        """Learn from a job whose results are all there."""
        if not plan.is_late:
            waited = now - plan.began - self._least(plan.job)
            self._waits.observe(plan.ahead_s, waited)

    def drop(self, plan):
        """Forget a job that is done or given up."""
        self._plans.pop(plan.order, None)
        self._ranks.pop(plan.order, None)
        self._left.pop(plan.order, None)
        for index in range(len(plan.job.stages)):
            self._pass(plan, index)

    def started(self, plan, index, count, ready):
        """Note that pieces of a stage were sent in a call.

        Parameters
        ----------
        plan : Plan
        index, count : int
            Of the stage, and how many pieces.
        ready : float
            Monotonic time at which the call should end.
        """
        left = self._left.get(plan.order)
        if left is None:
            return
        left[index] = max(0, left[index] - count)
        self._pass(plan, index)
        for later, stage in enumerate(plan.job.stages):
            if index in stage.after and (plan.order, later) not in self._ahead:
                self._ahead[plan.order, later] = (stage.service, stage.count)
                self._ahead_of[stage.service] += stage.count
            if index in stage.after and stage.count and not left[index]:
                self._coming[plan.order, later] = Coming(
                    stage.service, stage.count, ready
                )

    def arrived(self, plan, index):
        """Note that the inputs of a stage are there."""
        self._coming.pop((plan.order, index), None)

    def coming(self, service, now, until):
        """Return the `Coming` of a service due in a time, soonest first."""
        found = [
            each
            for each in self._coming.values()
            if each.service == service and now <= each.due <= until
        ]
        return sorted(found, key=lambda each: each.due)

    def _pass(self, plan, index):
        """Count a stage no longer as one that is about to be sent."""
        self._coming.pop((plan.order, index), None)
        service, count = self._ahead.pop((plan.order, index), (None, 0))
        self._ahead_of[service] -= count

    def may_start(self, plan, index):
        """Return whether pieces of a stage may be sent now.

        Notes
        -----
        Waits where nothing is held yet, instead of where results of the
        stage before take room.
        """
        if self._is_early(plan, index):
            return False
        for later, stage in enumerate(plan.job.stages):
            if index not in stage.after or not stage.count:
                continue
            if (plan.order, later) in self._ahead:
                # Some of its pieces have been sent already.
                continue
            waiting = self._ahead_of[stage.service]
            spec = self._specs(stage.service)
            places = max(1.0, self._places(stage.service))
            if waiting and waiting + stage.count > (
                AHEAD_CALLS * places * spec.batch
            ):
                return False
        return True

    def _is_early(self, plan, index):
        """Return whether results would only lie and wait for other stages.

        Notes
        -----
        An engine fetches the results of all final stages together.  Made
        while a branch of three stages has just begun, 3 MB lie for a
        second or more, and room for some six of them is all that an
        endpoint has: its calls then go out with one or two pieces while
        requests wait for room.
        """
        stages = plan.job.stages
        stage = stages[index]
        spec = self._specs(stage.service)
        final = pieces.final_stages(stages)
        if index not in final or not pool.is_large(stage.size, spec):
            return False
        left = self._left.get(plan.order, {})
        return any(
            left.get(before, 0)
            for other in final
            if other != index
            for before in stages[other].after
        )

    def expected_end(self, plan, now):
        """Return when all results of a job should be there."""
        busy = self._waits.factor * self._busy(plan)
        return now + busy + self._least(plan.job)

    def _busy(self, plan):
        """Return the seconds of work ahead of a job, where it is most."""
        rank = plan.rank
        loads = self._loads(
            order
            for order, other in self._ranks.items()
            if other < rank and order != plan.order
        )
        busiest = 0.0
        for stage in plan.job.stages:
            if stage.count:
                load = loads.get(stage.service, _NO_LOAD)
                work = self._work(stage.service, load)
                size = stage.count * stage.size + load.size
                room = self._room_wait(stage.service, size)
                busiest = max(busiest, work, room)
        return busiest

    def _least(self, job):
        """Return the seconds a job takes if nothing waits anywhere."""
        specs = {s.service: self._specs(s.service) for s in job.stages}
        first = [
            pieces.least_time(stage, specs[stage.service])
            + pieces.time_after(job.stages, index, specs)
            for index, stage in enumerate(job.stages)
            if stage.count and not stage.after
        ]
        return max(first, default=0.0)

    def backlog(self):
        """Return the seconds of work before each service's endpoints."""
        return {
            name: max(self._work(name, load), self._room_wait(name, load.size))
            for name, load in self._loads(self._plans).items()
        }

    def _loads(self, orders):
        """Return what is left of jobs, by service, in one pass.

        Services whose pieces have all been sent are among them.
        """
        loads = {}
        for order in orders:
            left = self._left[order]
            for index, stage in enumerate(self._plans[order].job.stages):
                count, size = loads.get(stage.service, _NO_LOAD)
                count += left[index]
                size += left[index] * stage.size
                loads[stage.service] = _Load(count, size)
        return loads

    def _work(self, service, load):
        """Return the seconds a service needs for what is left of jobs."""
        spec = self._specs(service)
        if spec is None:
            return 0.0
        places = max(LEAST_PLACES, self._places(service))
        count = load.count
        if load.size > spec.room_bytes * places:
            # The rest waits for room and is not before anybody else.
            count *= spec.room_bytes * places / load.size
        each = spec.piece_s + spec.call_s / (FILL_SHARE * spec.batch)
        return count * each / places

    def _room_wait(self, service, size):
        """Return the seconds until results of `size` bytes find room."""
        spec = self._specs(service)
        if spec is None:
            return 0.0
        size += self._held(service)
        room = spec.room_bytes * max(1.0, self._places(service))
        return max(0.0, size / room - 1.0) * HELD_S
