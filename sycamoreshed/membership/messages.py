"""The gossip message, and the HTTP request that sends it."""

import typing

import aiohttp
import msgspec

from sycamoreshed.adapters import bodies
from sycamoreshed.adapters import decoding
from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import timeouts

__all__ = ["Message", "decode", "encode", "post"]

PATH = "/control/gossip"
# HTTP header bytes of a request and of its response, as sent by this program;
# counted because the byte budget applies to the traffic on the wire.
REQUEST_HEADER_BYTES = 135
RESPONSE_HEADER_BYTES = 160
SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


class Message(typing.TypedDict):
    """One side of an exchange.

    ``name``, ``boot`` and ``zone`` identify the sender and its process;
    ``base``, ``last`` and ``records`` are a delta of its records;
    ``ack`` acknowledges the receiver's records up to this position, and is
    valid only for the receiver's process whose boot is ``of``; ``fields``
    are added by plug-ins.
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
    """Return a message as JSON bytes."""
    return msgspec.json.encode(message)


def decode(raw):
    """Return the message decoded from JSON bytes.

    Raises
    ------
    msgspec.MsgspecError
        If they are not a valid message.
    """
    return decoding.decode(raw, Message)


async def post(session, address, raw, *, timeout):
    """Send a message to a peer over a keep-alive session.

    Returns
    -------
    tuple of Message and int, or Failure
        The peer's message, and the bytes of request and response.
    """
    try:
        async with (
            timeouts.time_limit(timeout),
            session.post(
                f"http://{address}{PATH}",
                data=raw,
                skip_auto_headers=SKIPPED_HEADERS,
                timeout=aiohttp.ClientTimeout(total=None),
                allow_redirects=False,
            ) as response,
        ):
            body = await bodies.read(response)
            if response.status != 200:
                return kinds.Failure(
                    kinds.Kind.REFUSED, f"status {response.status}"
                )
            size = (
                len(raw)
                + len(body)
                + REQUEST_HEADER_BYTES
                + RESPONSE_HEADER_BYTES
            )
            return decode(body), size
    except (*web.TRANSPORT_ERRORS, msgspec.MsgspecError) as err:
        return kinds.Failure(kinds.Kind.REFUSED, web.describe(err))
