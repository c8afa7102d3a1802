"""Admission and order of the jobs in a zone's queue.

The scheduler has all jobs of the queue in one place, so it can estimate on
arrival when a new job will end: its wait is the work of the jobs ahead of it
at the busiest of its services.
"""

import collections
import typing

from sycamoreshed.staging import pieces
from sycamoreshed.staging import queueing
from sycamoreshed.staging import usage
from sycamoreshed.staging import waits

__all__ = ["AdmittedJob", "Scheduler", "UpcomingPieces"]

# Jobs are ordered by target time; each lower priority level adds this much to
# it.  It exceeds the usual differences between targets, which would outweigh
# priority otherwise.
PRIORITY_STEP_S = 0.8
# Slack that a job with work ahead of it needs at admission, for each level of
# its route's priority: more urgent jobs that arrive later will overtake it.
PRIORITY_SLACK_S = 0.25
# Extra slack for a job whose team has recently used far more than an equal
# share.  It exceeds the work of one job; otherwise a team that floods the
# stages has the jobs of all others rejected.
TEAM_SLACK_S = 0.2
# The admission ratio, the share of jobs admitted, is averaged for each
# priority and for all jobs.  A priority with less than this fraction of the
# overall ratio is underserved: its jobs are ordered one level before priority
# 0, and all others need `UNDERSERVED_SLACK_S`.  Order alone does not help jobs
# that have slightly less slack than others.
MIN_RELATIVE_RATIO = 0.75
UNDERSERVED_PRIORITY = -1
UNDERSERVED_SLACK_S = 0.2
# Weight of the newest job in an admission ratio.
RATIO_WEIGHT = 0.025
ALL_PRIORITIES = None
# Average fill of calls under load, as a fraction of the largest batch: the
# pieces of different requests do not pack exactly.
MEAN_FILL = 0.75
# Limit on the pending pieces of a service (including those whose inputs are
# being computed), in full calls of all its endpoints.  With a higher one,
# results that wait to be fetched fill the memory of the preceding stage, whose
# calls then go out nearly empty; with a lower one, an endpoint that finishes
# finds nothing to do.
MAX_PENDING_CALLS = 4.0
# Lower bound of the concurrency in estimates of work; avoids a division by
# zero while a zone has no endpoint.
MIN_CONCURRENCY = 0.1
# Expected time that a result occupies memory: its call, the transfer (to the
# engine, for final results) and the call that frees it.
RESULT_LIFETIME_S = 0.6


# A job that will miss its target is admitted behind others only if its soft
# limit is at least this multiple of its expected time, because jobs that can
# meet their targets overtake it.
LATE_FACTOR = 1.6


class AdmittedJob(typing.NamedTuple):
    """A job in the queue, with its times and its position.

    Parameters
    ----------
    job : Job
    target_at, deadline : float
        Monotonic times by which it should be done, and after which it
        is abandoned.
    priority : int
        Of its route, or `UNDERSERVED_PRIORITY`.
    will_miss_target : bool
        Whether it is expected to miss its target; such jobs go behind
        all others.
    sequence : int
        Number in order of arrival.
    admitted_at : float
        Monotonic time.
    work_ahead_s : float
        Seconds of work ahead of it when it was admitted.
    """

    job: typing.Any
    target_at: float
    deadline: float
    priority: int
    will_miss_target: bool
    sequence: int
    admitted_at: float = 0.0
    work_ahead_s: float = 0.0

    @property
    def rank(self):
        """Sort key; the job with the smallest goes first."""
        level = self.job.team_priority + self.priority
        urgency = self.target_at + PRIORITY_STEP_S * level
        return self.will_miss_target, urgency, self.sequence


class UpcomingPieces(typing.NamedTuple):
    """Pieces that can be sent once the call of the stage before ends."""

    service: str
    count: int
    due_at: float


class _Load(typing.NamedTuple):
    """Unsent pieces of a service, and bytes of their results."""

    count: int = 0
    result_bytes: int = 0


_NO_LOAD = _Load()


