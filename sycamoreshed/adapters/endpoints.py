"""Calls to endpoints: engines, pools of encoders, plain services.

Every stage call carries the ids of its request, stage and attempt.  An
answer must carry the same three; otherwise it belongs to another call.
"""

import asyncio
import contextlib
import typing

import msgspec

from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.kernel import timeouts

__all__ = ["Call", "Chunk", "Endpoints", "StageAnswer", "cancel_in_background"]

CANCEL_TIMEOUT_S = 1.0
BUSY = 429

_cancel_tasks = set()


class Call(typing.NamedTuple):
    """The body of a call to an endpoint.

    Parameters
    ----------
    request : str
        Id of the request.
    stage : str
    attempt : str
        Id of the attempt, unique among all calls ever sent.
    deadline_ms : float
        Remaining time of the call when it is sent.
    payload : object
        Output of the previous stage, or the caller's input.
    key : str or None
        Idempotency key of a call that must not be repeated.
    priority : int
        Lower is served first.
    offset : int
        Number of tokens the caller already has; a stream resumes after
        them.
    prefix : str or None
        Hash of the prompt's prefix, for the prefix cache.
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
    """The full answer to a unary call; ``size`` counts both bodies."""

    output: typing.Any
    size: int


class Chunk(typing.NamedTuple):
    """One piece of a stream.

    Parameters
    ----------
    offset : int
        Position of the token in the full answer.
    token : str or None
        None if the line has none, as in the final chunk.
    finish : str or None
        Not None in the final chunk; engines send ``stop``.  The offset of
        the final chunk is the answer's length.
    size : int
        In the final chunk, bytes of the request's body and of all lines.
    """

    offset: int
    token: str | None
    finish: str | None = None
    size: int = 0


class Line(typing.TypedDict):
    """One line of a stream, as decoded."""

    request: str
    stage: str
    attempt: str
    offset: int
    token: typing.NotRequired[str]
    finish: typing.NotRequired[str]


_decode_line = msgspec.json.Decoder(Line).decode


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
            A failure's ``sent`` is false only if no byte was sent, or if
            the endpoint reported that it did not start the call.
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
            return _stage_failure(reply)
        if reply.status != 200:
            return _status_failure(reply.status)
        if not isinstance(reply.body, dict) or "output" not in reply.body:
            return kinds.Failure(
                kinds.Kind.STAGE_FAILED, "answer without output", sent=True
            )
        if not self._check_ids(reply.body, call):
            return kinds.Failure(
                kinds.Kind.STRAY_ANSWER, "answer to another call", sent=True
            )
        return StageAnswer(reply.body["output"], reply.size + reply.sent_size)

    async def stream(self, endpoint, call, *, timeout):
        """Send one streamed call; yield `Chunk`, perhaps `Failure` at the end.

        Notes
        -----
        A stream that ends without its final chunk yields a failure, so
        that it is never treated as complete.  Whether offsets have gaps is
        not checked here.
        """
        data = msgspec.json.encode(call._asdict())
        size = len(data)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        try:
            async with contextlib.AsyncExitStack() as stack:
                # A single limit around the loop would also interrupt the
                # consumer of the stream between two chunks.
                async with timeouts.time_limit(timeout):
                    response = await stack.enter_async_context(
                        self._session.post(
                            web.url_of(endpoint.address, "/generate"),
                            data=data,
                            headers=web.JSON_HEADERS,
                            timeout=web.client_timeout(None),
                            allow_redirects=False,
                        )
                    )
                if response.status != 200:
                    yield _status_failure(response.status)
                    return
                while True:
                    async with timeouts.time_limit(deadline - loop.time()):
                        line = await response.content.readline()
                    if not line:
                        break
                    size += len(line)
                    chunk = self._chunk_of(_decode_line(line), call)
                    if chunk is None:
                        continue
                    if chunk.finish is not None:
                        yield chunk._replace(size=size)
                        return
                    yield chunk
        except web.NOT_SENT_ERRORS as err:
            yield kinds.Failure(kinds.Kind.REFUSED, web.describe(err))
            return
        except TimeoutError:
            yield kinds.Failure(
                kinds.Kind.LATE, "stream not whole in time", sent=True
            )
            return
        except (*web.TRANSPORT_ERRORS, msgspec.DecodeError, ValueError) as err:
            # The connection broke, or a line is truncated, not valid or too
            # long.
            yield kinds.Failure(
                kinds.Kind.BROKEN_STREAM, web.describe(err), sent=True
            )
            return
        yield kinds.Failure(
            kinds.Kind.BROKEN_STREAM, "no finishing mark", sent=True
        )

    async def cancel(self, endpoint, call):
        """Tell an endpoint that the answer to a call is no longer needed."""
        await web.fetch(
            self._session,
            "POST",
            endpoint.address,
            "/cancel",
            timeout=CANCEL_TIMEOUT_S,
            body={"attempt": call.attempt},
        )

    async def look_up(self, endpoint, key, *, timeout):
        """Ask an endpoint for the outcome of the call with `key`.

        Returns
        -------
        dict or Failure
            Should have ``state`` (``ran`` or ``never``) and, if the call
            ran, ``output``; the body is not validated.
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

    async def request(self, endpoint, method, path, *, timeout, body=None):
        """Send a request that is not a stage call, such as for load.

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

    def _chunk_of(self, line, call):
        if not self._check_ids(line, call):
            return None
        token = line.get("token")
        finish = line.get("finish")
        if token is None and finish is None:
            raise ValueError("line with neither token nor finish")
        return Chunk(line["offset"], token, finish)

    def _check_ids(self, body, call):
        ids = (body.get("request"), body.get("stage"), body.get("attempt"))
        if ids == (call.request, call.stage, call.attempt):
            return True
        same_request = body.get("request") == call.request
        why = "other-attempt" if same_request else "other-request"
        self._metrics.stray_answers.labels(why).inc()
        return False


@kernel.plugin("endpoints", needs=("metrics", "web"))
async def endpoints(core):
    """Provide the client of endpoints."""
    yield Endpoints(
        session=core.part("web"),
        metrics=core.part("metrics"),
    )
    await asyncio.gather(*_cancel_tasks, return_exceptions=True)


def _stage_failure(failure):
    if failure.sent and failure.kind == kinds.Kind.REFUSED:
        return failure._replace(kind=kinds.Kind.STAGE_FAILED)
    return failure


def _status_failure(status):
    if status == BUSY:
        return kinds.Failure(kinds.Kind.REFUSED, "busy", sent=False)
    return kinds.Failure(
        kinds.Kind.STAGE_FAILED, f"status {status}", sent=True
    )


async def cancel_in_background(client, endpoint, call):
    """Start to cancel a call; neither wait for it nor raise its errors.

    Notes
    -----
    The task that calls this is often being cancelled itself, because its
    deadline passed or its caller disconnected.  Waiting here would delay
    an answer that is already late by the time of the cancel, up to a
    second if the endpoint hangs; and a second cancellation during the wait
    would skip the rest of the cleanup.  The set keeps a reference to the
    task: the event loop has only a weak one, and a task that is garbage
    collected never sends its cancel.
    """
    task = asyncio.create_task(client.cancel(endpoint, call))
    _cancel_tasks.add(task)
    task.add_done_callback(_cancel_tasks.discard)
