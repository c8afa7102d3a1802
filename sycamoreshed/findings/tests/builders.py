"""Instances that exchange findings over a simulated network."""

import asyncio
import random
import typing

import msgspec

from sycamoreshed.adapters import web
from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.catalog import peers
from sycamoreshed.errors import kinds
from sycamoreshed.findings import board
from sycamoreshed.findings import exchange
from sycamoreshed.findings import topics
from testkit import journals

__all__ = ["LASTING", "PASSING", "Network"]

PASSING = topics.register(topics.Topic("test-passing", 60.0, 8))
LASTING = topics.register(
    topics.Topic("test-lasting", 600.0, 8, is_durable=True)
)
# One way between instances.
DELAY_S = 0.01


class _Catalog(typing.NamedTuple):
    """The only part of a catalog that a `PeerDirectory` needs."""

    peers: dict


class _Instance:
    def __init__(self, *, network, peer, seed):
        clock = asyncio.get_running_loop().time
        journal = journals.Journal()
        self.name = peer.name
        self.zone = peer.zone
        self.board = board.Board()
        self.saved = []
        self.peers = peers.PeerDirectory(
            catalog=network.catalog,
            own=peer.name,
            zone=peer.zone,
            seeds=(),
            control=peer.control,
            journal=journal,
        )
        self.exchange = exchange.Exchange(
            board=self.board,
            own=peer.name,
            zone=peer.zone,
            peers=self.peers,
            send=lambda *call: network.send(self, *call),
            save=self.saved.extend,
            spawn=lambda call, name: network.spawn(call),
            journal=journal,
            clock=clock,
            rng=random.Random(seed),
        )

    def add(self, topic, key, value, *, now):
        """Add a finding and tell the others."""
        unix_ms = int(now * 1000)
        self.exchange.publish(
            self.board.add(topic.name, key, value, now=now, unix_ms=unix_ms)
        )


class Network:
    """Instances in zones, of which some may be cut off.

    Parameters
    ----------
    sizes : dict of str to int
        Number of instances by zone.
    seed : int

    Attributes
    ----------
    cut : set of str
        Names of instances or zones that reach nobody outside.
    messages : int
        Messages sent so far.
    """

    def __init__(self, *, sizes, seed=0):
        self._tasks = set()
        self.cut = set()
        self.messages = 0
        names = [
            (f"{zone}-{number}", zone)
            for zone, size in sizes.items()
            for number in range(size)
        ]
        rows = [catalogs.Peer(name, zone, name) for name, zone in names]
        self.catalog = _Catalog({each.name: each for each in rows})
        self.instances = {}
        for number, row in enumerate(rows):
            self.restart(row.name, seed=seed * 1000 + number)

    def restart(self, name, *, seed=0):
        """Start an instance that knows nothing."""
        instance = _Instance(
            network=self, peer=self.catalog.peers[name], seed=seed
        )
        self.instances[name] = instance
        self.spawn(instance.exchange.run_sending())
        self.spawn(instance.exchange.run_comparing())
        return instance

    def spawn(self, call):
        """Run a coroutine as a task."""
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def knowing(self, topic, key, *, now):
        """Return the names of the instances that know of a key."""
        return {
            name
            for name, each in self.instances.items()
            if each.board.find(topic.name, key, now) is not None
        }

    async def send(self, sender, control, path, body):
        """Deliver a message, or fail after the time limit."""
        self.messages += 1
        receiver = self.instances[control]
        if self._is_cut(sender, receiver):
            await asyncio.sleep(exchange.TIMEOUT_S)
            return kinds.Failure(kinds.Kind.LATE, "no answer in time")
        await asyncio.sleep(DELAY_S)
        raw = msgspec.json.encode(body)
        if path == exchange.PATH:
            message = msgspec.json.decode(raw, type=exchange.Message)
            receiver.exchange.receive(message)
            answer = None
        else:
            digest = msgspec.json.decode(raw, type=int)
            answer = receiver.exchange.compare(digest)
        await asyncio.sleep(DELAY_S)
        decoded = msgspec.json.decode(msgspec.json.encode(answer))
        return web.Reply(200, decoded, len(raw))

    async def stop(self):
        """Cancel all tasks."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _is_cut(self, sender, receiver):
        inside = {sender.name, sender.zone} & self.cut
        return inside != {receiver.name, receiver.zone} & self.cut
