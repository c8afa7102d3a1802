"""Runs the stages of a request before the request itself."""

import asyncio
import itertools
import typing

from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.staging import pieces

__all__ = ["Chain", "Job", "final_stages", "time_after"]

# Attempts at the pieces of a stage; each after the first is taken from
# the budget of repeats.
MOST_ATTEMPTS = 3
# Results take a moment to be fetched by whoever takes them as inputs.
FETCH_S = 0.02
# The aim of a request that cannot be in time.
NEVER = float("-inf")


class Job(typing.NamedTuple):
    """The stages of one request.

    Parameters
    ----------
    request : str
    stages : tuple of Stage
    counts : tuple of int
        Pieces of each stage.
    key : str or None
        What pieces of first stages are made from.
    aim, until : float
        Monotonic times by which all results should be there for the
        answer to be in time, and must be for there to be one.
    priority : int
        0 is the most urgent.
    """

    request: str
    stages: tuple
    counts: tuple
    key: str | None
    aim: float
    until: float
    priority: int


def final_stages(stages):
    """Return the indices of stages that no other stage follows.

    Examples
    --------
    >>> from sycamoreshed.catalog import types
    >>> final_stages([types.Stage("a"), types.Stage("b", (0,))])
    [1]
    """
    followed = set(itertools.chain.from_iterable(s.after for s in stages))
    return [i for i in range(len(stages)) if i not in followed]


def time_after(job, index, specs):
    """Return the least time from the end of a stage to all results.

    Parameters
    ----------
    job : Job
    index : int
    specs : dict of str to PieceSpec

    Returns
    -------
    float
        Seconds, if nothing waits anywhere.
    """
    longest = 0.0
    for later, stage in enumerate(job.stages):
        if index in stage.after and job.counts[later]:
            least = _least(job, later, specs)
            longest = max(longest, least + time_after(job, later, specs))
    return longest


def _least(job, index, specs):
    spec = specs.get(job.stages[index].service)
    if spec is None:
        return 0.0
    return spec.call_s + min(job.counts[index], spec.batch) * spec.piece_s


