"""Routes, services, teams and endpoints, in the product's words."""

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
    """A stage whose pieces must be done before the request can run.

    Parameters
    ----------
    service : str
        Service that works on the pieces.
    after : tuple of int
        Indices of the stages whose results it takes.
    result_bytes : int
        Approximate size of one result.
    """

    service: str
    after: tuple = ()
    result_bytes: int = 0


class Route(typing.NamedTuple):
    """Where requests of a host and path prefix go, and on what terms.

    Parameters
    ----------
    name, host, prefix : str
        The prefix begins and ends with a slash.
    services : tuple of (str, float)
        Names and weights; a request goes to one of them.
    streaming : bool
        Whether the answer is a series of events.
    idempotent : bool
        Whether a request may run more than once from its beginning.
    resumable : bool
        Whether a broken stream may go on after its last event.
    timeout_s : float
        Longest time a caller is kept waiting for the whole answer.
    target_s : float
        Time within which an answer (of a stream: its first event) is
        worth most.
    max_event_gap_s : float
        Longest pause between events of a stream that is on time.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Most endpoints one request may be sent to.
    stages : tuple of Stage
    anonymous : bool
        Whether requests need no key.
    sticky : bool
        Whether requests with a common prefix gain from one endpoint.
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


class EngineSpec(typing.NamedTuple):
    """What the engines of a service hold.

    Parameters
    ----------
    slots : int
        Requests that run at a time.
    memory_tokens : int
        Tokens of running requests and cached prefixes together.
    """

    slots: int
    memory_tokens: int


class PieceSpec(typing.NamedTuple):
    """How an endpoint works on pieces of stages; each value is for one.

    Parameters
    ----------
    slots : int
        Calls worked on at a time.
    queue : int
        Calls that may wait.
    batch : int
        Most pieces in a call.
    call_s, piece_s : float
        Time of a call, and what each piece adds to it.
    memory_bytes : float
        Memory for results.
    result_ttl_s : float
        How long a result is kept after the end of its call.
    """

    slots: int
    queue: int
    batch: int
    call_s: float
    piece_s: float
    memory_bytes: float
    result_ttl_s: float


class Service(typing.NamedTuple):
    """A pool of like endpoints.

    Parameters
    ----------
    name : str
    health_path : str
    max_connections : int
        Connections an endpoint takes from all instances together.
    engine : EngineSpec or None
        Set if its endpoints are model engines.
    pieces : PieceSpec or None
        Set if its endpoints work on pieces of stages.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None
    pieces: PieceSpec | None = None


class Team(typing.NamedTuple):
    """Whose requests share capacity.

    Parameters
    ----------
    name : str
    priority : int or None
        Goes before the priority of routes if set.
    """

    name: str
    priority: int | None = None


class Limits(typing.NamedTuple):
    """What a caller may send, and how long a connection may be idle."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    idle_s: float = 15.0


class Configuration(typing.NamedTuple):
    """What operators decided, at one version.

    Parameters
    ----------
    version : int
    routes : tuple of Route
    services : dict of str to Service
    teams : dict of str to Team
        By the keys that callers show.
    requires_key : bool
        Whether requests need a key at all.
    limits : Limits
    """

    version: int
    routes: tuple
    services: dict
    teams: dict
    requires_key: bool
    limits: Limits


class Endpoint(typing.NamedTuple):
    """A process that announced itself for a service.

    Parameters
    ----------
    id : str
        Usually new with each start; otherwise `started_at_ms` tells starts
        apart.
    service, address, zone : str
    slots : int
        Requests worked on at a time.
    is_draining : bool
        Whether it has asked for no new requests.
    started_at_ms : int
        Start of the process, Unix time in ms; 0 if it told none.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool = False
    started_at_ms: int = 0
