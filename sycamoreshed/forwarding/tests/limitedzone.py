"""Instances that share the limit of an endpoint, in simulated time."""

import asyncio
import random
import typing

import msgspec

from sycamoreshed.adapters import web
from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.catalog import peers
from sycamoreshed.catalog import types
from sycamoreshed.errors import kinds
from sycamoreshed.findings import board
from sycamoreshed.findings import capacities
from sycamoreshed.findings import limits
from sycamoreshed.findings import overloads
from sycamoreshed.forwarding import limiting
from sycamoreshed.forwarding import permits
from sycamoreshed.forwarding import rates
from testkit import journals

__all__ = ["ENDPOINT", "Zone"]

ENDPOINT = types.Endpoint("e", "desk", "10.0.0.1:1", "north-a", 4)
# One way between instances.
DELAY_S = 0.02
# Until an instance that was refused has another request for the endpoint.
NEXT_REQUEST_S = 0.05


class _Catalog(typing.NamedTuple):
    """The parts of a catalog that peers and rates need."""

    peers: dict
    configuration: typing.Any = None


class Zone:
    """Instances with more requests than an endpoint's limit allows.

    Parameters
    ----------
    size : int
    rate : float
        Limit of `ENDPOINT`, known to all instances.

    Attributes
    ----------
    sent_at : list of float
        When requests were sent to the endpoint.
    calls : int
        Calls for permits between instances.
    cut : set of str
        Names of instances that reach nobody.
    peers : dict of str to PeerDirectory
        What each instance knows of the others.
    """

    def __init__(self, *, size, rate):
        self._clock = asyncio.get_running_loop().time
        self.sent_at = []
        self.calls = 0
        self.cut = set()
        names = [f"i-{number}" for number in range(size)]
        rows = [catalogs.Peer(name, ENDPOINT.zone, name) for name in names]
        self._catalog = _Catalog({each.name: each for each in rows})
        self._limiters = {}
        self.peers = {}
        for name in names:
            self.restart(name, rate=rate)

    @property
    def names(self):
        """Names of all instances."""
        return list(self._limiters)

    def restart(self, name, *, rate):
        """Start an instance that has issued no permits yet."""
        journal = journals.Journal()
        findings = board.Board()
        records = limits.LimitRecords(board=findings, journal=journal)
        overload_records = overloads.OverloadRecords(
            board=findings, journal=journal
        )
        capacity_records = capacities.CapacityRecords(
            board=findings, journal=journal
        )
        self.peers[name] = peers.PeerDirectory(
            catalog=self._catalog,
            own=name,
            zone=ENDPOINT.zone,
            seeds=(),
            control=name,
            journal=journal,
        )
        self._limiters[name] = limiting.Limiter(
            records=records,
            overloads=overload_records,
            capacities=capacity_records,
            rates=rates.EndpointRates(
                records=records,
                overloads=overload_records,
                capacities=capacity_records,
                catalog=self._catalog,
                cold_overrun=1.0,
                cold_tolerance=0.0,
            ),
            publish=lambda *_: None,
            peers=self.peers[name],
            own=name,
            send=lambda *call: self._send(name, *call),
            journal=journal,
            clock=self._clock,
            unix_ms=lambda: 0,
            rng=random.Random(name),
        )
        self._limiters[name].record_answer(ENDPOINT, rate, sent_at=0.0)

    async def load(self, names, *, seconds):
        """Send as many requests as permitted, from some instances."""
        end = self._clock() + seconds
        await asyncio.gather(
            *(
                self._send_requests(name, random.Random(number), end)
                for number, name in enumerate(names)
            )
        )

    async def _send_requests(self, name, rng, end):
        while self._clock() < end:
            await asyncio.sleep(rng.uniform(0, NEXT_REQUEST_S))
            limiter = self._limiters[name]
            if ENDPOINT.id in limiter.exhausted(self._clock()):
                continue
            if await limiter.acquire(ENDPOINT):
                self.sent_at.append(self._clock())

    async def _send(self, sender, control, request):
        self.calls += 1
        if {sender, control} & self.cut:
            await asyncio.sleep(limiting.TIMEOUT_S)
            return kinds.Failure(kinds.Kind.LATE, "no answer in time")
        await asyncio.sleep(DELAY_S)
        raw = msgspec.json.encode(request)
        received = msgspec.json.decode(raw, type=permits.PermitRequest)
        permit = self._limiters[control].issue(received)
        await asyncio.sleep(DELAY_S)
        body = msgspec.json.decode(msgspec.json.encode(permit))
        return web.Reply(200, body, len(raw))
