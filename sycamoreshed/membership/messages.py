"""The message peers exchange, and the call that carries it."""

import typing

import aiohttp
import msgspec

from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import timeouts

__all__ = ["Message", "decode", "encode", "post"]

PATH = "/control/gossip"
# Lines of a request and of its answer beside the body, as sent by this
# program; counted so that the budget of bytes is held on the wire.
REQUEST_BYTES = 135
ANSWER_BYTES = 160
SKIPPED = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


class Message(typing.TypedDict):
    """One side of an exchange.

    ``name``, ``boot`` and ``zone`` name the sender and its process;
    ``base``, ``last`` and ``records`` are a delta of its records;
    ``ack`` is the position up to which it has the receiver's records, of
    the process ``of``; ``fields`` are what plug-ins hang on.
    """

    name: str
    boot: int
    zone: str
    base: int
    last: int
    ack: int
    of: int
    records: typing.NotRequired[list[tuple[str, str, typing.Any]]]
    fields: typing.NotRequired[dict[str, typing.Any]]


def encode(message):
    """Return a message as bytes."""
    return msgspec.json.encode(message)


def decode(raw):
    """Return a message.

    Raises
    ------
    msgspec.MsgspecError
        If it is not one.
    """
    return msgspec.json.decode(raw, type=Message)


async def post(session, address, raw, *, timeout):
    """Send a message over the kept-alive session.

    Returns
    -------
    tuple of Message and int, or Failure
        The answer and how many bytes both took.
    """
    try:
        async with (
            timeouts.time_limit(timeout),
            session.post(
                f"http://{address}{PATH}",
                data=raw,
                skip_auto_headers=SKIPPED,
                timeout=aiohttp.ClientTimeout(total=None),
            ) as response,
        ):
            answer = await response.read()
            if response.status != 200:
                return kinds.Failure(
                    kinds.Kind.REFUSED, f"status {response.status}"
                )
            size = len(raw) + len(answer) + REQUEST_BYTES + ANSWER_BYTES
            return decode(answer), size
    except (*web.TRANSPORT_ERRORS, msgspec.MsgspecError) as err:
        return kinds.Failure(kinds.Kind.REFUSED, web.describe(err))
