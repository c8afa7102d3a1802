"""Watches the age of the tables' copies.

Followers and the reader of the zone keep the copies current.  Whatever keeps
them from it, a copy that is not confirmed for long is noticed here, and its
table read from the store.
"""

import asyncio

from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.catalog import relay
from sycamoreshed.kernel import kernel

__all__ = ["StalenessMonitor", "max_age"]

CHECK_INTERVAL_S = 0.5
# The rows of instances are read at long intervals, and no request depends on
# their age.
TABLES = (catalogs.SETTINGS, catalogs.ENDPOINTS)


def max_age(max_wait_s, hold_s):
    """Return the age in seconds that no copy has while its follower works.

    Parameters
    ----------
    max_wait_s : float
        Seconds for which the store may hold a call of a reader.
    hold_s : float
        Seconds for which the reader may hold a request for changes.

    Examples
    --------
    >>> round(max_age(3.0, 1.0), 3)
    5.4
    """
    return max_wait_s + relay.STALE_SLACK_S + hold_s + relay.SLACK_S


class StalenessMonitor:
    """Has the tables of stale copies read from the store.

    Parameters
    ----------
    catalog : Catalog
    access : StoreAccess
    journal : Journal
    clock : callable
    max_age_s : float
        Age above which a copy counts as stale.
    """

    def __init__(self, *, catalog, access, journal, clock, max_age_s):
        self._catalog = catalog
        self._access = access
        self._journal = journal
        self._clock = clock
        self._max_age_s = max_age_s
        self._stale_since = {}

    async def run(self):
        """Check until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check(self._clock())

    def check(self, now):
        """Compare the age of each copy with the limit."""
        for table in TABLES:
            replica = self._catalog.replica(table)
            age_s = self._catalog.age(table, now)
            if not replica.has_copy:
                continue
            if age_s <= self._max_age_s:
                self._on_current(table, replica.position, now)
                continue
            self._access.enable(True)
            if table not in self._stale_since:
                self._stale_since[table] = now
                self._journal.write(
                    "table_stale",
                    table=table,
                    age_s=round(min(1e6, age_s), 3),
                    era=replica.position.era,
                    version=replica.position.version,
                    store_fails=self._access.is_unavailable,
                )

    def _on_current(self, table, position, now):
        since = self._stale_since.pop(table, None)
        if since is not None:
            self._journal.write(
                "table_current",
                table=table,
                era=position.era,
                version=position.version,
                for_s=round(now - since, 3),
            )


@kernel.plugin(
    "staleness", needs=("catalog", "following", "journal", "reading")
)
async def staleness(core):
    """Watch the age of the copies while the daemon runs."""
    monitor = StalenessMonitor(
        catalog=core.part("catalog"),
        access=core.part("following"),
        journal=core.part("journal"),
        clock=core.clock,
        max_age_s=max_age(
            core.part("reading").max_wait_s,
            relay.max_hold(core.settings.update_s),
        ),
    )
    core.keep_running(monitor.run, name="watch ages")
    yield monitor
