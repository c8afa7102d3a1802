"""Messages in which instances tell each other what they have at engines.

Both are absolute: one that is lost or comes twice does no harm.
"""

import math
import typing

import msgspec

from sycamoreshed.adapters import decoding
from sycamoreshed.engineload import work

__all__ = ["PATH", "Counts", "Reply", "decode_counts", "decode_reply"]

PATH = "/control/load"
# What is above these limits is not believed.
MAX_ENGINES = 4096
MAX_COUNT = 10_000_000
MAX_LOG_RATIO = 10.0
MAX_WEIGHT = 1e9
MAX_SECONDS = 10.0
MAX_NAME_LENGTH = 256


class Counts(typing.NamedTuple):
    """What an instance has at engines, or the instances that it counts for.

    Parameters
    ----------
    sender, zone : str
        Name and zone of the instance that sends it.
    boot : int
        Unix time in ms at which the sender started.
    sequence : int
        Greater in each message of a boot.
    loads : dict of str to Load
        By `Endpoint.boot`, without engines that have nothing.
    speeds : dict of str to (float, float) or None
        Mean of the log ratio and its weight of each engine, by
        `Endpoint.boot`; None if the receiver keeps what it was told.
    is_total : bool
        Whether it is what the instances that report to the sender have,
        rather than the sender alone.
    """

    sender: str
    zone: str
    boot: int
    sequence: int
    loads: dict[str, work.Load]
    speeds: dict[str, tuple[float, float]] | None = None
    is_total: bool = False


class Reply(typing.NamedTuple):
    """What all others have, as told to an instance that told its own.

    Parameters
    ----------
    loads : dict of str to Load
    is_first_hand : bool
        Whether the sender collects for its zone; otherwise it passes on what
        another instance told it.
    age_s : float
        Seconds since another zone told the sender something.
    pause_s : float
        Seconds until the next message to it.
    speeds : dict of str to (float, float) or None
        Pooled over the others; None if the message had none.
    """

    loads: dict[str, work.Load]
    is_first_hand: bool
    age_s: float
    pause_s: float
    speeds: dict[str, tuple[float, float]] | None = None


def decode_counts(raw):
    """Return the `Counts` in the body of a message.

    Raises
    ------
    msgspec.DecodeError
        If it has another form, or holds what cannot be.
    """
    counts = decoding.decode(raw, Counts)
    if max(len(counts.sender), len(counts.zone)) > MAX_NAME_LENGTH:
        raise msgspec.ValidationError("name too long")
    _check(counts.loads, counts.speeds)
    return counts


def decode_reply(body):
    """Return the `Reply` in a decoded JSON document.

    Raises
    ------
    msgspec.ValidationError
        If it has another form, or holds what cannot be.
    """
    reply = msgspec.convert(body, Reply)
    for seconds in (reply.age_s, reply.pause_s):
        if not 0 <= seconds <= MAX_SECONDS:
            raise msgspec.ValidationError("time out of range")
    _check(reply.loads, reply.speeds)
    return reply


def _check(loads, speeds):
    if max(len(loads), len(speeds or ())) > MAX_ENGINES:
        raise msgspec.ValidationError("too many engines")
    for load in loads.values():
        if min(load) < 0:
            raise msgspec.ValidationError("negative load")
        if max(load) > MAX_COUNT:
            raise msgspec.ValidationError("load too large")
    for log_ratio, weight in (speeds or {}).values():
        if not abs(log_ratio) <= MAX_LOG_RATIO:
            raise msgspec.ValidationError("speed out of range")
        if not 0 <= weight <= MAX_WEIGHT or math.isnan(weight):
            raise msgspec.ValidationError("weight out of range")
