"""Messages between instances of which one sends a call for the other."""

import enum
import typing

import msgspec

from sycamoreshed.adapters import decoding
from sycamoreshed.errors import kinds

__all__ = [
    "OUTCOME_HEADER",
    "Call",
    "Context",
    "Outcome",
    "Refusal",
    "decode_call",
    "decode_refusal",
    "encode_call",
]

# Tells the answer of an endpoint from one of the instance.
OUTCOME_HEADER = "Indirect-Outcome"
_SEPARATOR = b"\n"


class Outcome(enum.StrEnum):
    """Values of `OUTCOME_HEADER`."""

    ANSWERED = "answered"
    FAILED = "failed"


class Context(typing.NamedTuple):
    """The requests that a call to an endpoint works for.

    Parameters
    ----------
    request : str
        Id of the request, or of one of them, for the log.
    fingerprints : tuple of str
    regions : frozenset of str or None
        Those that may get the call; None for all.
    """

    request: str = ""
    fingerprints: tuple = ()
    regions: frozenset | None = None


class Call(typing.NamedTuple):
    """A call that another instance sends to an endpoint.

    Parameters
    ----------
    request : str
    fingerprints : list of str
    endpoint : str
        Id of the endpoint.
    started_at_ms : int
        Its start, as it may start again under the same id.
    method, target : str
    headers : list of (str, str)
    timeout_s : float
        Seconds until the head of the answer.
    is_cleanup : bool
        Whether the call frees results, which also endpoints that leave get.
    """

    request: str
    fingerprints: list[str]
    endpoint: str
    started_at_ms: int
    method: str
    target: str
    headers: list[tuple[str, str]]
    timeout_s: float
    is_cleanup: bool = False


class Refusal(typing.NamedTuple):
    """Why an instance returns no endpoint's answer.

    Parameters
    ----------
    kind : Kind
    reason : str
    sent : bool
        Whether the call may have reached the endpoint.
    try_others : bool
        Whether another instance may be able to send the call.
    """

    kind: kinds.Kind
    reason: str
    sent: bool = False
    try_others: bool = False


def encode_call(call, body):
    """Return the bytes of a call and of the body for the endpoint."""
    return msgspec.json.encode(call) + _SEPARATOR + body


def decode_call(raw):
    """Return a `Call` and the body for the endpoint.

    Raises
    ------
    msgspec.MsgspecError
        If it is no call.
    """
    # JSON escapes line breaks, so the first one ends the call.
    head, _, body = raw.partition(_SEPARATOR)
    return decoding.decode(head, Call), body


def decode_refusal(raw):
    """Return a `Refusal`.

    Raises
    ------
    msgspec.MsgspecError
        If it is none.
    """
    return decoding.decode(raw, Refusal)
