"""Routes, services, teams and endpoints, as decoded from the store."""

import typing

__all__ = [
    "Configuration",
    "Endpoint",
    "EngineSpec",
    "Limits",
    "PieceSpec",
    "Route",
    "Service",
    "Stage",
    "Team",
]


class Stage(typing.NamedTuple):
    """A stage whose pieces must be processed before the request can run.

    Parameters
    ----------
    service : str
        Service that processes the pieces.
    after : tuple of int
        Indices of the stages whose results are its input.
    result_bytes : int
        Approximate size of one result.
    """

    service: str
    after: tuple = ()
    result_bytes: int = 0


class Route(typing.NamedTuple):
    """Services and request options for a host and path prefix.

    Parameters
    ----------
    name, host, prefix : str
        The prefix begins and ends with a slash.
    services : tuple of (str, float)
        Names and weights; a request is sent to one of them.
    streaming : bool
        Whether the answer is an event stream.
    idempotent : bool
        Whether a request may run more than once from its beginning.
    resumable : bool
        Whether a broken stream may be resumed after its last event.
    timeout_s : float
        Maximum time until the caller has the full answer.
    target_s : float
        Latency target of the answer (of a stream: of its first event);
        later answers are worth less.
    max_event_gap_s : float
        Maximum time between events of a stream that meets its target.
    priority : int
        0 is the highest priority.
    max_attempts : int
        Maximum number of endpoints a request may be sent to.
    stages : tuple of Stage
    anonymous : bool
        Whether requests are accepted without a key.
    sticky : bool
        Whether requests with a common prefix benefit from the same endpoint.
    allowed_regions : frozenset of str
        Regions in which its requests may be served; empty for all.
    """

    name: str
    host: str
    prefix: str
    services: tuple
    streaming: bool = False
    idempotent: bool = False
    resumable: bool = False
    timeout_s: float = 30.0
    target_s: float = 1.0
    max_event_gap_s: float = 1.0
    priority: int = 0
    max_attempts: int = 1
    stages: tuple = ()
    anonymous: bool = False
    sticky: bool = False
    allowed_regions: frozenset = frozenset()


class EngineSpec(typing.NamedTuple):
    """Capacity of an engine of a service.

    Parameters
    ----------
    slots : int
        Maximum number of requests that run at a time.
    memory_tokens : int
        Maximum tokens of running requests and cached prefixes together.
    """

    slots: int
    memory_tokens: int


class PieceSpec(typing.NamedTuple):
    """Capacity and speed of a single endpoint that processes pieces.

    Parameters
    ----------
    slots : int
        Calls processed at a time.
    queue : int
        Calls that may wait.
    batch : int
        Maximum number of pieces in a call.
    call_s, piece_s : float
        Fixed time of a call, and additional time for each piece.
    memory_bytes : float
        Memory for results.
    result_ttl_s : float
        Time for which a result is stored after the end of its call.
    """

    slots: int
    queue: int
    batch: int
    call_s: float
    piece_s: float
    memory_bytes: float
    result_ttl_s: float


class Service(typing.NamedTuple):
    """A pool of interchangeable endpoints.

    Parameters
    ----------
    name : str
    health_path : str
    max_connections : int
        Connections an endpoint accepts from all instances together.
    engine : EngineSpec or None
        Set if its endpoints are model engines.
    pieces : PieceSpec or None
        Set if its endpoints process pieces of stages.
    cold_start_s : float
        Seconds for which an endpoint is cold after its start.
    cold_rate : float or None
        Requests per second that a cold endpoint takes from all instances
        together; None if it takes as many as a warm one.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None
    pieces: PieceSpec | None = None
    cold_start_s: float = 0.0
    cold_rate: float | None = None


class Team(typing.NamedTuple):
    """A customer, whose requests share capacity.

    Parameters
    ----------
    name : str
    priority : int or None
        Overrides the priority of routes if set.
    allowed_regions : frozenset of str
        Regions in which its requests may be served; empty for all.
    """

    name: str
    priority: int | None = None
    allowed_regions: frozenset = frozenset()


class Limits(typing.NamedTuple):
    """Maximum sizes of a request, and timeouts of a connection.

    ``idle_s`` counts without a byte of a request, ``head_s`` from its first
    byte to the end of its head.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    idle_s: float = 15.0
    head_s: float = 5.0


class Configuration(typing.NamedTuple):
    """The operators' configuration at one version.

    Parameters
    ----------
    version : int
    routes : tuple of Route
    services : dict of str to Service
    teams : dict of str to Team
        By the keys that callers present.
    requires_key : bool
        Whether requests need a key, except on anonymous routes.
    limits : Limits
    """

    version: int
    routes: tuple
    services: dict
    teams: dict
    requires_key: bool
    limits: Limits


class Endpoint(typing.NamedTuple):
    """A registered process of a service.

    Parameters
    ----------
    id : str
        Usually new with each start; otherwise `started_at_ms` tells starts
        apart.
    service, address, zone : str
    slots : int
        Requests processed at a time.
    is_draining : bool
        Whether it has asked to receive no new requests.
    started_at_ms : int
        Start of the process, Unix time in ms; 0 if not reported.
    cold_s : float
        Seconds for which it stays cold, as of its registration's last change.
    software_version : str
        Version of its software, not of its weights; empty if not reported.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool = False
    started_at_ms: int = 0
    cold_s: float = 0.0
    software_version: str = ""

    @property
    def boot(self):
        """Name of this process, other than that of a next one with its id."""
        return f"{self.id}@{self.started_at_ms}"
