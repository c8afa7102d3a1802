"""Local copies of what operators, endpoints and instances wrote."""

import contextlib
import typing

import msgspec

from sycamoreshed.adapters import decoding
from sycamoreshed.adapters import positions
from sycamoreshed.catalog import availability
from sycamoreshed.catalog import inforce
from sycamoreshed.catalog import replica
from sycamoreshed.catalog import signals
from sycamoreshed.catalog import software
from sycamoreshed.catalog import warmups
from sycamoreshed.kernel import kernel

__all__ = ["EXPIRY_GRACE_S", "FINDING_PREFIX", "Catalog", "Peer"]

# Entries of live endpoints that expired while the store was unavailable are
# written again within two seconds of its recovery, as the platform documents;
# one that is still missing after that belongs to no live endpoint.
EXPIRY_GRACE_S = 2.0
# A zone that was evacuated stays so for this long if the store came back
# from a copy that does not say so.
EVACUATION_GRACE_S = 5.0
# Cores above which the row of an instance is taken for a mistake: the others
# of its zone would count as too small.
MAX_CORES = 10_000
SETTINGS = "settings"
ENDPOINTS = "endpoints"
PEERS = "peers"
# Begins the keys of findings, which share the table of peers: a table of
# their own would cost a long poll more.
FINDING_PREFIX = "finding/"


class Peer(typing.NamedTuple):
    """An instance, as it registered itself.

    Parameters
    ----------
    name, zone, control : str
        ``control`` is its ``IP:port`` for other instances.
    boot : int
        Start of its process, Unix time in ms.
    cores : float
        Processor time it may use, in cores; 0 if not reported.
    is_draining : bool
        Whether it is stopping: it finishes its work and accepts no more.
    """

    name: str
    zone: str
    control: str
    boot: int = 0
    cores: float = 0.0
    is_draining: bool = False


