"""Random faults in a zone whose store comes back from older copies."""

import asyncio
import random

import pytest

from sycamoreshed.adapters import positions
from sycamoreshed.catalog import catalog as catalogs
from testkit import relayzone
from testkit import virtualtime

# Zones of three read for themselves; larger ones have a reader.
SIZES = [3, 9]
SEEDS = range(6)
BOUNDS = {"stable_s": 4.0, "apply_s": 2.5}
PLAY_S = 40.0
SETTLE_S = 8.0
CHECK_S = 0.05
# Time between an answer of the store and its use at a watcher.
LATENCY_S = 0.1
MAX_REWRITE_S = 1.5


class World:
    """A zone, its operator, and what happens to it.

    Parameters
    ----------
    size, seed : int
    """

    def __init__(self, size, seed):
        self._random = random.Random(seed)
        self._clock = asyncio.get_running_loop().time
        self.zone = relayzone.Zone(size=size, **BOUNDS)
        self._version = 1
        self._backup = None
        self._tasks = []
        # Positions at which the settings changed, with their times.
        self._changes = []

    def change(self):
        """Write the next configuration."""
        self._version += 1
        self._write()

    def change_other(self):
        """Write a row that the zone does not use."""
        number = self._random.randrange(5)
        self.zone.store.put(catalogs.SETTINGS, f"row-{number}", b"")
        self._note()

    def back_up(self):
        """Let the store keep a copy."""
        self._backup = self.zone.store.backup()

    def restore(self):
        """Come back from the copy; the operator writes again soon."""
        if self._backup is None:
            return
        self.zone.store.restore(self._backup)
        self._note()
        self._after(self._random.uniform(0.0, MAX_REWRITE_S), self._write)

    def refuse(self):
        """Turn some instances away from the store."""
        self._disturb(self.zone.store.refuses)

    def ignore(self):
        """Let the store not answer some instances."""
        self._disturb(self.zone.store.ignores)

    def silence(self):
        """Let some instances not reach others."""
        self._disturb(self.zone.unresponsive)

    def restart(self):
        """Kill an instance and start it again."""
        name = self._random.choice(list(self.zone.instances))
        for task in self.zone.instances[name].tasks:
            task.cancel()
        self.zone.add(name)

    async def play(self):
        """Let things happen, then have the zone settle and check it."""
        steps = [
            *[self.change, self.change_other, self.back_up, self.restore] * 2,
            *[self.refuse, self.ignore, self.silence, self.restart],
        ]
        self._note()
        checking = asyncio.create_task(self._check_ages())
        while self._clock() < PLAY_S:
            self._random.choice(steps)()
            await asyncio.sleep(self._random.uniform(0.05, 2.0))
        await asyncio.gather(*self._tasks)
        await asyncio.sleep(SETTLE_S)
        delays = await self.zone.change(self._version + 1)
        # An error of a check ends the test here.
        assert not checking.done(), checking.exception()
        checking.cancel()
        rows = {
            row.key: row.value
            for row in self.zone.store.rows_after(catalogs.SETTINGS, -1)
        }
        for each in self.zone.instances.values():
            assert each.catalog.replica(catalogs.SETTINGS).rows == rows
        assert len(delays) == len(self.zone.instances)
        assert max(delays.values()) <= BOUNDS["apply_s"]
        await self.zone.stop()

    def _write(self):
        raw = str(self._version).encode()
        self.zone.store.put(catalogs.SETTINGS, "config", raw)
        self._note()

    def _note(self):
        store = self.zone.store
        position = positions.Position(store.era, store.version)
        self._changes.append((self._clock(), position))

    def _disturb(self, names):
        chosen = {
            name for name in self.zone.instances if self._random.random() < 0.3
        }
        names.update(chosen)
        self._after(
            self._random.uniform(0.5, 4.0),
            lambda: names.difference_update(chosen),
        )

    def _after(self, seconds, func):
        async def run():
            await asyncio.sleep(seconds)
            func()

        self._tasks.append(asyncio.create_task(run()))

    async def _check_ages(self):
        """Check that no copy counts as younger than it is."""
        while True:
            await asyncio.sleep(CHECK_S)
            now = self._clock()
            for name, each in self.zone.instances.items():
                current_at = now - each.catalog.age(catalogs.SETTINGS, now)
                known = [
                    position
                    for at, position in self._changes
                    if at < current_at - LATENCY_S
                ]
                held = each.catalog.replica(catalogs.SETTINGS).position
                assert not known or held >= known[-1], (now, name)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("size", SIZES)
def test_zone_follows_a_store_that_comes_back_under_faults(size, seed):
    """An instance would keep what was lost, or take an old copy for young."""

    async def run():
        await World(size, seed).play()

    virtualtime.run(run())
