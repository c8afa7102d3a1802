"""Contents of a daemon's settings file, and its validation."""

import ipaddress
import typing

import msgspec

from sycamoreshed import exceptions
from sycamoreshed.settings import checking

__all__ = [
    "Document",
    "Settings",
    "check_address",
    "check_addresses",
    "load",
    "parse",
]

PositiveInt = typing.Annotated[int, msgspec.Meta(gt=0)]
NonNegative = typing.Annotated[float, msgspec.Meta(ge=0)]
ADDRESS_FIELDS = (
    "public",
    "control",
    "advertise",
    "table",
    "objects",
    "instance_list",
)
# From when new requests are rejected to when the process is killed.
MIN_STOP_S = 3.0
LogLevel = typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"]


class TariffHours(typing.TypedDict):
    """Hours of the day in which attainment has another value.

    They span midnight if ``begin`` is greater than ``end``.
    """

    begin: float
    end: float
    attainment: NonNegative


class Tariff(typing.TypedDict):
    """Value of attainment relative to the cost of traffic between regions.

    ``attainment``: value of one request answered in time, in cost units.
    ``crossing_mb``: cost units of a megabyte sent between regions.
    ``hours``: hours with another value.  ``hour``: replaces the current
    hour of the day, for experiments.
    """

    attainment: NonNegative
    crossing_mb: NonNegative
    hours: typing.NotRequired[list[TariffHours]]
    hour: typing.NotRequired[float]


class Document(typing.TypedDict):
    """The settings file as decoded; see `Settings`."""

    instance: str
    region: str
    zone: str
    public: str
    control: str
    table: str
    objects: str
    instance_list: str
    peers: typing.NotRequired[list[str]]
    advertise: typing.NotRequired[str]
    routing: typing.NotRequired[str]
    fairness: typing.NotRequired[str]
    limiter: typing.NotRequired[str]
    tariff: typing.NotRequired[Tariff]
    hedging: typing.NotRequired[bool]
    retry_share: typing.NotRequired[NonNegative]
    slots: typing.NotRequired[PositiveInt]
    queue: typing.NotRequired[PositiveInt]
    grace_s: typing.NotRequired[NonNegative]
    drain_s: typing.NotRequired[NonNegative]
    stop_s: typing.NotRequired[NonNegative]
    max_body_bytes: typing.NotRequired[PositiveInt]
    max_control_bytes: typing.NotRequired[PositiveInt]
    record_ttl_s: typing.NotRequired[NonNegative]
    record_group: typing.NotRequired[PositiveInt]
    store_timeout_s: typing.NotRequired[NonNegative]
    lease_s: typing.NotRequired[NonNegative]
    lease_margin_s: typing.NotRequired[NonNegative]
    order_longest_s: typing.NotRequired[NonNegative]
    order_look_s: typing.NotRequired[NonNegative]
    loads_at_once: typing.NotRequired[PositiveInt]
    weight_rate: typing.NotRequired[NonNegative]
    memory_mb: typing.NotRequired[PositiveInt]
    log_level: typing.NotRequired[LogLevel]