class Scheduler:
    """Admits the jobs of a queue and decides when their stages start.

    Parameters
    ----------
    find_spec : callable
        Takes the name of a service, returns its `PieceSpec` or None.
    concurrency : callable
        Takes the name of a service, returns how many calls its endpoints
        process at a time.
    stored_bytes : callable
        Takes the name of a service, returns the bytes of results that
        its endpoints store or compute.
    """

    def __init__(self, *, find_spec, concurrency, stored_bytes):
        self._find_spec = find_spec
        self._concurrency = concurrency
        self._stored_bytes = stored_bytes
        # By sequence number: jobs, their ranks, and how many pieces of each
        # stage have not been sent.
        self._jobs = {}
        self._ranks = {}
        self._unsent = {}
        # Stages of which no piece has been sent, but one of a stage before
        # them has; with their services and pieces.
        self._pending = {}
        self._pending_pieces = collections.Counter()
        # Those of them that follow a stage whose pieces have all been sent,
        # and when its last call should end.
        self._upcoming = {}
        self._sequence = 0
        self._admission_ratios = {}
        self._wait_factor = waits.WaitFactor()
        self._usage = usage.TeamUsage()

    def admit(self, job, now):
        """Admit a job, or return None if it would be too late.

        Returns
        -------
        AdmittedJob or None
        """
        self._sequence += 1
        priority = job.priority
        slack_s = PRIORITY_SLACK_S * priority
        if self._is_underserved(priority):
            priority = UNDERSERVED_PRIORITY
            slack_s = 0.0
        elif any(map(self._is_underserved, self._admission_ratios)):
            slack_s = max(slack_s, UNDERSERVED_SLACK_S)
        if self._usage.is_heavy(job.team, now):
            slack_s += TEAM_SLACK_S
        min_s = self._min_job_s(job)
        admitted = AdmittedJob(
            job=job,
            target_at=now + job.target_s,
            deadline=now + pieces.time_limit_s(job, min_s),
            priority=priority,
            will_miss_target=False,
            sequence=self._sequence,
        )
        ahead_s = self._work_ahead_s(admitted)
        admitted = admitted._replace(admitted_at=now, work_ahead_s=ahead_s)
        wait_s = self._wait_factor.factor * ahead_s
        if now + wait_s + min_s + (slack_s if wait_s else 0.0) > (
            admitted.target_at
        ):
            admitted = admitted._replace(will_miss_target=True)
            if not self._can_admit_late(admitted, min_s, now):
                self._update_ratios(job.priority, 0.0)
                return None
        self._update_ratios(job.priority, 1.0)
        self._usage.add(job.team, now)
        self._jobs[self._sequence] = admitted
        self._ranks[self._sequence] = admitted.rank
        self._unsent[self._sequence] = {
            index: stage.count for index, stage in enumerate(job.stages)
        }
        return admitted

    def _can_admit_late(self, admitted, min_s, now):
        """Return whether to admit a job that will miss its target.

        Behind all jobs that can meet their targets, it is overtaken as
        long as those keep arriving.  With nothing ahead of it, it runs
        as fast as it ever can.
        """
        wait_s = self._wait_factor.factor * self._work_ahead_s(admitted)
        if wait_s:
            return (wait_s + min_s) * LATE_FACTOR <= (
                admitted.job.soft_limit_s
            )
        return now + min_s <= admitted.deadline

    def _update_ratios(self, priority, is_admitted):
        for key in (priority, ALL_PRIORITIES):
            ratio = self._admission_ratios.get(key, 1.0)
            self._admission_ratios[key] = ratio + RATIO_WEIGHT * (
                is_admitted - ratio
            )

    def _is_underserved(self, priority):
        """Return whether jobs of a priority are rejected far more often.

        Under sustained load, those that always yield would hardly be
        served at all: to their callers the service would seem down,
        while other callers lose little if they yield now and then.
        """
        ratio = self._admission_ratios.get(priority, 1.0)
        return ratio < MIN_RELATIVE_RATIO * self._admission_ratios.get(
            ALL_PRIORITIES, 1.0
        )

    def expected_lateness(self, job, now):
        """Return by how many seconds a new job would miss its target.

        Estimated at the most urgent route priority and without slack.
        """
        candidate = AdmittedJob(
            job, now + job.target_s, now, 0, False, self._sequence
        )
        return max(
            0.0, self.expected_end(candidate, now) - candidate.target_at
        )

    def expected_s(self, job, now):
        """Return the seconds after which a new job should be done."""
        candidate = AdmittedJob(
            job,
            now + job.target_s,
            now,
            job.priority,
            False,
            self._sequence + 1,
        )
        return self.expected_end(candidate, now) - now

    def record_completion(self, admitted, now):
        """Adjust the wait factor by a job whose results are complete."""
        if not admitted.will_miss_target:
            waited_s = (
                now - admitted.admitted_at - self._min_job_s(admitted.job)
            )
            self._wait_factor.observe(admitted.work_ahead_s, waited_s)

    def remove(self, admitted):
        """Remove a job that is done or abandoned."""
        self._jobs.pop(admitted.sequence, None)
        self._ranks.pop(admitted.sequence, None)
        self._unsent.pop(admitted.sequence, None)
        for index in range(len(admitted.job.stages)):
            self._clear_pending(admitted, index)

    def record_sent(self, admitted, index, count, expected_end):
        """Record that pieces of a stage were sent in a call.

        Parameters
        ----------
        admitted : AdmittedJob
        index, count : int
            Of the stage, and how many pieces.
        expected_end : float
            Monotonic time at which the call should end.
        """
        unsent = self._unsent.get(admitted.sequence)
        if unsent is None:
            return
        unsent[index] = max(0, unsent[index] - count)
        self._clear_pending(admitted, index)
        for later, stage in enumerate(admitted.job.stages):
            if index in stage.after and (
                (admitted.sequence, later) not in self._pending
            ):
                self._pending[admitted.sequence, later] = (
                    stage.service,
                    stage.count,
                )
                self._pending_pieces[stage.service] += stage.count
            if index in stage.after and stage.count and not unsent[index]:
                self._upcoming[admitted.sequence, later] = UpcomingPieces(
                    stage.service, stage.count, expected_end
                )

    def record_inputs(self, admitted, index):
        """Record that the inputs of a stage are available."""
        self._upcoming.pop((admitted.sequence, index), None)

    def upcoming(self, service, now, deadline):
        """Return the `UpcomingPieces` of a service due by a deadline.

        In order of time.
        """
        found = [
            each
            for each in self._upcoming.values()
            if each.service == service and now <= each.due_at <= deadline
        ]
        return sorted(found, key=lambda each: each.due_at)

    def _clear_pending(self, admitted, index):
        """Remove a stage from the pending ones."""
        self._upcoming.pop((admitted.sequence, index), None)
        service, count = self._pending.pop(
            (admitted.sequence, index), (None, 0)
        )
        self._pending_pieces[service] -= count

    def can_start(self, admitted, index):
        """Return whether pieces of a stage may be sent now.

        Notes
        -----
        Jobs wait before a stage, while they have no results yet, rather
        than after it, where results occupy memory.
        """
        if self._is_premature(admitted, index):
            return False
        for later, stage in enumerate(admitted.job.stages):
            if index not in stage.after or not stage.count:
                continue
            if (admitted.sequence, later) in self._pending:
                # Counted already: pieces of a stage before it were sent.
                continue
            pending = self._pending_pieces[stage.service]
            spec = self._find_spec(stage.service)
            concurrency = max(1.0, self._concurrency(stage.service))
            if pending and pending + stage.count > (
                MAX_PENDING_CALLS * concurrency * spec.batch
            ):
                return False
        return True

    def _is_premature(self, admitted, index):
        """Return whether results would only wait for those of other stages.

        Notes
        -----
        An engine fetches the results of all final stages together.  If a
        large one is computed while another branch, of three stages, has
        just begun, its 3 MB occupy memory for a second or more.  An
        endpoint has memory for about six of them: its calls then go out
        with one or two pieces, while requests wait for memory.
        """
        stages = admitted.job.stages
        stage = stages[index]
        spec = self._find_spec(stage.service)
        final = pieces.final_stages(stages)
        if index not in final or not queueing.is_large_result(
            stage.result_bytes, spec
        ):
            return False
        unsent = self._unsent.get(admitted.sequence, {})
        return any(
            unsent.get(before, 0)
            for other in final
            if other != index
            for before in stages[other].after
        )

    def expected_end(self, admitted, now):
        """Return when all results of a job should be available."""
        wait_s = self._wait_factor.factor * self._work_ahead_s(admitted)
        return now + wait_s + self._min_job_s(admitted.job)

    def _work_ahead_s(self, admitted):
        """Return the seconds of work ahead of a job at its busiest service."""
        rank = admitted.rank
        loads = self._loads(
            sequence
            for sequence, other in self._ranks.items()
            if other < rank and sequence != admitted.sequence
        )
        longest_s = 0.0
        for stage in admitted.job.stages:
            if stage.count:
                load = loads.get(stage.service, _NO_LOAD)
                work_s = self._work_s(stage.service, load)
                size = stage.count * stage.result_bytes + load.result_bytes
                memory_s = self._memory_wait_s(stage.service, size)
                longest_s = max(longest_s, work_s, memory_s)
        return longest_s

    def _min_job_s(self, job):
        """Return the seconds a job takes if nothing is ahead of it."""
        return pieces.min_job_s(job.stages, self._find_spec)

    def backlog(self):
        """Return the seconds until each service could do its queued work."""
        return {
            name: max(
                self._work_s(name, load),
                self._memory_wait_s(name, load.result_bytes),
            )
            for name, load in self._loads(self._jobs).items()
        }

    def _loads(self, sequences):
        """Return what jobs still need, by service, in one pass.

        Includes services whose pieces have all been sent.
        """
        loads = {}
        for sequence in sequences:
            unsent = self._unsent[sequence]
            for index, stage in enumerate(self._jobs[sequence].job.stages):
                count, size = loads.get(stage.service, _NO_LOAD)
                count += unsent[index]
                size += unsent[index] * stage.result_bytes
                loads[stage.service] = _Load(count, size)
        return loads

    def _work_s(self, service, load):
        """Return the seconds a service needs for a load."""
        spec = self._find_spec(service)
        if spec is None:
            return 0.0
        concurrency = max(MIN_CONCURRENCY, self._concurrency(service))
        count = load.count
        if load.result_bytes > spec.memory_bytes * concurrency:
            # Count only pieces whose results fit in memory: the rest wait
            # for memory and do not delay other jobs.
            count *= spec.memory_bytes * concurrency / load.result_bytes
        piece_s = spec.piece_s + spec.call_s / (MEAN_FILL * spec.batch)
        return count * piece_s / concurrency

    def _memory_wait_s(self, service, size):
        """Return the seconds until `size` bytes of results fit in memory."""
        spec = self._find_spec(service)
        if spec is None:
            return 0.0
        size += self._stored_bytes(service)
        memory = spec.memory_bytes * max(1.0, self._concurrency(service))
        return max(0.0, size / memory - 1.0) * RESULT_LIFETIME_S
