"""How often the store is asked, and how soon changes are known."""

import asyncio

import pytest

from sycamoreshed.catalog import access
from sycamoreshed.catalog import catalog
from sycamoreshed.catalog import debounce
from sycamoreshed.catalog import following
from sycamoreshed.errors import kinds
from sycamoreshed.platform import store as stores
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
        return stores.Changes([], self._version(), is_full=True)

    async def wait_for_changes(self, _table, after, *, wait_s, slack_s):
        """Wait for rows that changed."""
        self.calls += 1
        await asyncio.sleep(0.004)
        until = asyncio.get_running_loop().time() + wait_s
        while self._version() == after:
            if asyncio.get_running_loop().time() >= until:
                return stores.Changes([], after, is_full=False)
            await asyncio.sleep(0.005)
        version = self._version()
        rows = [
            stores.Row(str(number), b"row", number)
            for number in range(after + 1, version + 1)
        ]
        return stores.Changes(rows, version, is_full=False)


class ForgetfulStore(Store):
    """Forgets who waits at `at`: they hear nothing until their wait ends."""

    at = 0.05

    async def wait_for_changes(self, table, after, *, wait_s, slack_s):
        """Wait for rows that changed."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        if began < self.at < began + wait_s:
            await asyncio.sleep(wait_s)
        rest = max(0.0, began + wait_s - loop.time())
        return await super().wait_for_changes(
            table, after, wait_s=rest, slack_s=slack_s
        )


class SilentStore(Store):
    """The first call that waits at `at` is never answered."""

    at = 0.05

    async def wait_for_changes(self, table, after, *, wait_s, slack_s):
        """Wait for rows that changed."""
        began = asyncio.get_running_loop().time()
        if began < self.at < began + wait_s:
            await asyncio.sleep(wait_s + slack_s)
            return kinds.Failure(kinds.Kind.LATE, "no answer in time")
        return await super().wait_for_changes(
            table, after, wait_s=wait_s, slack_s=slack_s
        )


class NoPeers:
    """There is nobody to ask."""

    def sample(self, _now):
        """Return no peers."""
        return []


def followed(times, *, seconds, kind=Store, wait=3.0):
    """Follow a table; return the calls and how late each change was."""

    async def run():
        store = kind(times)
        clock = asyncio.get_running_loop().time
        copy = catalog.Catalog(
            decode_configuration=None,
            decode_endpoint=None,
            configuration_key="none",
            journal=journals.Journal(),
        )
        follower = following.Follower(
            table=catalog.SETTINGS,
            remote="remote",
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
        late = {}
        while clock() < seconds:
            await asyncio.sleep(0.01)
            version = copy.replica(catalog.SETTINGS).version
            for number in range(version):
                late.setdefault(number, clock() - times[number])
        task.cancel()
        return store.calls, max(late.values()), len(late)

    return virtualtime.run(run())


def test_changes_that_keep_coming_are_gathered():
    """Two hundred endpoints announce themselves within six seconds.

    If each instance asked ten times a second, 88 of them would take 900 of
    the store's calls a second, and all of it would be for rows that nobody
    needs one by one.
    """
    times = [1.0 + 0.03 * number for number in range(200)]
    calls, latest, seen = followed(times, seconds=9.0)
    assert seen == 200
    assert calls <= 6.0 / MOST_S + 8
    assert latest <= MOST_S + 0.05


def test_a_change_after_a_quiet_time_is_known_at_once():
    """Keys are revoked in a quiet hour, just after many endpoints came."""
    times = [1.0 + 0.03 * number for number in range(100)] + [7.0, 12.0]
    calls, _, _ = followed(times, seconds=6.9)
    more, _, seen = followed(times, seconds=7.05)
    assert seen == 101
    assert more <= calls + 2


@pytest.mark.parametrize("kind", [ForgetfulStore, SilentStore])
@pytest.mark.parametrize("stable_s", [4.0, 5.0])
def test_a_change_is_known_once_the_store_is_stable_again(kind, stable_s):
    """A new configuration comes just after the store dropped its history.

    The store had forgotten who waited for it, or their connections were
    silent.  An instance heard of it when its call had been held for all of
    5.4 s, and until then answered 404 for routes that had been added 5 s
    before: its log has "history_gone" and the old "configuration", and the
    new one 5.4 s later.
    """
    wait = following.max_wait(stable_s)
    at = kind.at + 0.1
    _, latest, seen = followed(
        [at], seconds=at + 2 * stable_s, kind=kind, wait=wait
    )
    assert seen == 1
    assert at + latest <= kind.at + stable_s
