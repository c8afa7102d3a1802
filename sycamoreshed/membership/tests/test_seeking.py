"""How soon an instance that starts is known to the others."""

import asyncio
import types

import pytest

from sycamoreshed.errors import kinds
from sycamoreshed.membership import gossip
from sycamoreshed.membership import messages
from sycamoreshed.notes import sync
from sycamoreshed.observe import metrics
from testkit import virtualtime


class Wire:
    """Carries messages between instances that listen already."""

    def __init__(self):
        self._nodes = {}
        self.calls = 0

    def add(self, name, peers, *, listens_at):
        """Add an instance; return its `Gossip`."""
        node = gossip.Gossip(
            settings=types.SimpleNamespace(
                instance=name,
                advertise=f"{name}:1",
                zone="north-a",
                region="north",
                peers=peers,
            ),
            session=None,
            metrics=metrics.Metrics(),
            clock=asyncio.get_running_loop().time,
            boot=1,
        )
        self._nodes[f"{name}:1"] = node, listens_at
        return node

    async def post(self, _session, address, raw, *, timeout):
        """Stand in for `messages.post`."""
        self.calls += 1
        await asyncio.sleep(0.002)
        node, listens_at = self._nodes[address]
        if asyncio.get_running_loop().time() < listens_at:
            return kinds.Failure(kinds.Kind.REFUSED, "refused")

        async def read():
            return raw

        answer = await node.receive(types.SimpleNamespace(read=read))
        return messages.decode(answer.body), len(raw)


async def met(monkeypatch, *, listens_at, seconds):
    """Return when a seed knows the instance, and the calls until then."""
    wire = Wire()
    monkeypatch.setattr(messages, "post", wire.post)
    seed = wire.add("seed", [], listens_at=listens_at)
    starting = wire.add("starting", ["seed:1"], listens_at=0.0)
    loop = asyncio.get_running_loop()
    task = asyncio.create_task(starting.run())
    try:
        while loop.time() < seconds:
            if seed.address_of("starting") is not None:
                return loop.time(), wire.calls
            await asyncio.sleep(0.01)
        return None, wire.calls
    finally:
        task.cancel()


@pytest.mark.parametrize("listens_at", [0.05, 0.3, 1.0])
def test_an_instance_that_starts_before_its_seeds_is_known_soon(
    monkeypatch, listens_at
):
    """All instances start together, and one asks before its seed listens.

    It asked again only after three seconds: until then nobody told it of a
    new configuration, and it was ready for callers after two seconds
    without having heard of the one in force.  An endpoint that was
    withdrawn got calls through it for up to 0.93 s; the log had
    "configuration in force" of the others within 0.12 s.
    """
    at, _ = virtualtime.run(
        met(monkeypatch, listens_at=listens_at, seconds=9.0)
    )
    assert at is not None
    assert at < sync.INITIAL_SYNC_TIMEOUT_S


def test_an_instance_that_is_alone_asks_seldom(monkeypatch):
    """The only seed is gone for good; it is not asked all the time."""
    at, calls = virtualtime.run(met(monkeypatch, listens_at=1e9, seconds=60.0))
    assert at is None
    assert calls <= 60.0 / gossip.SEEK_S + 8
