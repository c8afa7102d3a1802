"""Decodes what operators and endpoints write into this project's types.

The structs have the field names of the platform's wire format; nothing
outside this module uses them.
"""

import msgspec

from sycamoreshed.adapters import decoding
from sycamoreshed.catalog import types
from sycamoreshed.platform import names

__all__ = ["decode_configuration", "decode_endpoint", "evacuated_zone"]

BYTES_PER_MB = 1e6
# Slots above which an entry is taken for a mistake: it would draw the load of
# all others.
MAX_SLOTS = 100_000
MAX_COLD_MS = 86_400_000
# Of a software version, which instances tell each other.
MAX_VERSION_LENGTH = 200


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Stage(msgspec.Struct):
    service: str
    # Indices of the stages whose results are its inputs.
    after: list[int] = []
    # Approximate size of one result.
    size_bytes: float = 0.0


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    # Tells which requests may run again: "safe" (idempotent), "unsafe" or
    # "streaming" (only if resumable).
    route_kind: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    priority: int = 0
    service: str | None = None
    split: list[_Split] = []
    max_attempts: int = 1
    stages: list[_Stage] = []
    anonymous: bool = False
    sticky: bool = False
    resumable: bool = False
    # Maximum gap between events of a stream.
    itl_target_ms: float = 1000.0
    allowed_regions: list[str] | None = None


class _Engine(msgspec.Struct):
    slots: int = 1
    # Memory of the engine, in tokens.
    kv_capacity: int = 0


class _Segments(msgspec.Struct):
    # The wire calls pieces of a stage "segments"; here they describe how
    # one endpoint works on them.
    # Calls worked on at a time, and calls that may wait.
    slots: int = 1
    queue: int = 0
    # Maximum number of pieces in a call.
    batch: int = 1
    # Time of a call, and what each piece adds to it.
    call_ms: float = 0.0
    item_ms: float = 0.0
    # Memory for results.
    headroom_mb: float = 0.0
    # How long a result is stored after the end of its call.
    handle_s: float = 1.0


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/healthz"
    max_connections: int = 100
    engine: _Engine | None = None
    segments: _Segments | None = None
    cold_start_s: float = 0.0
    # Requests per second of a cold endpoint; 0 if they are not limited.
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    idle_timeout_ms: float = 15000.0
    header_timeout_ms: float = 5000.0


class _Tenant(msgspec.Struct):
    # The wire calls a team a tenant.
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    allowed_regions: list[str] | None = None


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _EndpointEntry(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    # Start of the endpoint's process, not of the entry, in Unix time in ms;
    # at the top level of everything an endpoint writes about itself.
    born: int = 0
    cold_remaining_ms: float = 0.0
    # Version of its software; text, but another value tells versions apart.
    version: str | int | float | bool | None = ""


_IS_DRAINING = {"ready": False, "draining": True}


def decode_configuration(raw):
    """Decode the bytes that an operator wrote into a `Configuration`.

    Raises
    ------
    msgspec.MsgspecError
        If the bytes are not one; the current one then stays in force.
    """
    wire = decoding.decode(raw, _Configuration)
    teams = {}
    for tenant in wire.tenants or ():
        team = types.Team(
            tenant.name,
            tenant.priority,
            frozenset(tenant.allowed_regions or ()),
        )
        for key in tenant.api_keys:
            teams[key] = team
    return types.Configuration(
        version=wire.version,
        routes=tuple(_to_route(each) for each in wire.routes),
        services={each.name: _to_service(each) for each in wire.services},
        teams=teams,
        requires_key=wire.tenants is not None,
        limits=types.Limits(
            header_bytes=wire.limits.max_header_bytes,
            body_bytes=wire.limits.max_body_bytes,
            idle_s=wire.limits.idle_timeout_ms / 1000,
            head_s=wire.limits.header_timeout_ms / 1000,
        ),
    )


def _to_route(wire):
    services = [(each.service, each.weight) for each in wire.split]
    if not services and wire.service is not None:
        services = [(wire.service, 1.0)]
    streaming = wire.route_kind == "streaming"
    return types.Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.prefix,
        services=tuple(services),
        streaming=streaming,
        idempotent=wire.route_kind == "safe",
        resumable=streaming and wire.resumable,
        timeout_s=wire.timeout_ms / 1000,
        target_s=wire.target_latency_ms / 1000,
        max_event_gap_s=wire.itl_target_ms / 1000,
        priority=wire.priority,
        max_attempts=max(1, wire.max_attempts),
        stages=tuple(
            types.Stage(each.service, tuple(each.after), int(each.size_bytes))
            for each in wire.stages
        ),
        anonymous=wire.anonymous,
        sticky=wire.sticky,
        allowed_regions=frozenset(wire.allowed_regions or ()),
    )


def _to_service(wire):
    engine = pieces = None
    if wire.engine is not None:
        engine = types.EngineSpec(wire.engine.slots, wire.engine.kv_capacity)
    if wire.segments is not None:
        spec = wire.segments
        pieces = types.PieceSpec(
            slots=max(1, spec.slots),
            queue=spec.queue,
            batch=max(1, spec.batch),
            call_s=spec.call_ms / 1000,
            piece_s=spec.item_ms / 1000,
            memory_bytes=spec.headroom_mb * BYTES_PER_MB,
            result_ttl_s=spec.handle_s,
        )
    return types.Service(
        name=wire.name,
        health_path=wire.health_path,
        max_connections=wire.max_connections,
        engine=engine,
        pieces=pieces,
        cold_start_s=wire.cold_start_s,
        cold_rate=wire.cold_per_s or None,
    )


def evacuated_zone(key):
    """Return the zone that an operator's row evacuates, or None.

    Examples
    --------
    >>> evacuated_zone("evacuate/north-a"), evacuated_zone("config")
    ('north-a', None)
    """
    if not key.startswith(names.EVACUATION_PREFIX):
        return None
    return key.removeprefix(names.EVACUATION_PREFIX) or None


def decode_endpoint(key, raw):
    """Decode an entry of the table of endpoints into an `Endpoint`.

    Raises
    ------
    msgspec.MsgspecError
        If it names no usable endpoint: other writers leave entries with
        missing fields, other types or other states.
    """
    wire = decoding.decode(raw, _EndpointEntry)
    version = str(wire.version)
    # The id is sent in a header.
    if not (key.isascii() and key.isprintable()):
        raise msgspec.ValidationError("no id")
    if wire.state not in _IS_DRAINING:
        raise msgspec.ValidationError(f"unknown state {wire.state[:20]!r}")
    if len(version) > MAX_VERSION_LENGTH or not version.isprintable():
        raise msgspec.ValidationError("no version")
    if not wire.cold_remaining_ms <= MAX_COLD_MS:
        raise msgspec.ValidationError("no duration")
    if wire.slots > MAX_SLOTS:
        raise msgspec.ValidationError("no number of slots")
    decoding.check_integer(wire.born)
    decoding.check_address(wire.address)
    return types.Endpoint(
        id=key,
        service=wire.service,
        address=wire.address,
        zone=wire.zone,
        slots=max(1, wire.slots),
        is_draining=_IS_DRAINING[wire.state],
        started_at_ms=wire.born,
        cold_s=max(0.0, wire.cold_remaining_ms / 1000),
        software_version=version,
    )
