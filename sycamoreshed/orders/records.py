"""What a candidate knows of a lease, and what the lease's row holds."""

import typing

__all__ = [
    "HeldLease",
    "LeaseState",
    "SeenVersion",
    "Terms",
    "UnansweredWrite",
    "Value",
]


class Terms(typing.NamedTuple):
    """Lengths in seconds that make a lease safe.

    Parameters
    ----------
    seconds : float
        Length of the lease.
    margin : float
        Time before its end from which the holder does not use it; must
        exceed what two clocks can drift apart during the whole wait.
    longest : float
        Longest time between an order's leaving and its effect.
    """

    seconds: float = 6.0
    margin: float = 1.0
    longest: float = 2.0


class Value(typing.TypedDict):
    """Value of a lease's row.

    ``attempt`` is unique for each write ever sent; ``config`` is the
    highest configuration version that orders were given for;
    ``seconds`` and ``longest`` are the holder's terms.
    """

    holder: str
    attempt: str
    fence: int
    config: int
    released: bool
    seconds: float
    longest: float


class HeldLease(typing.NamedTuple):
    """A lease as its holder knows it.

    Parameters
    ----------
    fence : int
        Fencing number.
    until : float
        Monotonic end, counted from before the write was sent.
    version : int
        Version of the row.
    config : int
        Configuration version named in the row.
    """

    fence: int
    until: float
    version: int
    config: int


class SeenVersion(typing.NamedTuple):
    """When a candidate first saw a version of the row (monotonic)."""

    version: int
    at: float


class UnansweredWrite(typing.NamedTuple):
    """A write whose answer has not come: its id, time and contents."""

    attempt: str
    at: float
    fence: int
    config: int


class LeaseState(typing.NamedTuple):
    """What a candidate knows of a lease.

    Parameters
    ----------
    held : HeldLease or None
    seen : SeenVersion or None
    sent : tuple of UnansweredWrite
        Writes without an answer; any may have taken effect.
    floor : int
        Highest fencing number known to have been used.
    """

    held: HeldLease | None = None
    seen: SeenVersion | None = None
    sent: tuple = ()
    floor: int = 0
