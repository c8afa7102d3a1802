"""Waiting for room in the memory of engines.

The load that it answers: callers want more memory than all engines have, some
of them much more than others.  Requests wait at their instance, the most
urgent first, and tell other instances how much they want, as part of what
this instance has at engines.  A large request that comes first and has waited
for a while counts its memory at an engine in advance: all instances then see
that engine as full, so small requests do not take its room again and again.
"""

import asyncio
import itertools
import typing

from sycamoreshed.engineload import work
from sycamoreshed.forwarding import placement
from sycamoreshed.forwarding import roomforecast
from sycamoreshed.kernel import kernel
from sycamoreshed.membership import rendezvous
from sycamoreshed.stopping import measuring

__all__ = ["EngineRoom"]

# Counts that other instances told may have changed after this time.
REFRESH_S = 0.05
# A request that has waited for this long counts its memory in advance, for at
# most `CLAIM_S`: two requests could wait for each other.
CLAIM_AFTER_S = 0.25
CLAIM_S = 1.0
# Share of an engine's memory from which a request is large; smaller ones find
# room between others.
LARGE_SHARE = 0.4
# Requests that wait at an instance; the least urgent one is rejected first.
MAX_WAITING = 256
# Requests that are tried in a row although they find no room.
MAX_MISSES = 16


class _Claim(typing.NamedTuple):
    """Memory that is counted in advance."""

    number: int
    endpoint: typing.Any
    until: float


class _Waiter:
    """A request that waits."""

    def __init__(self, *, wanted, number, now, ahead, future):
        self.wanted = wanted
        # Tokens that those wanted who came first when this was checked.
        self.ahead = ahead
        self.future = future
        self.since = now
        # Number of the record that tells other instances that it waits.
        self.told = None
        self.claim = None
        self.claim_from = now + CLAIM_AFTER_S
        request = wanted.request
        self.order = (request.priority, request.target_at, number)

    @property
    def uncounted_tokens(self):
        """Memory that it needs and that is not counted in advance."""
        return 0 if self.claim else self.wanted.needed.memory_tokens

    @property
    def claimed_tokens(self):
        """Memory that is counted in advance, by `Endpoint.boot`."""
        if self.claim is None:
            return {}
        return {self.claim.endpoint.boot: self.wanted.needed.memory_tokens}


def _waiting_key(request, level):
    """Return the name under which requests that wait are told to others."""
    return f"waiting {level} {request.service}"