class Chain:
    """Runs stages, each as soon as those before it are done.

    Parameters
    ----------
    owners : Owners
    budget : RepeatBudget
    catalog : Catalog
    peers : PeerBook
    journal : Journal
    clock : callable
    spawn : callable
    """

    def __init__(
        self, *, owners, budget, catalog, peers, journal, clock, spawn
    ):
        self._owners = owners
        self._budget = budget
        self._catalog = catalog
        self._peers = peers
        self._journal = journal
        self._clock = clock
        self._spawn = spawn

    async def run(self, job, kept):
        """Run all stages of a job.

        Parameters
        ----------
        job : Job
        kept : list of str
            Gets the handles of results, also if this fails; `free` them
            when nobody needs them any more.

        Returns
        -------
        list of str or Failure
            Handles of the final stages' results, in order.
        """
        loop = asyncio.get_running_loop()
        done = [loop.create_future() for _ in job.stages]
        specs = self._specs(job)
        if self._ends(job, specs, "late") > job.until:
            # Known now, so told now, before any work is done in vain.
            return kinds.Failure(
                kinds.Kind.HOPELESS, "stages are busy for too long"
            )
        if self._ends(job, specs, "timely") > job.aim:
            # It goes behind those that can be in time, in all stages: with
            # the first ones done and the last ones late, it would have
            # made others late for nothing.
            job = job._replace(aim=NEVER)
        tasks = [
            asyncio.create_task(self._stage(job, index, specs, done, kept))
            for index in range(len(job.stages))
        ]
        try:
            for finished in asyncio.as_completed(tasks):
                result = await finished
                if isinstance(result, kinds.Failure):
                    return result
            handles = []
            for index in final_stages(job.stages):
                handles += done[index].result()
            return handles
        finally:
            for task in tasks:
                task.cancel()

    def zone_bytes(self, handles, stages):
        """Return the bytes of final results that lie in each zone."""
        if not handles:
            return {}
        # All final stages' results are of about the same size, or only
        # the largest matters.
        size = max(stages[i].result_bytes for i in final_stages(stages))
        return self._owners.zone_bytes(handles, [size] * len(handles))

    def free(self, handles):
        """Give up results."""
        for call in self._owners.free(handles):
            self._spawn(call, name="free results")

    def _ends(self, job, specs, which):
        """Return when all results can be there, by what queues tell.

        Parameters
        ----------
        which : str
            Field of `Waits`.
        """
        now = self._clock()
        ends = []
        for index, stage in enumerate(job.stages):
            begin = max((ends[before] for before in stage.after), default=now)
            if job.counts[index]:
                waits = self._owners.expected_waits(stage.service, now)
                begin += getattr(waits, which) + _least(job, index, specs)
            ends.append(begin)
        return max(ends, default=now)

    def _waits_after(self, job, index):
        """Return the expected waits of stages that follow a stage."""
        now = self._clock()
        longest = 0.0
        for later, stage in enumerate(job.stages):
            if index in stage.after and job.counts[later]:
                waits = self._owners.expected_waits(stage.service, now)
                after = waits.timely + self._waits_after(job, later)
                longest = max(longest, after)
        return longest

    def _specs(self, job):
        services = self._catalog.configuration.services
        found = {}
        for stage in job.stages:
            service = services.get(stage.service)
            if service is not None and service.pieces is not None:
                found[stage.service] = service.pieces
        return found

    async def _stage(self, job, index, specs, done, kept):
        stage = job.stages[index]
        inputs = []
        for before in stage.after:
            inputs += await done[before]
        handles = []
        if job.counts[index]:
            result = await self._make(job, index, inputs, specs)
            if isinstance(result, kinds.Failure):
                return result
            handles = result
            kept += handles
        done[index].set_result(handles)
        self._free_inputs(job, index, done, kept)
        return None

    def _free_inputs(self, job, index, done, kept):
        """Free what only stages that are done by now took as inputs."""
        for before in job.stages[index].after:
            takers = [
                later
                for later, stage in enumerate(job.stages)
                if before in stage.after
            ]
            if all(done[later].done() for later in takers):
                handles = done[before].result()
                self.free(handles)
                for handle in handles:
                    if handle in kept:
                        kept.remove(handle)

    async def _make(self, job, index, inputs, specs):
        """Have the pieces of a stage made; return handles or a failure."""
        stage = job.stages[index]
        handles = [None] * job.counts[index]
        avoid = set()
        self._budget.earn(stage.service, self._clock())
        for attempt in range(1, MOST_ATTEMPTS + 1):
            ask = self._ask(job, index, inputs, specs, handles)
            if ask.until_s < _least(job, index, specs):
                return kinds.Failure(
                    kinds.Kind.HOPELESS, f"no time for {stage.service}"
                )
            zone = self._owners.choose_zone(ask, self._clock(), avoid)
            self._tell(ask, zone)
            made = await self._owners.make(ask, avoid=avoid)
            self._take(made, ask, handles)
            failure = _failure(made)
            if failure is None:
                return handles
            avoid.add(zone)
            if attempt == MOST_ATTEMPTS or not self._may_repeat(
                job, stage, failure, attempt
            ):
                self.free([each for each in handles if each])
                return failure

    def _ask(self, job, index, inputs, specs, handles):
        """Return the `Ask` for the pieces that are not there yet."""
        now = self._clock()
        stage = job.stages[index]
        after = time_after(job, index, specs) + FETCH_S
        least = _least(job, index, specs)
        return pieces.Ask(
            service=stage.service,
            request=job.request,
            stage=index,
            indices=[i for i, handle in enumerate(handles) if not handle],
            size=stage.result_bytes,
            input_size=max(
                (job.stages[before].result_bytes for before in stage.after),
                default=0,
            ),
            is_final=index in final_stages(job.stages),
            aim_s=max(
                -1.0,
                job.aim - after - self._waits_after(job, index) - least - now,
            ),
            until_s=job.until - after - now,
            key=None if inputs else job.key,
            inputs=inputs,
            priority=job.priority,
        )

    def _tell(self, ask, zone):
        self._journal.write(
            "pieces",
            request=ask.request,
            stage=ask.stage,
            pieces=len(ask.indices),
            zone=zone,
            aim_s=round(ask.aim_s, 3),
            until_s=round(ask.until_s, 3),
        )

    def _take(self, made, ask, handles):
        if isinstance(made, pieces.Made):
            for index, result in zip(ask.indices, made.results, strict=True):
                handles[index] = result.handle

    def _may_repeat(self, job, stage, failure, attempt):
        if failure.kind is kinds.Kind.HOPELESS:
            return False
        # Asked for again with the same inputs, it would be gone again.
        why = failure.reason
        allowed = why != "gone"
        if allowed and failure.sent:
            allowed = self._budget.spend(
                stage.service, self._clock(), self._peers.count()
            )
        self._journal.write(
            "retry" if allowed else "no_retry",
            request=job.request,
            attempt=attempt + 1,
            why=f"{stage.service}: {why}",
            budget=None,
        )
        return allowed


def _failure(made):
    """Return the failure of a stage's pieces, or None if all are there."""
    if isinstance(made, kinds.Failure):
        # What left for an endpoint is known only to who batched them.
        return made
    bad = [each for each in made.results if each.handle is None]
    if not bad:
        return None
    sent = any(each.sent for each in bad)
    why = bad[0].why
    kind = kinds.Kind.STAGE_FAILED
    if all(each.why == "late" for each in bad):
        kind = kinds.Kind.HOPELESS
    return kinds.Failure(kind, why, sent)


@kernel.plugin("chain", needs=("owners", "budget", "catalog", "peers"))
async def chain(core):
    """Provide the runner of stages."""
    yield Chain(
        owners=core.part("owners"),
        budget=core.part("budget"),
        catalog=core.part("catalog"),
        peers=core.part("peers"),
        journal=core.part("journal"),
        clock=core.clock,
        spawn=core.spawn,
    )
