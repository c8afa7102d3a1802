"""Calls to endpoints: engines, pools of encoders, plain services.

Every call names request, stage and attempt, and every answer must name
the same three, or it is not this call's answer.
"""

import asyncio
import typing

import aiohttp
import msgspec

from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel

__all__ = ["Call", "Chunk", "Endpoints", "StageAnswer"]

CANCEL_TIMEOUT_S = 1.0


class Call(typing.NamedTuple):
    """What is sent to an endpoint.

    Parameters
    ----------
    request : str
        The request this is for.
    stage : str
    attempt : str
        Unique for each call ever sent.
    deadline_ms : float
        Remaining time of the call when it leaves.
    payload : object
        Output of the stage before, or the caller's input.
    key : str or None
        Names a call that may not be repeated.
    priority : int
        Lower is served first.
    offset : int
        Tokens the caller has already; a stream resumes after them.
    prefix : str or None
        Hash of the prompt's prefix, for the cache.
    adapter : str or None
    """

    request: str
    stage: str
    attempt: str
    deadline_ms: float
    payload: typing.Any
    key: str | None = None
    priority: int = 1
    offset: int = 0
    prefix: str | None = None
    adapter: str | None = None


class StageAnswer(typing.NamedTuple):
    """A whole answer of a unary call; ``size`` counts bytes both ways."""

    output: typing.Any
    size: int


class Chunk(typing.NamedTuple):
    """One piece of a stream.

    Parameters
    ----------
    offset : int
        Position of the token in the whole answer.
    token : str or None
        None in the finishing mark.
    finish : str or None
        ``stop`` in the finishing mark, whose offset is the length.
    """

    offset: int
    token: str | None
    finish: str | None = None


class Endpoints:
    """Client of endpoints.

    Parameters
    ----------
    session : aiohttp.ClientSession
    metrics : Metrics
    """

    def __init__(self, *, session, metrics):
        self._session = session
        self._metrics = metrics

    async def call(self, endpoint, call, *, timeout):
        """Send one unary call.

        Returns
        -------
        StageAnswer or Failure
            A failure's ``sent`` is false only when no byte left, or the
            endpoint itself said that it did not start.
        """
        reply = await web.fetch(
            self._session,
            "POST",
            endpoint.address,
            "/call",
            timeout=timeout,
            body=call._asdict(),
        )
        if isinstance(reply, kinds.Failure):
            return reply
        if reply.status == 429:
            return kinds.Failure(kinds.Kind.REFUSED, "busy", sent=False)
        if reply.status != 200:
            return kinds.Failure(
                kinds.Kind.STAGE_FAILED, f"status {reply.status}", sent=True
            )
        if not self._is_answer_to(reply.body, call):
            return kinds.Failure(
                kinds.Kind.STRAY_ANSWER, "answer to another call", sent=True
            )
        size = reply.size + len(msgspec.json.encode(call.payload))
        return StageAnswer(reply.body["output"], size)

    async def stream(self, endpoint, call, *, timeout):
        """Send one streamed call; yield `Chunk`, then perhaps `Failure`.

        Notes
        -----
        A stream that ends without its finishing mark yields a failure,
        so that a broken one is never taken for whole.
        """
        try:
            async with self._session.post(
                f"http://{endpoint.address}/generate",
                data=msgspec.json.encode(call._asdict()),
                timeout=aiohttp.ClientTimeout(total=timeout),
            ) as response:
                if response.status == 429:
                    yield kinds.Failure(kinds.Kind.REFUSED, "busy")
                    return
                if response.status != 200:
                    yield kinds.Failure(
                        kinds.Kind.STAGE_FAILED,
                        f"status {response.status}",
                        sent=True,
                    )
                    return
                async for line in response.content:
                    body = msgspec.json.decode(line)
                    if not self._is_answer_to(body, call):
                        continue
                    chunk = Chunk(
                        body["offset"], body.get("token"), body.get("finish")
                    )
                    yield chunk
                    if chunk.finish is not None:
                        return
        except aiohttp.ClientConnectorError as err:
            yield kinds.Failure(kinds.Kind.REFUSED, web.describe(err))
            return
        except (*web.ERRORS, msgspec.DecodeError) as err:
            yield kinds.Failure(
                kinds.Kind.BROKEN_STREAM, web.describe(err), sent=True
            )
            return
        yield kinds.Failure(
            kinds.Kind.BROKEN_STREAM, "no finishing mark", sent=True
        )

    async def cancel(self, endpoint, call):
        """Tell an endpoint that a call's answer is not wanted any more."""
        await web.fetch(
            self._session,
            "POST",
            endpoint.address,
            "/cancel",
            timeout=CANCEL_TIMEOUT_S,
            body={"attempt": call.attempt},
        )

    async def look_up(self, endpoint, key, *, timeout):
        """Ask an endpoint what became of the call with `key`.

        Returns
        -------
        dict or Failure
            With ``state`` (``ran`` or ``never``) and ``output``.
        """
        reply = await web.fetch(
            self._session,
            "POST",
            endpoint.address,
            "/lookup",
            timeout=timeout,
            body={"key": key},
        )
        if isinstance(reply, kinds.Failure):
            return reply
        if reply.status != 200:
            return kinds.Failure(kinds.Kind.REFUSED, f"{reply.status}")
        return reply.body

    async def ask(self, endpoint, method, path, *, timeout, body=None):
        """Send a request that is no stage call: load, state, orders.

        Returns
        -------
        Reply or Failure
        """
        return await web.fetch(
            self._session,
            method,
            endpoint.address,
            path,
            timeout=timeout,
            body=body,
        )

    def _is_answer_to(self, body, call):
        named = (body.get("request"), body.get("stage"), body.get("attempt"))
        if named == (call.request, call.stage, call.attempt):
            return True
        self._metrics.strays.labels("other-call").inc()
        return False


@kernel.plugin("endpoints", needs=("metrics", "web"))
async def endpoints(core):
    """Provide the client of endpoints."""
    yield Endpoints(
        session=core.part("web"),
        metrics=core.part("metrics"),
    )


async def cancel_quietly(client, endpoint, call):
    """Cancel a call from a task of its own, whose failure is no matter."""
    task = asyncio.ensure_future(client.cancel(endpoint, call))
    await asyncio.shield(task)