class EngineRoom:
    """Requests of this instance that wait for room at engines.

    Parameters
    ----------
    placer : Placer
    engine_load : LoadView
    engine_speeds : Speeds
    stop_deadline : StopDeadline
    journal : Journal
    metrics : GatewayMetrics
    clock : callable
    """

    def __init__(
        self,
        *,
        placer,
        engine_load,
        engine_speeds,
        stop_deadline,
        journal,
        metrics,
        clock,
    ):
        self._view = engine_load
        self._ledger = engine_load.ledger
        self._forecast = roomforecast.RoomForecast(
            engines=placer.engines, engine_speeds=engine_speeds
        )
        self._stop_deadline = stop_deadline
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        self._numbers = itertools.count()
        self._waiting = []
        self._timer = None
        self._is_scheduled = False
        self._ledger.listen(self._schedule)

    @property
    def waiting_count(self):
        """Number of requests that wait."""
        return len(self._waiting)

    def is_waited_for(self, request, now):
        """Return whether other requests wait that come before one."""
        others = self._view.all_others(now)
        levels = range(request.priority.level + 1)
        return any(
            each.wanted.request.service == request.service
            for each in self._waiting
        ) or any(_waiting_key(request, each) in others for each in levels)

    def rejection(self, wanted, now):
        """Return the `Failure` of a request that cannot begin in time.

        Returns
        -------
        Failure or None
            None also if it may have to wait.
        """
        ahead = self._tokens_ahead(wanted)
        why = self._forecast.why_rejected(wanted, now, ahead)
        return None if why is None else self._failure(wanted, why, now, ahead)

    async def wait(self, wanted):
        """Wait for room.

        Returns
        -------
        Choice or Failure
            The request has to be recorded in the `Ledger` before anything
            else is awaited, else others may get the room.
        """
        now = self._clock()
        rejected = self.rejection(wanted, now)
        if rejected is not None:
            self._log_end(wanted, now, rejected.reason)
            return rejected
        waiter = _Waiter(
            wanted=wanted,
            number=next(self._numbers),
            now=now,
            ahead=self._tokens_ahead(wanted),
            future=asyncio.get_running_loop().create_future(),
        )
        waiter.told = self._ledger.record_start(
            _waiting_key(wanted.request, wanted.request.priority.level),
            work.Work(output_tokens=wanted.needed.memory_tokens),
        )
        self._waiting.append(waiter)
        self._waiting.sort(key=lambda each: each.order)
        if len(self._waiting) > MAX_WAITING:
            self._reject(self._waiting[-1], roomforecast.NoRoom.TOO_MANY, now)
        self._schedule()
        result = None
        try:
            result = await waiter.future
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)
            self._withdraw(waiter)
            self._ledger.record_end(waiter.told)
            why, endpoint = "given up", None
            if isinstance(result, placement.Choice):
                why, endpoint = "room", result.endpoint.id
            elif result is not None:
                why = result.reason
            self._log_end(wanted, waiter.since, why, endpoint)
        return result

    def _schedule(self):
        """Try all that wait, after the caller has recorded its changes."""
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._try_all)

    def _try_all(self):
        self._is_scheduled = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self._clock()
        tokens_ahead = {}
        misses = 0
        for waiter in list(self._waiting):
            wanted = waiter.wanted
            service = wanted.request.service
            is_first = service not in tokens_ahead
            ahead = tokens_ahead.get(service, 0)
            choice = None
            if misses < MAX_MISSES:
                choice = self._find(waiter, now)
            if choice is not None:
                self._grant(waiter, choice)
                continue
            why = self._why_ends(waiter, now, ahead)
            if why is not None:
                self._reject(waiter, why, now)
                continue
            misses += 1
            self._renew_claim(waiter, is_first, now)
            tokens_ahead[service] = ahead + waiter.uncounted_tokens
        if self._waiting:
            self._timer = asyncio.get_running_loop().call_later(
                REFRESH_S, self._schedule
            )

    def _find(self, waiter, now):
        wanted = waiter.wanted
        choice = None
        if self._has_turn(wanted, now):
            choice = wanted.find(now)
        if choice is not None or waiter.claim is None:
            return choice
        endpoint = waiter.claim.endpoint
        missing = self._forecast.missing(
            wanted, now, without=waiter.claimed_tokens
        )
        if missing.get(endpoint) == 0:
            return placement.Choice(endpoint, "room", len(missing))
        return None

    def _has_turn(self, wanted, now):
        """Return whether a request may take the room that is known.

        All instances learn of it at the same time.  Each request takes it
        with a probability by which those that want it get no more than there
        is until they hear of each other.
        """
        others = self._view.all_others(now)
        levels = range(wanted.request.priority.level + 1)
        competing = sum(
            others[key].held_tokens
            for key in (_waiting_key(wanted.request, each) for each in levels)
            if key in others
        )
        if not competing:
            return True
        wanted_tokens = competing + wanted.needed.memory_tokens
        tries = max(1.0, self._view.age_s(now) / REFRESH_S)
        share = self._forecast.free_tokens(wanted, now) / wanted_tokens
        drawn = rendezvous.rank(wanted.request.id, str(now)) / 2**64
        return drawn < share / tries

    def _why_ends(self, waiter, now, ahead):
        wanted = waiter.wanted
        if not self._stop_deadline.allows(
            wanted.request, measuring.Phase.ATTEMPT, now
        ):
            return roomforecast.NoRoom.STOPPING
        if self._forecast.left_s(wanted, now) <= 0.0:
            return roomforecast.NoRoom.NO_TIME
        # The estimate does not know for how long requests have been running:
        # it is made once, and again if more urgent ones come.
        if ahead <= waiter.ahead:
            return None
        waiter.ahead = ahead
        return self._forecast.why_rejected(
            wanted, now, ahead, without=waiter.claimed_tokens
        )

    def _grant(self, waiter, choice):
        """Let a request begin; its memory counts until its task goes on."""
        self._waiting.remove(waiter)
        self._withdraw(waiter)
        waiter.claim = self._claim(waiter.wanted, choice.endpoint, 0.0)
        if not waiter.future.done():
            waiter.future.set_result(choice)

    def _reject(self, waiter, why, now):
        self._waiting.remove(waiter)
        self._withdraw(waiter)
        if not waiter.future.done():
            waiter.future.set_result(self._failure(waiter.wanted, why, now, 0))

    def _failure(self, wanted, why, now, ahead):
        self._metrics.record_no_room(why)
        retry_s = self._forecast.wait_s(wanted, now, ahead)
        return roomforecast.no_room(wanted, why, retry_s)

    def _claim(self, wanted, endpoint, until):
        counted = work.Work(output_tokens=wanted.needed.memory_tokens)
        number = self._ledger.record_start(endpoint.boot, counted)
        return _Claim(number, endpoint, until)

    def _withdraw(self, waiter):
        if waiter.claim is not None:
            self._ledger.record_end(waiter.claim.number)
            waiter.claim = None

    def _renew_claim(self, waiter, is_first, now):
        """Count memory in advance if a request is the first one for long."""
        claim = waiter.claim
        if claim is not None:
            endpoints = waiter.wanted.list_endpoints(now)
            if is_first and now < claim.until and claim.endpoint in endpoints:
                return
            self._withdraw(waiter)
            waiter.claim_from = now + CLAIM_AFTER_S
        wanted = waiter.wanted
        is_large = (
            wanted.needed.memory_tokens
            >= LARGE_SHARE * wanted.spec.memory_tokens
        )
        if is_first and is_large and now >= waiter.claim_from:
            nearest = self._forecast.nearest_unclaimed(wanted, now)
            if nearest is not None:
                waiter.claim = self._claim(wanted, nearest, now + CLAIM_S)

    def _tokens_ahead(self, wanted):
        request = wanted.request
        order = (request.priority, request.target_at)
        return sum(
            each.uncounted_tokens
            for each in self._waiting
            if each.wanted.request.service == request.service
            and each.order[:2] <= order
        )

    def _log_end(self, wanted, since, why, endpoint=None):
        now = self._clock()
        missing = self._forecast.missing(wanted, now)
        self._journal.write(
            "engine_wait",
            request=wanted.request.id,
            waited_s=round(now - since, 4),
            why=why,
            endpoint=endpoint,
            tokens=wanted.needed.memory_tokens,
            short_tokens=round(min(missing.values(), default=0)),
        )


@kernel.plugin(
    "engine_room",
    needs=(
        "placer",
        "engine_load",
        "engine_speeds",
        "stop_deadline",
        "journal",
        "gateway_metrics",
    ),
)
async def engine_room(core):
    """Provide the `EngineRoom`."""
    metrics = core.part("gateway_metrics")
    room = EngineRoom(
        placer=core.part("placer"),
        engine_load=core.part("engine_load"),
        engine_speeds=core.part("engine_speeds"),
        stop_deadline=core.part("stop_deadline"),
        journal=core.part("journal"),
        metrics=metrics,
        clock=core.clock,
    )
    metrics.export_engine_waiting(lambda: room.waiting_count)
    yield room
