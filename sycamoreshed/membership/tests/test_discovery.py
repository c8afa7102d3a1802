"""Time until the others discover a starting instance."""

import asyncio
import types

import pytest

from sycamoreshed.errors import kinds
from sycamoreshed.membership import gossip
from sycamoreshed.membership import messages
from sycamoreshed.notes import sync
from sycamoreshed.observe import metrics
from testkit import virtualtime


class FakeNetwork:
    """Delivers messages to instances that are listening."""

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
        """Replace `messages.post`."""
        self.calls += 1
        await asyncio.sleep(0.002)
        node, listens_at = self._nodes[address]
        if asyncio.get_running_loop().time() < listens_at:
            return kinds.Failure(kinds.Kind.REFUSED, "refused")

        async def read():
            return raw

        response = await node.receive(types.SimpleNamespace(read=read))
        return messages.decode(response.body), len(raw)


async def discover(monkeypatch, *, listens_at, seconds):
    """Return when a seed discovers the instance, and the calls until then.

    The time is None if that takes longer than `seconds`.
    """
    network = FakeNetwork()
    monkeypatch.setattr(messages, "post", network.post)
    seed = network.add("seed", [], listens_at=listens_at)
    starting = network.add("starting", ["seed:1"], listens_at=0.0)
    loop = asyncio.get_running_loop()
    task = asyncio.create_task(starting.run())
    try:
        while loop.time() < seconds:
            if seed.address_of("starting") is not None:
                return loop.time(), network.calls
            await asyncio.sleep(0.01)
        return None, network.calls
    finally:
        task.cancel()


@pytest.mark.parametrize("listens_at", [0.05, 0.3, 1.0])
def test_instance_that_starts_before_its_seeds_is_discovered_soon(
    monkeypatch, listens_at
):
    """An instance contacts its seed before the seed listens.

    If it retried only after `RECONNECT_PERIOD_S`, it would become ready
    after `INITIAL_SYNC_TIMEOUT_S` without the configuration in force, and
    for almost a second send calls to endpoints that were withdrawn.
    """
    discovered_at, _ = virtualtime.run(
        discover(monkeypatch, listens_at=listens_at, seconds=9.0)
    )
    assert discovered_at is not None
    assert discovered_at < sync.INITIAL_SYNC_TIMEOUT_S


def test_instance_whose_seed_never_listens_retries_infrequently(monkeypatch):
    """The only seed never listens; retries must not be frequent."""
    discovered_at, calls = virtualtime.run(
        discover(monkeypatch, listens_at=1e9, seconds=60.0)
    )
    assert discovered_at is None
    # The 8 allow for the short first periods.
    assert calls <= 60.0 / gossip.RECONNECT_PERIOD_S + 8
