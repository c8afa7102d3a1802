"""Streams in any order of releases, cuts, restarts and take-ups."""

import asyncio
import random

import pytest

from sycamoreshed.errors import kinds
from sycamoreshed.resumption import origins
from sycamoreshed.resumption.tests import builders
from testkit import virtualtime

SEEDS = [*range(60), 486]
STEPS = 150
MAX_PAUSE_S = 1.5
# Streams that begin together.
STREAMS = 4
MAX_VERSIONS = 3


class _Play:
    """A network to which random things happen.

    Attributes
    ----------
    joined : list of str
        Streams that went on at another version than began them.
    """

    def __init__(self, network, rng):
        self._network = network
        self._rng = rng
        self._numbers = iter(range(10**9))
        # Version and time of each stream that has begun.
        self._begun = {}
        self.joined = []
        self.gone_on = 0
        self.rejected = 0

    async def run(self):
        """Play all steps."""
        steps = (
            [self._begin] * 6
            + [self._take_up] * 6
            + [self._release] * 2
            + [self._cut_or_heal, self._restart_some, self._restart_all]
        )
        for _ in range(STEPS):
            await self._rng.choice(steps)()
            await asyncio.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))

    def _pick(self):
        return self._rng.choice(sorted(self._network.instances))

    async def _begin(self):
        name = self._pick()
        instance = self._network.instances[name]
        now = asyncio.get_running_loop().time()
        serving = self._network.views[name].versions
        for _ in range(STREAMS):
            stream = f"s-{next(self._numbers)}"
            request = builders.request(stream)
            preferred = instance.preferred_versions(request, now)
            allowed = serving & set(preferred) or serving
            version = self._rng.choice(sorted(allowed))
            origin = origins.Origin(builders.SERVICE, version)
            if await instance.record_first_event(request, origin):
                self._begun[stream] = version, now

    async def _take_up(self):
        now = asyncio.get_running_loop().time()
        alive = [
            stream
            for stream, (_, at) in self._begun.items()
            if now - at < origins.TTL_S / 2
        ]
        name = self._pick()
        for stream in self._rng.sample(alive, min(STREAMS, len(alive))):
            request = builders.request(f"again-{stream}", resumes=stream)
            bound = await self._network.instances[name].bind(request)
            if isinstance(bound, kinds.Failure):
                self.rejected += 1
                continue
            version = bound.origin.software_version
            self.gone_on += 1
            is_served = version in self._network.views[name].versions
            if is_served and version != self._begun[stream][0]:
                self.joined.append(stream)

    async def _release(self):
        serving = set(self._network.catalog.versions)
        if len(serving) < MAX_VERSIONS and self._rng.random() < 0.6:
            serving.add(f"v{next(self._numbers)}")
        elif len(serving) > 1:
            serving.remove(self._rng.choice(sorted(serving)))
        self._network.set_versions(serving)

    async def _cut_or_heal(self):
        if self._network.cut:
            self._network.heal()
            return
        names = sorted(self._network.instances)
        count = self._rng.randrange(1, len(names) + 1)
        self._network.cut_off(self._rng.sample(names, count))

    async def _restart_some(self):
        names = sorted(self._network.instances.keys() - self._network.cut)
        count = self._rng.randrange(len(names) + 1)
        for name in self._rng.sample(names, count):
            self._restart(name)

    async def _restart_all(self):
        self._network.heal()
        if self._rng.random() < 0.5:
            # Versions come and leave while no instance runs.
            await self._release()
        for name in self._network.instances:
            self._restart(name)

    def _restart(self, name):
        self._network.restart(name)
        stored_origins = self._network.instances[name].stored_origins
        self._network.spawn(stored_origins.load_after_start())


@pytest.mark.parametrize("size", [3, 5, 9])
@pytest.mark.parametrize("seed", SEEDS)
def test_no_stream_goes_on_at_another_version(seed, size):
    """What two versions write was joined after cuts and restarts."""

    async def start():
        network = builders.Network(size=size, serving=["v-first"])
        play = _Play(network, random.Random(seed))
        network.start()
        await asyncio.sleep(3.0)
        await play.run()
        network.stop()
        return play

    play = virtualtime.run(start())
    assert play.joined == []
    assert play.gone_on > 0
