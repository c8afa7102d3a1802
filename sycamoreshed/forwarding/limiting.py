"""Keeps the rates that endpoints can take, together with other instances."""

import asyncio
import functools
import math
import random
import typing

import msgspec

from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.findings import avoidance
from sycamoreshed.forwarding import permits
from sycamoreshed.forwarding import sendcounts
from sycamoreshed.kernel import kernel
from sycamoreshed.membership import rendezvous

__all__ = ["PATH", "Limiter"]

PATH = "/control/permits"
# For the instance that issues permits to answer.
TIMEOUT_S = 0.3
# Instances asked in turn; then this one uses its share of the limit.
MAX_ATTEMPTS = 2
# Refusals that are remembered; the oldest one is forgotten first.
MAX_REFUSALS = 1024


class _Refusal(typing.NamedTuple):
    """When an endpoint takes the next request, and when to ask for it."""

    endpoint: typing.Any
    free_at: float
    ask_at: float


class Limiter:
    """Asks for permits to send requests to endpoints with a limit.

    Parameters
    ----------
    records : LimitRecords
    overloads : OverloadRecords
    capacities : CapacityRecords
    rates : EndpointRates
    publish : callable
        Tells other instances findings, which may be None.
    peers : PeerDirectory
    own : str
        Name of this instance.
    send : callable
        Coroutine function of a control address and a `PermitRequest`;
        returns a `Reply` or a `Failure`.
    journal : Journal
    clock, unix_ms : callable
        Return the monotonic time in seconds, and the Unix time in ms.
    rng : random.Random, optional
    """

    def __init__(
        self,
        *,
        records,
        overloads,
        capacities,
        rates,
        publish,
        peers,
        own,
        send,
        journal,
        clock,
        unix_ms,
        rng=None,
    ):
        self._records = records
        self._overloads = overloads
        self._capacities = capacities
        self._rates = rates
        self._publish = publish
        self._peers = peers
        self._own = own
        self._send = send
        self._journal = journal
        self._clock = clock
        self._unix_ms = unix_ms
        self._issuer = permits.Issuer()
        # Used when no instance that issues permits can be reached.
        self._own_share = permits.Issuer(rng=rng or random.Random())
        self._refusals = {}
        self._sent = sendcounts.SendCounts()
        self._avoidance = avoidance.Avoidance()
        self._answer_count_at_failure = None

    def record_answer(self, endpoint, rate, *, sent_at):
        """Record the limit that an answer names; see `LimitRecords`."""
        finding = self._records.record_answer(
            endpoint,
            rate,
            sent_at=sent_at,
            now=self._clock(),
            unix_ms=self._unix_ms(),
        )
        self._publish(finding)

    def record_rejection(self, endpoint, tolerated):
        """Record that an endpoint had no room; see `OverloadRecords`."""
        now = self._clock()
        own_rate = self._sent.rate(endpoint.id, now)
        finding = self._overloads.record_rejection(
            endpoint,
            tolerated,
            arrival_rate=own_rate * self._peers.count(),
            now=now,
            unix_ms=self._unix_ms(),
        )
        self._publish(finding)

    def record_run(self, endpoint, seconds, survived):
        """Record a run of a fragile endpoint; see `CapacityRecords`."""
        self._publish(
            *self._capacities.record_run(
                endpoint,
                seconds,
                survived,
                now=self._clock(),
                unix_ms=self._unix_ms(),
            )
        )

    def is_limited(self, endpoint, now):
        """Return whether an endpoint takes a limited rate."""
        return self._rates.find(endpoint, now) is not None

    def exhausted(self, now):
        """Return the ids of endpoints that need not be asked for yet."""
        return {
            key
            for key, refusal in self._refusals.items()
            if now < refusal.ask_at
            # The limit may have been lifted, as others found.
            and self._rates.find(refusal.endpoint, now) is not None
        }

    def wait_s(self, endpoints, now):
        """Return the seconds until one of some endpoints takes a request.

        Parameters
        ----------
        endpoints : sequence of Endpoint
        now : float

        Returns
        -------
        float
            0 if one of them may take it at once, infinity if there is none.
        """
        if endpoints and not self._refusals:
            return 0.0
        return min(
            (self._wait_s(each, now) for each in endpoints), default=math.inf
        )

    async def acquire(self, endpoint, *, max_wait_s=0.0):
        """Wait for a permit to send one request to an endpoint.

        Returns
        -------
        bool
            Whether the request may be sent now; at once if the endpoint has
            no limit.
        """
        now = self._clock()
        rate = self._rates.find(endpoint, now)
        if rate is None:
            self._refusals.pop(endpoint.id, None)
            self._sent.record(endpoint.id, now)
            return True
        request = permits.PermitRequest(
            endpoint.boot,
            rate,
            max_wait_s,
            self._own,
            0.0 if self._rejects_bursts(endpoint, now) else permits.BURST_S,
        )
        permit = await self._ask(endpoint, request)
        if permit.is_granted:
            self._refusals.pop(endpoint.id, None)
            self._sent.record(endpoint.id, now)
            if permit.wait_s > 0:
                await asyncio.sleep(permit.wait_s)
            return True
        self._remember(endpoint, permit)
        return False

    def issue(self, request):
        """Return the `Permit` for a request of another instance."""
        self._answer_count_at_failure = None
        return self._issuer.issue(request, self._clock())

    def _rejects_bursts(self, endpoint, now):
        """Return whether requests that come at once harm an endpoint."""
        return (
            self._overloads.is_overloaded(endpoint, now)
            or self._capacities.rate(endpoint, now) is not None
        )

    def _wait_s(self, endpoint, now):
        refusal = self._refusals.get(endpoint.id)
        if refusal is None or self._rates.find(endpoint, now) is None:
            return 0.0
        return max(0.0, refusal.free_at - now)

    def _remember(self, endpoint, permit):
        now = self._clock()
        self._refusals.pop(endpoint.id, None)
        self._refusals[endpoint.id] = _Refusal(
            endpoint, now + permit.wait_s, now + permit.retry_s
        )
        while len(self._refusals) > MAX_REFUSALS:
            del self._refusals[next(iter(self._refusals))]

    @property
    def _may_be_cut_off(self):
        """Whether no instance has answered since one did not answer.

        Then that one, or the next, may still issue permits to all others.
        """
        return self._answer_count_at_failure == self._peers.answer_count

    def _log_lost(self, endpoint, control, why):
        self._journal.write(
            "permit_lost", endpoint=endpoint.id, peer=control, why=why
        )

    async def _ask(self, endpoint, request):
        for _ in range(MAX_ATTEMPTS):
            now = self._clock()
            candidates = self._avoidance.available(
                self._peers.eligible(endpoint.zone, now), now
            )
            if not candidates:
                break
            (name,) = rendezvous.top(f"permits {endpoint.id}", candidates, 1)
            if name == self._own:
                if self._may_be_cut_off:
                    break
                return self._issuer.issue(request, self._clock())
            reply = await self._send(candidates[name], request)
            if isinstance(reply, kinds.Failure):
                self._avoidance.add(candidates[name], self._clock())
                self._log_lost(endpoint, candidates[name], reply.reason)
                self._answer_count_at_failure = self._peers.answer_count
                continue
            self._peers.record_success(candidates[name])
            try:
                return msgspec.convert(reply.body, permits.Permit)
            except msgspec.ValidationError as err:
                # An error, or the answer of another version of the program.
                why = f"status {reply.status}: {err}"
                self._log_lost(endpoint, candidates[name], why)
                break
        share = request.rate / self._peers.count()
        return self._own_share.issue(
            request._replace(rate=share), self._clock()
        )


async def _send(core, control, request):
    return await web.fetch(
        core.part("web"),
        "POST",
        control,
        PATH,
        timeout=TIMEOUT_S,
        body=request,
    )


@kernel.plugin(
    "limiter",
    needs=(
        "capacity_records",
        "findings",
        "journal",
        "limit_records",
        "overload_records",
        "peers",
        "rates",
        "web",
    ),
)
async def limiter(core):
    """Provide the `Limiter`."""
    yield Limiter(
        records=core.part("limit_records"),
        overloads=core.part("overload_records"),
        capacities=core.part("capacity_records"),
        rates=core.part("rates"),
        publish=core.part("findings").publish,
        peers=core.part("peers"),
        own=core.settings.instance,
        send=functools.partial(_send, core),
        journal=core.part("journal"),
        clock=core.clock,
        unix_ms=core.unix_ms,
    )
