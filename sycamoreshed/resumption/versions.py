"""Software versions of services, in the order in which they came.

Instances agree on the order by a finding for each service.  What it lists may
have begun streams that callers still take up.  It outlasts all instances, as
versions may leave and come while none runs.
"""

import typing

import msgspec

from sycamoreshed.catalog import software
from sycamoreshed.findings import topics
from sycamoreshed.membership import rendezvous

__all__ = ["STORED", "VERSIONS", "VersionHistory"]

VERSIONS = topics.register(
    topics.Topic(
        "software_versions",
        3600.0,
        1024,
        is_durable=True,
        value_type=list[str],
    )
)
# The same lists once they are in the store.
STORED = topics.register(
    topics.Topic("stored_versions", 3600.0, 1024, value_type=list[str])
)
# Age at which a list that still holds is told again.
REFRESH_S = 1200.0
# Interval between checks of the lists, besides those after changes.
CHECK_S = 0.3
# Instances tell a change in an order that they all compute, with this delay
# between them, so that one of them does unless it cannot.
TELL_DELAY_S = 0.3
MAX_TELL_DELAYS = 3
# Time after its start during which an instance does not add to a list.  Others
# that were lost with it start meanwhile, so that they know what came later.
SETTLE_S = 2.0


class _Change(typing.NamedTuple):
    versions: list
    due_at: float


class VersionHistory:
    """Which software versions of services may have begun streams.

    Parameters
    ----------
    own : str
        Name of this instance.
    board : Board
    catalog : Catalog
    peers : PeerDirectory
    publish : callable
        Tells all instances a finding, and stores it.
    load : callable
        Takes the findings of the copy of the store's table.
    journal : Journal
    """

    def __init__(self, *, own, board, catalog, peers, publish, load, journal):
        self._own = own
        self._board = board
        self._catalog = catalog
        self._peers = peers
        self._publish = publish
        self._load = load
        self._journal = journal
        # Versions by service that came before this instance; None until the
        # instance knows them.
        self._initial = None
        self._stored_before = {}
        self._settled_at = float("inf")
        self._changes = {}
        self._absent_since = {}

    @property
    def is_loaded(self):
        """Whether this instance knows which versions came before it."""
        return self._initial is not None

    def has_several(self, now):
        """Return whether any service has several versions."""
        return any(
            len(self.of_service(service, now)) > 1
            for service in self._catalog.routes.resumable_services
        )

    def load(self):
        """Take the lists that the copy of the store's table holds."""
        self._load()

    def of_service(self, service, now):
        """Return the versions that may have begun streams, oldest first."""
        listed = self._listed(service, now)
        seen = self._catalog.software_versions(service, now)
        return [*listed, *sorted(seen - set(listed))]

    def stored(self, service, now):
        """Return the versions that the store lists, oldest first.

        A stream that begins at another one may outlast what is known of it.
        """
        told = self._find(STORED, service, now)
        if told is not None:
            return told
        return self._stored_before.get(service, [])

    def record_stored(self, service, versions, now, unix_ms):
        """Tell all instances that the store has a list."""
        self._publish(
            self._board.add(
                STORED.name, service, versions, now=now, unix_ms=unix_ms
            )
        )

    def possible(self, service, now):
        """Return the versions that may have begun an unknown stream.

        Streams of the oldest version are not told to other instances before
        they begin.  Those of a later one are, so that this instance knows
        them if the version came after its own start.
        """
        if self._initial is None:
            return []
        initial = self._initial.get(service, ())
        versions = self.of_service(service, now)
        return [
            each for each in versions if each == versions[0] or each in initial
        ]

    def update(self, now, unix_ms):
        """Tell changes of the lists that no other instance has told."""
        if self._initial is None:
            self._initialise(now)
        if self._initial is None:
            return
        for service in self._catalog.routes.resumable_services:
            wanted = self._wanted(service, now)
            if wanted is None:
                self._changes.pop(service, None)
                continue
            change = self._changes.get(service)
            if change is None or change.versions != wanted:
                due_at = now + self._tell_delay_s(service, now)
                if self._listed(service, now):
                    due_at = max(due_at, self._settled_at)
                change = self._changes[service] = _Change(wanted, due_at)
            if now >= change.due_at:
                self._tell(service, wanted, now, unix_ms)

    async def run(self, clock, unix_ms):
        """Keep the lists up to date until cancelled."""
        while True:
            self.update(clock(), unix_ms())
            await self._catalog.changed.wait(CHECK_S)

    def _listed(self, service, now):
        return self._find(VERSIONS, service, now) or []

    def _find(self, topic, service, now):
        """Return the list that a finding holds, or None."""
        entry = self._board.find(topic.name, service, now)
        if entry is None:
            return None
        try:
            return msgspec.convert(entry.value, list[str])
        except msgspec.ValidationError as err:
            # Another version of the program may tell more.
            self._journal.write("finding_bad", topic=topic.name, why=str(err))
            return None

    def _initialise(self, now):
        if not self._catalog.is_ready or not self._catalog.has_peers:
            return
        self._load()
        services = {
            *self._catalog.services,
            *self._board.entries(VERSIONS.name, now),
        }
        self._stored_before = {
            service: self._listed(service, now) for service in services
        }
        # A version that is not listed has begun no streams yet.
        self._initial = {
            service: frozenset(listed or self.of_service(service, now))
            for service, listed in self._stored_before.items()
        }
        self._settled_at = now + SETTLE_S

    def _wanted(self, service, now):
        """Return a service's list if it has to be told, or None."""
        entry = self._board.find(VERSIONS.name, service, now)
        listed = self._listed(service, now)
        seen = self._catalog.software_versions(service, now)
        kept = [
            each
            for each in listed
            if not self._is_forgotten(service, each, seen, now)
        ]
        wanted = [*kept, *sorted(seen - set(listed))]
        if not wanted:
            return None
        is_current = wanted == listed and now - entry.at < REFRESH_S
        return None if is_current else wanted

    def _is_forgotten(self, service, version, seen, now):
        """Return whether no stream of a version is taken up any more."""
        key = service, version
        if version in seen or not seen:
            self._absent_since.pop(key, None)
            return False
        absent_since = self._absent_since.setdefault(key, now)
        return now - absent_since >= software.MEMORY_S

    def _tell_delay_s(self, service, now):
        names = {
            name
            for zone in self._peers.zones()
            for name in self._peers.of_zone(zone, now)
        }
        first = rendezvous.top(
            f"versions {service}", names, min(len(names), MAX_TELL_DELAYS)
        )
        rank = first.index(self._own) if self._own in first else len(first)
        return TELL_DELAY_S * rank

    def _tell(self, service, versions, now, unix_ms):
        self._changes.pop(service, None)
        self._journal.write(
            "versions_listed", service=service, versions=versions
        )
        self._publish(
            self._board.add(
                VERSIONS.name, service, versions, now=now, unix_ms=unix_ms
            )
        )
