"""Settings of a daemon that forwards requests by route."""

import typing

from sycamoreshed.settings import checking
from sycamoreshed.settings import schema

__all__ = ["Document", "Settings", "load", "parse"]

ADDRESSES = ("public", "ready", "control", "table")


class Document(typing.TypedDict):
    """Content of the settings file; see `Settings`."""

    instance: str
    region: str
    zone: str
    zones: dict[str, str]
    public: str
    ready: str
    control: str
    table: str
    peers: list[str]
    grace_s: typing.NotRequired[schema.NonNegative]
    stable_ms: typing.NotRequired[schema.PositiveInt]
    apply_ms: typing.NotRequired[schema.PositiveInt]
    evacuate_ms: typing.NotRequired[schema.PositiveInt]
    cold_overrun: typing.NotRequired[schema.NonNegative]
    cold_tolerance: typing.NotRequired[schema.NonNegative]
    retry_ratio: typing.NotRequired[schema.NonNegative]
    retry_slack: typing.NotRequired[schema.NonNegative]
    retry_window_s: typing.NotRequired[schema.NonNegative]
    core_share: typing.NotRequired[schema.NonNegative]
    core_speed: typing.NotRequired[schema.NonNegative]
    learn_speeds: typing.NotRequired[bool]
    max_body_bytes: typing.NotRequired[schema.PositiveInt]
    max_control_bytes: typing.NotRequired[schema.PositiveInt]
    max_descriptors: typing.NotRequired[schema.PositiveInt]
    share_engine_load: typing.NotRequired[bool]
    memory_mb: typing.NotRequired[schema.PositiveInt]
    slow_reader_s: typing.NotRequired[schema.NonNegative]


class Settings(typing.NamedTuple):
    """Settings of one forwarding instance.

    Parameters
    ----------
    instance : str
        Name of this instance, unique among live ones.
    region, zone : str
        Where it runs.
    zones : dict of str to str
        Region of each zone.
    public, ready, control : str
        ``IP:port`` for callers, for the load balancer's readiness checks
        and for other instances and operators.
    table : str
        ``IP:port`` of the platform's table store.
    peers : tuple of str
        Control addresses of other instances to contact first; may be
        outdated.
    grace_s : float
        Grace period: seconds from SIGTERM to SIGKILL.
    stable_ms : int
        Milliseconds after a disturbance (a lost connection, or history
        that the table store dropped) from which on this instance counts
        as undisturbed.
    apply_ms : int
        Milliseconds within which an undisturbed instance must receive a
        new configuration.
    evacuate_ms : int or None
        Milliseconds within which it must send nothing more to the endpoints
        of a zone that is evacuated; `apply_ms` if not set.
    cold_overrun, cold_tolerance : float
        In any second a cold endpoint may get its rate times the first, plus
        the second, of requests.
    retry_ratio, retry_slack, retry_window_s : float
        Retries that all instances together may send in a window: a ratio
        of the requests, and a fixed number.
    core_share, core_speed : float
        Share of a core that this instance may use, and the speed of that
        core as a multiple of that of other instances' cores.
    learn_speeds : bool
        Whether the speeds of endpoints are learnt from their answers, and the
        loads that they tell in them are used.
    max_body_bytes, max_control_bytes : int
        Maximum body sizes of the kernel's public and control
        applications.  For callers' requests to this daemon, the limit in
        the operator's configuration applies instead.
    max_descriptors : int or None
        Descriptors that the process may have open; the process's limit if
        not set.
    share_engine_load : bool
        Whether instances tell each other what they have at engines.
    memory_mb : int or None
        Memory that this instance may use.  A share of it is for the bodies
        and answers of all requests; without it they have no limit.
    slow_reader_s : float
        Seconds after which a caller that reads nothing of an answer that is
        still being made is given up, if `memory_mb` is set.
    """

    instance: str
    region: str
    zone: str
    zones: dict
    public: str
    ready: str
    control: str
    table: str
    peers: tuple = ()
    grace_s: float = 8.0
    stable_ms: int = 4000
    apply_ms: int = 2500
    evacuate_ms: int | None = None
    cold_overrun: float = 1.0
    cold_tolerance: float = 0.0
    retry_ratio: float = 0.1
    retry_slack: float = 10.0
    retry_window_s: float = 10.0
    core_share: float = 1.0
    core_speed: float = 1.0
    learn_speeds: bool = True
    max_body_bytes: int = 4 << 20
    max_control_bytes: int = 1 << 26
    max_descriptors: int | None = None
    share_engine_load: bool = True
    memory_mb: int | None = None
    slow_reader_s: float = 2.0

    @property
    def update_s(self):
        """Seconds within which operators' changes must be known."""
        return min(self.apply_ms, self.evacuate_ms or self.apply_ms) / 1000

    @property
    def cores(self):
        """Processor capacity that this instance may use, in cores."""
        return self.core_share * self.core_speed


def parse(raw, *, source):
    """Check the bytes of a settings file.

    Raises
    ------
    CheckError
        Names the invalid part and what was expected.
    """
    document = checking.decode(raw, Document, source=source)
    settings = Settings(**document)
    schema.check_addresses(settings, ADDRESSES, source=source)
    return settings


def load(path):
    """Read and check a settings file.

    Raises
    ------
    CheckError
        If it cannot be read or is not valid.
    """
    return parse(checking.read(path), source=str(path))