class Catalog:
    """Copies of three tables, and their rows decoded to objects.

    Parameters
    ----------
    decode_configuration, decode_endpoint : callable
        Decode bytes to a `Configuration`, and a key and bytes to an
        `Endpoint`; both raise `msgspec.MsgspecError`.
    configuration_key : str
        Key of the settings row that holds the configuration.
    evacuated_zone : callable
        Returns the zone that the settings row with a key evacuates, or None.
    journal : Journal
    check_address : callable, optional
        Raises `msgspec.ValidationError` for what is no address of an
        instance.
    """

    def __init__(
        self,
        *,
        decode_configuration,
        decode_endpoint,
        configuration_key,
        evacuated_zone,
        journal,
        check_address=None,
    ):
        self._decode_endpoint = decode_endpoint
        self._configuration_key = configuration_key
        self._evacuated_zone = evacuated_zone
        self._journal = journal
        self._check_address = check_address
        self._replicas = {
            SETTINGS: replica.Replica(),
            ENDPOINTS: replica.Replica(),
            PEERS: replica.Replica(),
        }
        self._in_force = inforce.ConfigurationInForce(
            decode=decode_configuration, journal=journal
        )
        self._availability = availability.Availability(journal=journal)
        self._warmups = warmups.Warmups()
        self._software = software.SoftwareVersions()
        self._endpoints = {}
        self._by_service = {}
        self._retained = {}
        self._peers = {}
        self._findings = {}
        self._grace_ends_at = 0.0
        self._changed = signals.Signal()
        self._confirmed = dict.fromkeys(self._replicas, float("-inf"))
        # Tables whose rows were installed, but not decoded to the end.
        self._underived = set()

    @property
    def tables(self):
        """Names of the tables that are copied."""
        return tuple(self._replicas)

    @property
    def configuration(self):
        """The configuration in force, or None."""
        return self._in_force.configuration

    @property
    def unlisted_configuration(self):
        """Bytes of the configuration in force if its row is older, or None.

        The store may have come back from a copy with an older one.
        """
        return self._in_force.unlisted

    @property
    def routes(self):
        """The `RouteTable` of the configuration in force."""
        return self._in_force.routes

    @property
    def peers(self):
        """Registered instances by name; must not be modified."""
        return self._peers

    @property
    def evacuations(self):
        """The `Evacuations` in force."""
        return self._availability.evacuations

    @property
    def rests(self):
        """The `Rests` that endpoints asked for."""
        return self._availability.rests

    @property
    def findings(self):
        """Stored findings, bytes by key without prefix; not to be modified.

        A new dict after each change.
        """
        return self._findings

    @property
    def store_era(self):
        """Latest era of the store that any copy is of; -1 without a copy."""
        return max(each.position.era for each in self._replicas.values())

    @property
    def changed(self):
        """`Signal` that fires for a newer full copy or changed rows."""
        return self._changed

    @property
    def is_ready(self):
        """Whether the configuration and the endpoints are loaded."""
        has_endpoints = self._replicas[ENDPOINTS].has_copy
        return self.configuration is not None and has_endpoints

    @property
    def has_peers(self):
        """Whether the table of instances and findings is loaded."""
        return self._replicas[PEERS].has_copy

    def replica(self, table):
        """Return the `Replica` of a table."""
        return self._replicas[table]

    def age(self, table, now):
        """Return the seconds since a table was last confirmed current."""
        return now - self._confirmed[table]

    def mark_current(self, table, position, at):
        """Record that the store was at a position at a time.

        The copy of the table was current then if it has that position; if
        nothing was taken of what the store answered, it need not have been.
        """
        if position == self._replicas[table].position:
            self._confirmed[table] = max(self._confirmed[table], at)

    def endpoints(self, service, now):
        """Return the endpoints of a service that may get new work.

        Without those that leave, rest or are in an evacuated zone, and with
        retained ones that have no entry.
        """
        listed = self._listed(service, now)
        if not self.rests:
            return listed
        return tuple(
            each for each in listed if not self.rests.remaining_s(each, now)
        )

    def resting(self, service, now):
        """Return the endpoints that get no new work because they rest.

        Returns
        -------
        list of (Endpoint, float)
            With the remaining seconds of each.
        """
        if not self.rests:
            return []
        remaining = [
            (each, self.rests.remaining_s(each, now))
            for each in self._listed(service, now)
        ]
        return [each for each in remaining if each[1]]

    def takes_work(self, endpoint, now):
        """Return whether an endpoint may get new work.

        False as well if it started again since `endpoint` was listed.
        """
        self._refresh(now)
        current = self._endpoints.get(endpoint.id)
        if current is None or current.boot != endpoint.boot:
            return False
        return self._availability.takes_work(current, now)

    def count_leaving(self, service):
        """Return how many listed endpoints of a service leave."""
        return sum(
            each.service == service and self._availability.is_leaving(each)
            for each in self._endpoints.values()
        )

    def set_departures(self, boots):
        """Replace the endpoints that leave by their answers.

        Parameters
        ----------
        boots : frozenset of str
            See `Endpoint.boot`.
        """
        if self._availability.set_departures(boots):
            self._group_endpoints()

    def endpoint(self, endpoint_id):
        """Return the `Endpoint` with an id, or None."""
        return self._endpoints.get(endpoint_id)

    def software_versions(self, service, now):
        """Return the software versions of a service's endpoints.

        Including those of endpoints that leave, or left a short time ago.
        """
        return self._software.of_service(service, now)

    @property
    def services(self):
        """Names of the services that have endpoints listed."""
        return {each.service for each in self._endpoints.values()}

    def is_cold(self, endpoint, now):
        """Return whether an endpoint has not warmed up yet."""
        service = self.configuration and self.configuration.services.get(
            endpoint.service
        )
        cold_start_s = service.cold_start_s if service else 0.0
        return self._warmups.is_cold(endpoint, now, cold_start_s=cold_start_s)

    def count_cold(self, now):
        """Return the number of endpoints that have not warmed up yet."""
        return sum(
            self.is_cold(each, now) for each in self._endpoints.values()
        )

    def remaining_grace_s(self, now):
        """Return the seconds for which missing endpoints are retained."""
        return max(0.0, self._grace_ends_at - now)

    def on_store_recovered(self, now, grace_s=EXPIRY_GRACE_S):
        """Start retaining missing endpoints, as the store has recovered.

        Parameters
        ----------
        now : float
        grace_s : float
            Seconds for which endpoints without an entry are retained; less
            if another instance noticed the recovery before this one.

        Notes
        -----
        Endpoints cannot renew their entries while the store is unavailable,
        and the store drops them like those of dead endpoints.  Without the
        grace period a service would lose all its endpoints when the store
        recovers.
        """
        self._grace_ends_at = max(self._grace_ends_at, now + grace_s)

    def replace(self, table, rows, position, now, *, source):
        """Install a full copy of a table; return whether it was newer."""
        held = self._replicas[table].position
        is_newer = self._replicas[table].replace(rows, position)
        if is_newer and held != positions.UNKNOWN and position.era > held.era:
            self._on_store_restored(table, held, now, source)
        if is_newer or table in self._underived:
            self._derive(table, now, source)
        return is_newer

    def apply(self, table, rows, since, position, now, *, source):
        """Apply changes of a table; return whether it advanced."""
        is_newer = self._replicas[table].apply(rows, since, position)
        if (is_newer and rows) or table in self._underived:
            self._derive(table, now, source)
        return is_newer

    def _on_store_restored(self, table, held, now, source):
        """Keep what is known to be newer than the copy of the store.

        The operators and the endpoints write again what the store has lost,
        but may need some time for it.
        """
        position, rows = self._replicas[table].copy
        self._journal.write(
            "store_restored",
            table=table,
            era=position.era,
            version=position.version,
            held_era=held.era,
            held_version=held.version,
            source=source,
        )
        if table == SETTINGS:
            self.evacuations.retain(now + EVACUATION_GRACE_S)
        elif table == ENDPOINTS:
            self.on_store_recovered(now)
            self._hold_stale_entries(rows, now)

    def _hold_stale_entries(self, rows, now):
        boots = []
        for key, raw in rows.items():
            # Rows that name no endpoint are logged where they are derived.
            with contextlib.suppress(msgspec.MsgspecError):
                boots.append(self._decode_endpoint(key, raw).boot)
        for boot in self._availability.stale_entries.on_restored(boots, now):
            self._journal.write("endpoint_held", endpoint=boot)

    def _derive(self, table, now, source):
        self._underived.add(table)
        if table == SETTINGS:
            position, rows = self._replicas[SETTINGS].copy
            raw = rows.get(self._configuration_key)
            self._in_force.update(raw, position.version, source)
            self._derive_evacuations(now, source)
        elif table == ENDPOINTS:
            self._derive_endpoints(now, source)
        else:
            self._derive_peers()
        self._underived.discard(table)
        self._changed.fire()

    def adopt_configuration(self, raw, source):
        """Put a configuration in force that another instance has.

        Parameters
        ----------
        raw : bytes
        source : str
            Address of that instance.
        """
        version = self._replicas[SETTINGS].position.version
        if self._in_force.adopt(raw, version, source):
            self._changed.fire()

    def _derive_evacuations(self, now, source):
        rows = self._replicas[SETTINGS].rows
        zones = {self._evacuated_zone(key) for key in rows} - {None}
        if self.evacuations.update(zones, now, source):
            self._group_endpoints()

    def _derive_endpoints(self, now, source):
        copy = self._replicas[ENDPOINTS].copy
        previous = self._endpoints
        endpoints = {}
        for key, raw in copy.rows.items():
            try:
                endpoints[key] = self._decode_endpoint(key, raw)
            except msgspec.MsgspecError as err:
                # Logged once, when a known endpoint's row becomes invalid.
                if key in previous:
                    self._journal.write(
                        "endpoint_bad", endpoint=key, why=str(err)
                    )
        if now < self._grace_ends_at:
            for key, endpoint in previous.items():
                if key not in copy.rows and not endpoint.is_draining:
                    endpoints[key] = endpoint
                    self._retained[key] = self._grace_ends_at
        for key in list(self._retained):
            if key in copy.rows:
                del self._retained[key]
        self._warmups.update(
            previous, endpoints, now, has_previous=bool(previous)
        )
        self._set_endpoints(endpoints, copy.position.version, now, source)

    def _set_endpoints(self, endpoints, version, now, source):
        previous = self._endpoints
        for key, each in endpoints.items():
            earlier = previous.get(key)
            if earlier is None or earlier.is_draining != each.is_draining:
                self._journal.write(
                    "endpoint_leaving"
                    if each.is_draining
                    else "endpoint_seen",
                    endpoint=key,
                    service=each.service,
                    address=each.address,
                    software_version=each.software_version,
                    store_version=version,
                    source=source,
                )
        for key in previous.keys() - endpoints.keys():
            self._journal.write(
                "endpoint_gone",
                endpoint=key,
                store_version=version,
                source=source,
            )
        self._record_departures(previous, endpoints, now)
        self._software.update(previous.values(), endpoints.values(), now)
        self._endpoints = endpoints
        self._group_endpoints()

    def _record_departures(self, previous, endpoints, now):
        """Remember who left, in case the store forgets it."""
        stale_entries = self._availability.stale_entries
        boots = {each.boot for each in endpoints.values()}
        stale_entries.retain(boots)
        for each in previous.values():
            if each.boot not in boots:
                stale_entries.record_left(each.boot, now, has_said_so=False)
        for each in endpoints.values():
            if each.is_draining:
                stale_entries.record_left(each.boot, now, has_said_so=True)
            else:
                stale_entries.record_listed(each.boot)

    def _group_endpoints(self):
        grouped = {}
        for each in self._endpoints.values():
            if self._availability.is_open(each):
                grouped.setdefault(each.service, []).append(each)
        self._by_service = {
            name: tuple(each) for name, each in grouped.items()
        }

    def _listed(self, service, now):
        self._refresh(now)
        return self._by_service.get(service, ())

    def _refresh(self, now):
        """End what was kept only for a time."""
        if self._retained:
            self._expire(now)
        has_released = self._availability.stale_entries.release(now)
        if self.evacuations.release(now) or has_released:
            self._group_endpoints()

    def _expire(self, now):
        expired = {
            key
            for key, expires_at in self._retained.items()
            if now >= expires_at
        }
        if not expired:
            return
        for key in expired:
            del self._retained[key]
        remaining = {
            key: each
            for key, each in self._endpoints.items()
            if key not in expired
        }
        version = self._replicas[ENDPOINTS].position.version
        self._set_endpoints(remaining, version, now, "lapse")

    def _derive_peers(self):
        decoded = {}
        findings = {}
        for key, raw in self._replicas[PEERS].rows.items():
            if key.startswith(FINDING_PREFIX):
                findings[key.removeprefix(FINDING_PREFIX)] = raw
                continue
            try:
                decoded[key] = self._decode_peer(key, raw)
            except msgspec.MsgspecError as err:
                self._journal.write("peer_bad", peer=key, why=str(err))
        self._peers = decoded
        self._findings = findings

    def _decode_peer(self, key, raw):
        """Decode a row of the table of instances into a `Peer`.

        Raises
        ------
        msgspec.MsgspecError
            If it names no instance.
        """
        peer = decoding.decode(raw, Peer)
        if peer.name != key:
            raise msgspec.ValidationError("the row of another instance")
        if not 0 <= peer.cores <= MAX_CORES:
            raise msgspec.ValidationError("no number of cores")
        decoding.check_integer(peer.boot)
        if self._check_address is not None:
            self._check_address(peer.control)
        return peer


@kernel.plugin("catalog", needs=("platform", "journal"))
async def catalog(core):
    """Provide the empty catalog; other parts update it."""
    codec = core.part("platform")
    yield Catalog(
        decode_configuration=codec.decode_configuration,
        decode_endpoint=codec.decode_endpoint,
        configuration_key=codec.configuration_key,
        evacuated_zone=codec.evacuated_zone,
        journal=core.part("journal"),
        check_address=decoding.check_address,
    )
