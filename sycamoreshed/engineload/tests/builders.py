"""Instances that share the load of engines over a simulated network."""

import asyncio
import contextlib
import random
import typing

import msgspec

from sycamoreshed.adapters import web
from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.catalog import peers
from sycamoreshed.engineload import ledger
from sycamoreshed.engineload import sharing
from sycamoreshed.engineload import telling
from sycamoreshed.engineload import view
from sycamoreshed.engineload import work
from sycamoreshed.errors import kinds
from sycamoreshed.gateway import metrics
from testkit import journals

__all__ = ["ENGINE", "Network", "requests"]

ENGINE = "e1@7"
WORK = work.Work(100, 0, 20)


class _Catalog(typing.NamedTuple):
    """The only part of a catalog that a `PeerDirectory` needs."""

    peers: dict


class _Speeds:
    """Keeps what it is told."""

    def __init__(self):
        self.own = {}
        self.told = {}

    def report(self, _now):
        """Return what this instance has learnt."""
        return self.own

    def record_report(self, source, report, _at):
        """Keep a report of others."""
        self.told[source] = report


class _Instance:
    def __init__(self, *, network, row, boot):
        clock = asyncio.get_running_loop().time
        self.name = row.name
        self.zone = row.zone
        self.journal = journals.Journal()
        self.view = view.LoadView(ledger=ledger.Ledger())
        self.speeds = _Speeds()
        directory = peers.PeerDirectory(
            catalog=network.catalog,
            own=row.name,
            zone=row.zone,
            seeds=(),
            control=row.control,
            journal=self.journal,
        )
        teller = telling.Teller(
            own=row.name,
            zone=row.zone,
            boot=boot,
            send=lambda *call: network.send(self, *call),
            peers=directory,
            journal=self.journal,
            metrics=metrics.GatewayMetrics(),
            clock=clock,
        )
        self.sharing = sharing.LoadSharing(
            own=row.name,
            zone=row.zone,
            regions={each: each for each in network.zones},
            view=self.view,
            speeds=self.speeds,
            peers=directory,
            teller=teller,
            spawn=lambda call, name: network.spawn(call),
            clock=clock,
        )
        self.tasks = [
            network.spawn(self.sharing.run()),
            network.spawn(self.sharing.run_totals()),
        ]

    def start(self, count=1, *, engine=ENGINE):
        """Start requests; return their numbers."""
        return [
            self.view.ledger.record_start(engine, WORK) for _ in range(count)
        ]

    def end(self, numbers):
        """End requests."""
        for each in numbers:
            self.view.ledger.record_end(each)


class Network:
    """Instances in zones, with a network that loses messages.

    Attributes
    ----------
    loses : callable
        Whether what an instance sends to another one is lost, by their names.
    delivered : list of (str, str, Counts)
        Sender, receiver and content of the messages that arrived.
    sent : int
        Messages sent, also those lost.
    """

    def __init__(self, *, sizes):
        self._tasks = set()
        self._starts = 0
        self.zones = list(sizes)
        self.loses = lambda _sender, _receiver: False
        self.delivered = []
        self.sent = 0
        rows = [
            catalogs.Peer(f"{zone}-{number}", zone, f"{zone}-{number}")
            for zone, size in sizes.items()
            for number in range(size)
        ]
        self.catalog = _Catalog({each.name: each for each in rows})
        self.instances = {}
        for row in rows:
            self.restart(row.name)

    def restart(self, name):
        """Start an instance that has and knows nothing."""
        self.kill(name)
        self._starts += 1
        self.instances[name] = _Instance(
            network=self, row=self.catalog.peers[name], boot=self._starts
        )
        return self.instances[name]

    def kill(self, name):
        """End an instance without a word."""
        instance = self.instances.pop(name, None)
        for task in instance.tasks if instance else ():
            task.cancel()

    def spawn(self, call):
        """Run a coroutine as a task."""
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def send(self, sender, control, counts, timeout_s):
        """Deliver a message, or fail after the time limit."""
        self.sent += 1
        is_near = sender.zone == self.catalog.peers[control].zone
        one_way_s = 0.001 if is_near else 0.02
        late = kinds.Failure(kinds.Kind.LATE, "no answer in time", sent=True)
        raw = msgspec.json.encode(counts)
        if self._is_lost(sender, control):
            await asyncio.sleep(timeout_s)
            return late
        await asyncio.sleep(one_way_s)
        receiver = self.instances[control]
        reply = msgspec.json.encode(receiver.sharing.receive(raw))
        self.delivered.append((sender.name, control, counts))
        if self.loses(control, sender.name):
            await asyncio.sleep(timeout_s - one_way_s)
            return late
        await asyncio.sleep(one_way_s)
        return web.Reply(200, msgspec.json.decode(reply), len(reply))

    async def known(self, *, engine=ENGINE):
        """Return the requests at an engine that each instance knows of.

        Each of them asks before, as for a request.
        """
        clock = asyncio.get_running_loop().time
        for each in self.instances.values():
            await each.sharing.refresh(clock())
        return {
            name: each.view.ledger.load(engine).requests
            + each.view.others(engine, clock()).requests
            for name, each in self.instances.items()
        }

    async def serve(self, *, rate, seconds, lasts_s, rng, engines=30):
        """Place requests at random engines, evenly at all instances."""

        async def request(instance):
            now = asyncio.get_running_loop().time()
            await instance.sharing.refresh(now)
            engine = f"e{rng.randrange(engines)}@7"
            (number,) = instance.start(engine=engine)
            await asyncio.sleep(rng.uniform(0.1, lasts_s))
            instance.view.ledger.record_answer_start(number)
            await asyncio.sleep(rng.uniform(0.1, lasts_s))
            instance.end([number])

        ends_at = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < ends_at:
            instance = rng.choice(list(self.instances.values()))
            self.spawn(request(instance))
            await asyncio.sleep(rng.expovariate(rate))

    @contextlib.asynccontextmanager
    async def running(self):
        """Cancel all tasks at the end of the block."""
        try:
            yield self
        finally:
            tasks = list(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _is_lost(self, sender, control):
        is_gone = control not in self.instances
        return is_gone or self.loses(sender.name, control)


def requests(seed):
    """Return a generator of random numbers for a load."""
    return random.Random(seed)
