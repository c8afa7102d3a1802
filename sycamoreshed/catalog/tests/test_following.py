"""Tests of how often the store is called, and of the delay of changes."""

import asyncio
import contextlib
import types

import pytest

from sycamoreshed.catalog import access
from sycamoreshed.catalog import catalog
from sycamoreshed.catalog import debounce
from sycamoreshed.catalog import following
from sycamoreshed.catalog import tablereads
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from testkit import journals
from testkit import virtualtime

MOST_S = 0.5


class Store:
    """A table whose rows change at given times; a call takes 4 ms."""

    def __init__(self, times):
        self._times = times
        self.calls = 0

    def _version(self):
        now = asyncio.get_running_loop().time()
        return sum(at <= now for at in self._times)

    async def read(self, _table, *, timeout):
        """Return all rows."""
        self.calls += 1
        await asyncio.sleep(0.004)
        return tablereads.Changes([], self._version(), is_full=True)

    async def wait_for_changes(self, _table, after, *, wait_s, slack_s):
        """Wait for rows that changed."""
        self.calls += 1
        await asyncio.sleep(0.004)
        deadline = asyncio.get_running_loop().time() + wait_s
        while self._version() == after:
            if asyncio.get_running_loop().time() >= deadline:
                return tablereads.Changes([], after, is_full=False)
            await asyncio.sleep(0.005)
        version = self._version()
        rows = [
            tablereads.Row(str(number), b"row", number)
            for number in range(after + 1, version + 1)
        ]
        return tablereads.Changes(rows, version, is_full=False)


