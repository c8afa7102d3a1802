"""What a daemon's settings file holds, and how it is checked."""

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

Positive = typing.Annotated[int, msgspec.Meta(gt=0)]
Seconds = typing.Annotated[float, msgspec.Meta(ge=0)]
ADDRESSES = (
    "public",
    "control",
    "advertise",
    "table",
    "objects",
    "instance_list",
)
LogLevel = typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"]


class TariffHours(typing.TypedDict):
    """Hours of the day in which attainment has another worth."""

    begin: float
    end: float
    attainment: Seconds


class Tariff(typing.TypedDict):
    """What attainment is worth against crossing regions.

    ``attainment``: cost units of one request answered in time.
    ``crossing_mb``: cost units of a megabyte between regions.  ``hour``:
    taken for the hour of the day, for trials.
    """

    attainment: Seconds
    crossing_mb: Seconds
    hours: typing.NotRequired[list[TariffHours]]
    hour: typing.NotRequired[float]


class Document(typing.TypedDict):
    """The settings file as it is written; see `Settings`."""

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
    retry_share: typing.NotRequired[Seconds]
    slots: typing.NotRequired[Positive]
    queue: typing.NotRequired[Positive]
    grace_s: typing.NotRequired[Seconds]
    drain_s: typing.NotRequired[Seconds]
    max_body_bytes: typing.NotRequired[Positive]
    max_control_bytes: typing.NotRequired[Positive]
    record_ttl_s: typing.NotRequired[Seconds]
    record_group: typing.NotRequired[Positive]
    store_timeout_s: typing.NotRequired[Seconds]
    lease_s: typing.NotRequired[Seconds]
    lease_margin_s: typing.NotRequired[Seconds]
    order_longest_s: typing.NotRequired[Seconds]
    order_look_s: typing.NotRequired[Seconds]
    loads_at_once: typing.NotRequired[Positive]
    weight_rate: typing.NotRequired[Seconds]
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
        ``IP:port`` callers reach.
    control : str
        ``IP:port`` peers and operators reach.
    table, objects, instance_list : str
        ``IP:port`` of the platform's services.
    peers : list of str
        Control addresses of peers to meet first; more are learnt.
    advertise : str
        Control address told to peers; ``control`` when left out.
    routing : str
        Name of the routing policy.
    fairness : str
        Name of the admission order.
    limiter : str
        Name of the rule for how many requests run at a time.
    tariff : Tariff or None
        What attainment is worth against cost; None for the default.
    hedging : bool
        Whether a second attempt may begin while a slow one runs.
    retry_share : float
        Retries and hedges for each first attempt.
    slots : int
        Most requests this instance runs at a time.
    queue : int
        Requests that may wait here.
    grace_s : float
        Seconds between ``/readyz`` failing and the end of accepting.
    drain_s : float
        Time for requests in flight after that; longer if one of them has
        a later deadline.
    max_body_bytes, max_control_bytes : int
        Largest body of a caller's, of a peer's or operator's request.
    record_ttl_s : float
        How long a record of a non-repeatable request is kept.
    record_group : int
        Most writes of records in one transaction.
    store_timeout_s : float
        Time for one call of the table service.
    lease_s, lease_margin_s : float
        Length of a zone's lease on orders to engines, and the time
        before its end from which no order leaves.
    order_longest_s : float
        Longest time between an order's leaving and its effect.
    order_look_s : float
        Longest time after which a settled engine is read back.
    loads_at_once : int
        Engines of a zone that load at a time.
    weight_rate : float
        Bytes a second that a zone may take from the weight store; zero
        for no limit.
    log_level : str
        Least level that is logged.
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
    log_level: str = "INFO"


def parse(raw, *, source):
    """Check the bytes of a settings file.

    Parameters
    ----------
    raw : bytes
        JSON text.
    source : str
        Name for messages.

    Returns
    -------
    Settings

    Raises
    ------
    CheckError
        Naming the place and what was expected.

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
    check_addresses(settings, ADDRESSES, source=source)
    for index, peer in enumerate(settings.peers):
        check_address(peer, source=source, path=f"$.peers[{index}]")
    return settings


def load(path):
    """Read and check a settings file.

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