class Settings(typing.NamedTuple):
    """Settings of one entry instance.

    Parameters
    ----------
    instance : str
        Name of this instance, unique among live ones.
    region, zone : str
        Where it runs.
    public : str
        ``IP:port`` on which callers are served.
    control : str
        ``IP:port`` on which peers and operators are served.
    table, objects, instance_list : str
        ``IP:port`` of the platform's services.
    peers : list of str
        Control addresses of peers to contact first; others are discovered.
    advertise : str
        Control address reported to peers; default ``control``.
    routing : str
        Name of the routing policy.
    fairness : str
        Name of the order in which waiting requests are admitted.
    limiter : str
        Name of the concurrency limiter.
    tariff : Tariff or None
        Value of attainment relative to cost; None for the default.
    hedging : bool
        Whether a second attempt may start while a slow one is running.
    retry_share : float
        Retries and hedges allowed for each first attempt.
    slots : int
        Maximum concurrency of requests on this instance.
    queue : int
        Maximum number of requests that wait for admission.
    grace_s : float
        Seconds from ``/readyz`` failing until new requests are rejected.
    drain_s : float
        Seconds for requests in flight to finish after that; longer if one
        of them has a later deadline.
    stop_s : float or None
        Seconds from a stop until the process is killed; None if it is not.
        Requests that may not end by then are rejected.
    max_body_bytes, max_control_bytes : int
        Maximum body size of requests to ``public`` and to ``control``.
    record_ttl_s : float
        Seconds for which a record of a non-repeatable request is kept.
    record_group : int
        Maximum number of writes of records in one transaction.
    store_timeout_s : float
        Timeout of one call to the table service or the instance list;
        calls to the object store have four times as long.
    lease_s, lease_margin_s : float
        Duration of a zone's lease for sending orders to engines, and the
        time before its end in which no order is sent.
    order_longest_s : float
        Assumed maximum time between sending an order and its effect;
        waited out after orders with an unknown outcome, and by the next
        holder of a lease.
    order_look_s : float
        Maximum interval between reads of the state of an engine that is in
        its target state.
    loads_at_once : int
        Maximum number of engines of a zone that load at the same time.
    weight_rate : float
        Maximum bytes per second that a zone loads from the weight store;
        zero for no limit.
    memory_mb : int or None
        Memory that this instance may use; that of the machine if not set.
    log_level : str
        Lowest level that is logged.
    """

    instance: str
    region: str
    zone: str
    public: str
    control: str
    table: str
    objects: str
    instance_list: str
    peers: tuple = ()
    advertise: str = ""
    routing: str = "balanced"
    fairness: str = "weighted_fair"
    limiter: str = "adaptive"
    tariff: dict | None = None
    hedging: bool = True
    retry_share: float = 0.1
    slots: int = 256
    queue: int = 1024
    grace_s: float = 1.0
    drain_s: float = 30.0
    stop_s: float | None = None
    max_body_bytes: int = 1 << 20
    max_control_bytes: int = 1 << 26
    record_ttl_s: float = 86400.0
    record_group: int = 64
    store_timeout_s: float = 0.5
    lease_s: float = 6.0
    lease_margin_s: float = 1.0
    order_longest_s: float = 2.0
    order_look_s: float = 15.0
    loads_at_once: int = 4
    weight_rate: float = 0.0
    memory_mb: int | None = None
    log_level: str = "INFO"


def parse(raw, *, source):
    """Decode and validate the bytes of a settings file.

    Parameters
    ----------
    raw : bytes
        JSON text.
    source : str
        Name of the file, for error messages.

    Returns
    -------
    Settings

    Raises
    ------
    CheckError
        With the path in the document and what was expected there.

    Examples
    --------
    >>> parse(b'{"instance": 3}', source="a.json")
    Traceback (most recent call last):
        ...
    sycamoreshed.exceptions.CheckError: a.json: $.instance: Expected `str`...
    """
    document = checking.decode(raw, Document, source=source)
    document.setdefault("advertise", document["control"])
    settings = Settings(**document)
    check_addresses(settings, ADDRESS_FIELDS, source=source)
    least_s = settings.grace_s + MIN_STOP_S
    if settings.stop_s is not None and settings.stop_s < least_s:
        raise exceptions.CheckError(
            source=source,
            path="$.stop_s",
            expected=f"expected at least {MIN_STOP_S:g} more than grace_s",
        )
    for index, peer in enumerate(settings.peers):
        check_address(peer, source=source, path=f"$.peers[{index}]")
    return settings


def load(path):
    """Read and validate a settings file.

    Raises
    ------
    CheckError
        If it cannot be read or is not valid.
    """
    return parse(checking.read(path), source=str(path))


def check_addresses(settings, names, *, source):
    """Check that fields of settings are ``IP:port`` addresses.

    Raises
    ------
    CheckError
    """
    for name in names:
        check_address(getattr(settings, name), source=source, path=f"$.{name}")


def check_address(text, *, source, path):
    """Check that `text` is an ``IP:port`` address.

    Raises
    ------
    CheckError
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = port.isdecimal() and 0 < int(port) < 65536
    except ValueError:
        valid = False
    if not valid:
        raise exceptions.CheckError(
            source=source,
            path=path,
            expected=f"expected an IP:port address, got {text!r}",
        )