class ForgetfulStore(Store):
    """Loses the calls pending at `at`: they return when their wait ends."""

    at = 0.05

    async def wait_for_changes(self, table, after, *, wait_s, slack_s):
        """Wait for rows that changed."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        if started_at < self.at < started_at + wait_s:
            await asyncio.sleep(wait_s)
        remaining_s = max(0.0, started_at + wait_s - loop.time())
        return await super().wait_for_changes(
            table, after, wait_s=remaining_s, slack_s=slack_s
        )


class SilentStore(Store):
    """Never answers the call that is pending at `at`."""

    at = 0.05

    async def wait_for_changes(self, table, after, *, wait_s, slack_s):
        """Wait for rows that changed."""
        started_at = asyncio.get_running_loop().time()
        if started_at < self.at < started_at + wait_s:
            await asyncio.sleep(wait_s + slack_s)
            return kinds.Failure(kinds.Kind.LATE, "no answer in time")
        return await super().wait_for_changes(
            table, after, wait_s=wait_s, slack_s=slack_s
        )


class NoPeers:
    """No peers to poll."""

    def sample(self, _now):
        """Return no peers."""
        return []


def make_catalog():
    """Return an empty catalog that decodes no rows."""
    return catalog.Catalog(
        decode_configuration=None,
        decode_endpoint=None,
        configuration_key="none",
        evacuated_zone=lambda _key: None,
        journal=journals.Journal(),
    )


def run_follower(times, *, seconds, kind=Store, wait=3.0):
    """Follow a table; return the calls, maximum delay and changes seen."""

    async def run():
        store = kind(times)
        clock = asyncio.get_running_loop().time
        copy = make_catalog()
        follower = following.Follower(
            table=catalog.SETTINGS,
            store_table="remote",
            wait=lambda: wait,
            debounce=debounce.Debounce(min_s=0.1, max_s=MOST_S),
            store=store,
            catalog=copy,
            peers=NoPeers(),
            access=access.StoreAccess(),
            session=None,
            journal=journals.Journal(),
            clock=clock,
        )
        task = asyncio.create_task(follower.run())
        delays = {}
        while clock() < seconds:
            await asyncio.sleep(0.01)
            version = copy.replica(catalog.SETTINGS).position.version
            for number in range(version):
                delays.setdefault(number, clock() - times[number])
        task.cancel()
        return store.calls, max(delays.values()), len(delays)

    return virtualtime.run(run())


def test_continuous_changes_are_batched():
    """Two hundred endpoints register within six seconds.

    If each instance called ten times a second, 88 of them would make 900
    calls a second at the store, for rows that need not arrive one by one.
    """
    times = [1.0 + 0.03 * number for number in range(200)]
    calls, latest, seen = run_follower(times, seconds=9.0)
    assert seen == 200
    assert calls <= 6.0 / MOST_S + 8
    assert latest <= MOST_S + 0.05


def test_change_after_a_quiet_period_is_seen_at_once():
    """Keys are revoked in a quiet period after many endpoints registered."""
    times = [1.0 + 0.03 * number for number in range(100)] + [7.0, 12.0]
    calls, _, _ = run_follower(times, seconds=6.9)
    more, _, seen = run_follower(times, seconds=7.05)
    assert seen == 101
    assert more <= calls + 2


@pytest.mark.parametrize("kind", [ForgetfulStore, SilentStore])
@pytest.mark.parametrize("stable_s", [4.0, 5.0])
def test_change_is_seen_within_the_stable_time(kind, stable_s):
    """A new configuration is written just after the store drops its history.

    The store loses the pending calls, or their connections become
    unresponsive.  A call held for longer than the stable time, such as 5.4 s
    of 5 s, returns the configuration too late: until then the instance
    answers 404 for routes that were added 5 s before.
    """
    wait = following.max_wait(stable_s)
    at = kind.at + 0.1
    _, latest, seen = run_follower(
        [at], seconds=at + 2 * stable_s, kind=kind, wait=wait
    )
    assert seen == 1
    assert at + latest <= kind.at + stable_s


class FaultyStore(Store):
    """Raises an error that no caller expects, once, at `at`."""

    at = 2.0
    has_failed = False

    async def wait_for_changes(self, table, after, *, wait_s, slack_s):
        """Wait for rows that changed."""
        now = asyncio.get_running_loop().time()
        if now >= self.at and not self.has_failed:
            self.has_failed = True
            raise RuntimeError("file descriptor 9 is used by a transport")
        return await super().wait_for_changes(
            table, after, wait_s=wait_s, slack_s=slack_s
        )


def make_core(store, copy):
    """Return a kernel with the parts that followers need."""
    core = kernel.Kernel(
        settings=types.SimpleNamespace(
            max_body_bytes=1, max_control_bytes=1, stable_ms=4000, update_s=2.5
        ),
        clock=asyncio.get_running_loop().time,
    )
    selector = types.SimpleNamespace(wait_s=lambda _now: 3.0)
    core._parts.update(
        platform=types.SimpleNamespace(
            tables={catalog.SETTINGS: "remote"}, store=store
        ),
        reading=selector,
        catalog=copy,
        peers=NoPeers(),
        web=None,
        journal=journals.Journal(),
    )
    return core


def test_changes_arrive_after_an_unforeseen_error():
    """The task that follows the configuration ends by an error.

    The instance would go on serving by the configuration that it has.
    """

    async def run():
        copy = make_catalog()
        core = make_core(FaultyStore([1.0, 3.0, 8.0]), copy)
        follow = contextlib.asynccontextmanager(following.following)
        async with follow(core):
            await asyncio.sleep(10.0)
            version = copy.replica(catalog.SETTINGS).position.version
        await core.tasks.cancel()
        return version

    assert virtualtime.run(run()) == 3


class RestoredStore(Store):
    """Comes back at `at` from a copy with fewer transactions, untold.

    Its position before then is gone for good.
    """

    at = 2.0
    lost = 3
    eras = (None, None)

    def _version(self):
        version = super()._version()
        is_restored = asyncio.get_running_loop().time() >= self.at
        return version - self.lost if is_restored else version

    @property
    def era(self):
        """The era told at present."""
        is_restored = asyncio.get_running_loop().time() >= self.at
        return self.eras[is_restored]

    async def read(self, table, *, timeout):
        """Return all rows."""
        changes = await super().read(table, timeout=timeout)
        return changes._replace(era=self.era)

    async def wait_for_changes(self, table, after, *, wait_s, slack_s):
        """Wait for rows that changed; end when the store comes back."""
        if after > self._version():
            self.calls += 1
            await asyncio.sleep(0.004)
            return tablereads.HistoryGone(self.era)
        remaining_s = self.at - asyncio.get_running_loop().time()
        if remaining_s > 0:
            wait_s = min(wait_s, remaining_s)
        changes = await super().wait_for_changes(
            table, after, wait_s=wait_s, slack_s=slack_s
        )
        return changes._replace(era=self.era)


def follow_restored(eras, seconds):
    """Follow a store that comes back; return store, catalog and journal."""

    async def run():
        store = RestoredStore([0.1, 0.2, 0.3, 0.4, 0.5])
        store.eras = eras
        clock = asyncio.get_running_loop().time
        copy = make_catalog()
        journal = journals.Journal()
        follower = following.Follower(
            table=catalog.SETTINGS,
            store_table="remote",
            wait=lambda: 3.0,
            debounce=debounce.Debounce(min_s=0.1, max_s=MOST_S),
            store=store,
            catalog=copy,
            peers=NoPeers(),
            access=access.StoreAccess(),
            session=None,
            journal=journal,
            clock=clock,
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(seconds)
        task.cancel()
        return store.calls, copy.age(catalog.SETTINGS, clock()), journal

    return virtualtime.run(run())


UNTOLD = [(None, None), (4, None), (4, 3)]


@pytest.mark.parametrize("eras", UNTOLD)
def test_copy_is_not_current_if_nothing_of_a_read_was_taken(eras):
    """Staleness, the log and operators were told that the copy was young."""
    _, age_s, _ = follow_restored(eras, 12.0)
    assert age_s >= 10.0


@pytest.mark.parametrize("eras", UNTOLD)
def test_store_behind_the_copy_is_not_read_in_a_loop(eras):
    """The reads of all instances would use up the rate of the store."""
    calls, _, journal = follow_restored(eras, 32.0)
    assert "copy_refused" in journal.names()
    # One read a second or less often, after the first ones.
    assert calls <= 60


def test_copy_is_current_after_a_store_that_tells_its_era_came_back():
    """Otherwise the instance would read the table again and again."""
    calls, age_s, journal = follow_restored((4, 5), 12.0)
    assert age_s <= 3.1
    assert calls <= 20
    assert "copy_refused" not in journal.names()
