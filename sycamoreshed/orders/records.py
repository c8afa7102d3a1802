"""State that a candidate keeps of a lease, and the value of its row."""

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
    """Durations that make a lease safe.

    Parameters
    ----------
    duration_s : float
        Duration of the lease.
    margin_s : float
        Time before expiry during which the holder no longer uses the
        lease; must exceed the drift of two clocks during the whole wait.
    max_order_s : float
        Maximum time between the sending of an order and its effect.
    """

    duration_s: float = 6.0
    margin_s: float = 1.0
    max_order_s: float = 2.0


class Value(typing.TypedDict):
    """Value of a lease's row.

    ``attempt`` is unique for each write ever sent; ``config`` is the
    highest configuration version that orders may have been sent for;
    ``seconds`` and ``longest`` are ``duration_s`` and ``max_order_s`` of
    the holder's terms.  ``era`` is that of the row over which it was written,
    0 if it is missing.
    """

    holder: str
    attempt: str
    fence: int
    config: int
    released: bool
    seconds: float
    longest: float
    era: typing.NotRequired[int]


class HeldLease(typing.NamedTuple):
    """A lease, as recorded by its holder; it may have expired.

    Parameters
    ----------
    fence : int
        Fencing number.
    expires_at : float
        Monotonic time, counted from before the write was sent.
    version : int
        Version of the row.
    config : int
        Configuration version in the row.
    """

    fence: int
    expires_at: float
    version: int
    config: int


class SeenVersion(typing.NamedTuple):
    """A version of the row and the monotonic time it was first seen."""

    version: int
    seen_at: float


class UnansweredWrite(typing.NamedTuple):
    """A write without a response: its id, time and contents.

    ``era`` is that of the row over which it was to be written.
    """

    attempt: str
    sent_at: float
    fence: int
    config: int
    era: int = 0


class LeaseState(typing.NamedTuple):
    """State that a candidate keeps of a lease.

    Parameters
    ----------
    lease : HeldLease or None
    seen : SeenVersion or None
    unanswered : tuple of UnansweredWrite
        Writes without a response; each may have taken effect.
    max_fence : int
        Highest fencing number known to have been used.
    """

    lease: HeldLease | None = None
    seen: SeenVersion | None = None
    unanswered: tuple = ()
    max_fence: int = 0
