"""Requesters of event streams."""

import typing

import aiohttp
import yarl

__all__ = ["Part", "stream"]


class Part(typing.NamedTuple):
    """What one attempt brought of a stream.

    Parameters
    ----------
    status : int or None
        None if the connection broke before an answer.
    events : tuple of (int, str)
        Id and data of each event.
    is_complete : bool
    """

    status: int | None
    events: tuple
    is_complete: bool


async def stream(session, address, path, headers, body, *, gap_s=None):
    """Send one attempt; return its `Part`.

    Parameters
    ----------
    session : aiohttp.ClientSession
    address, path : str
    headers : dict
    body : bytes
    gap_s : float, optional
        Seconds without data after which the stream is abandoned.
    """
    events = []
    status = None
    try:
        async with session.post(
            yarl.URL(f"http://{address}{path}", encoded=True),
            headers=headers,
            data=body,
            timeout=aiohttp.ClientTimeout(total=None, sock_read=gap_s),
        ) as answer:
            status = answer.status
            if status != 200:
                await answer.read()
                return Part(status, (), False)
            while True:
                raw = await answer.content.readuntil(b"\n\n")
                if not raw:
                    break
                events.append(_parse(raw.decode()))
    except (aiohttp.ClientError, OSError, TimeoutError):
        return Part(status, tuple(events), False)
    return Part(status, tuple(events), True)


def _parse(raw):
    fields = dict(line.split(": ", 1) for line in raw.strip().splitlines())
    return int(fields["id"]), fields["data"]
