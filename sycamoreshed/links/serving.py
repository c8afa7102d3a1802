"""Sends calls to endpoints for instances that are cut off from them."""

import asyncio

from aiohttp import web
import msgspec
import multidict

from sycamoreshed.adapters import bodies
from sycamoreshed.adapters import protocol
from sycamoreshed.adapters import truncation
from sycamoreshed.adapters import web as adapters
from sycamoreshed.buffering import budget
from sycamoreshed.buffering import slowreaders
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.links import calltimes
from sycamoreshed.links import wire
from sycamoreshed.stopping import measuring

__all__ = ["CallServer"]

# An instance gives up a caller that does not read, and ends its call then.
# This is for an instance that does not.
PATIENCE_FACTOR = 1.5

# This instance stops before the call would end.
_STOPS = wire.Refusal(
    kinds.Kind.DRAINING, "instance stops", sent=False, try_others=True
)
_ENDS = wire.Refusal(kinds.Kind.DRAINING, "instance ends", sent=True)


class CallServer:
    """Handles the calls that other instances want to have sent.

    Sends only what this instance would send itself: to an endpoint that it
    lists and that takes new work, and no request that crashes endpoints.  The
    other instance answers for everything else, such as limits, attempts and
    regions.

    Parameters
    ----------
    catalog : Catalog
    client : EndpointClient
    codec : Platform
    crashes : CrashDetector
    reachability : Reachability
    notices : Notices
    stop_deadline : StopDeadline
    journal : Journal
    clock : callable
    buffers : BufferBudget
    slow_readers : SlowReaders, optional
    slow_reader_s : float
        See `Settings`.
    """

    def __init__(
        self,
        *,
        catalog,
        client,
        codec,
        crashes,
        reachability,
        notices,
        stop_deadline,
        journal,
        clock,
        buffers,
        slow_readers=None,
        slow_reader_s=0.0,
    ):
        self._catalog = catalog
        self._client = client
        self._codec = codec
        self._crashes = crashes
        self._reachability = reachability
        self._notices = notices
        self._stop_deadline = stop_deadline
        self._journal = journal
        self._clock = clock
        self._buffers = buffers
        self._slow_readers = slow_readers
        self._patience_s = PATIENCE_FACTOR * slow_reader_s

    async def handle(self, http):
        """Send a call, and return the endpoint's answer or a refusal."""
        with self._buffers.open() as hold:
            if not hold.try_add(budget.Content.CALL, http.content_length or 0):
                refusal = _not_sent("no memory for the call", try_others=True)
                return self._refuse(None, refusal)
            return await self._handle(http)

    async def _handle(self, http):
        # `http.read` has a limit, which bodies of callers may exceed.
        call, body = wire.decode_call(await bodies.read(http))
        endpoint = self._catalog.endpoint(call.endpoint)
        refusal = self._reject(call, endpoint)
        if refusal is not None:
            return self._refuse(call, refusal)
        request = calltimes.as_request(
            call,
            endpoint,
            catalog=self._catalog,
            codec=self._codec,
            now=self._clock(),
        )
        if self._stop_deadline.check(
            request, measuring.Phase.ATTEMPT, self._clock()
        ):
            return self._refuse(call, _STOPS)
        if call.is_cleanup:
            return await self._clean_up(call, endpoint, body)
        measurement = self._stop_deadline.measure(
            request, phases=(measuring.Phase.ATTEMPT,)
        )
        calls = [
            self._crashes.record_start(endpoint, each)
            for each in call.fingerprints
        ]
        try:
            return await self._send(
                http, call, endpoint, body, calls, measurement
            )
        finally:
            for number in calls:
                self._crashes.record_end(endpoint, number)

    def _reject(self, call, endpoint):
        """Return the `Refusal` of a call that must not be sent, or None."""
        now = self._clock()
        if self._reachability.is_cut_off:
            return _not_sent("instance is cut off as well", try_others=True)
        if endpoint is None or endpoint.started_at_ms != call.started_at_ms:
            return _not_sent("unknown endpoint", try_others=True)
        is_resting = self._catalog.rests.remaining_s(endpoint, now) > 0
        if call.is_cleanup:
            if not is_resting:
                return None
            return _not_sent("endpoint asked for rest", try_others=True)
        if not self._catalog.takes_work(endpoint, now):
            return wire.Refusal(
                kinds.Kind.NO_ENDPOINT,
                "endpoint takes no new work",
                sent=False,
                # Another instance may not have been asked for rest.
                try_others=is_resting,
            )
        if any(
            self._crashes.is_rejected(each, now) for each in call.fingerprints
        ):
            return wire.Refusal(
                kinds.Kind.CRASHES_ENDPOINTS,
                "endpoints crashed under this request",
            )
        return None

    async def _clean_up(self, call, endpoint, body):
        answer = await self._client.post_idempotent(
            endpoint.address,
            call.target,
            multidict.CIMultiDict(call.headers),
            body,
            timeout_s=call.timeout_s,
        )
        if isinstance(answer, kinds.Failure):
            return self._refuse(call, _of_failure(answer))
        self._notices.record(endpoint, answer)
        headers = self._headers(answer.headers)
        return web.Response(
            status=answer.status, body=answer.body, headers=headers
        )

    async def _send(self, http, call, endpoint, body, calls, measurement):
        measurement.begin_attempt(self._clock())
        is_whole = False
        try:
            response = await self._open(call, endpoint, body)
            if isinstance(response, wire.Refusal):
                return self._refuse(call, response)
            try:
                answer = await self._pass_on(
                    http, call, endpoint, response, calls, measurement
                )
            finally:
                response.close()
            verdict = self._codec.classify_response(
                response.status, response.headers
            )
            is_whole = verdict.value == "done"
            return answer
        finally:
            measurement.end(self._clock(), is_whole=is_whole)

    async def _open(self, call, endpoint, body):
        """Send a call; return the head of the answer or a `Refusal`."""
        sent_at = self._clock()
        try:
            async with self._stop_deadline.time_limit():
                response = await self._client.send(
                    call.method,
                    endpoint.address,
                    call.target,
                    multidict.CIMultiDict(call.headers),
                    body,
                    timeout_s=call.timeout_s,
                )
        except TimeoutError:
            return _ENDS
        if isinstance(response, kinds.Failure):
            if not response.sent:
                self._reachability.record_failure(
                    endpoint.id, self._clock(), response.reason
                )
            elif response.kind is kinds.Kind.REFUSED:
                await self._record_break(endpoint)
            return _of_failure(response)
        self._reachability.record_success(endpoint.id, sent_at=sent_at)
        self._notices.record(endpoint, response)
        return response

    async def _pass_on(
        self, http, call, endpoint, response, calls, measurement
    ):
        """Pass an endpoint's answer on as it arrives."""
        answer = web.StreamResponse(
            status=response.status,
            reason=response.reason,
            headers=self._headers(response.headers),
        )
        length = response.headers.get("Content-Length")
        if length is not None:
            answer.content_length = int(length)
        await answer.prepare(http)
        peer = slowreaders.Peer(
            http=http,
            request=call.request,
            clock=self._clock,
            slow_readers=self._slow_readers,
        )
        why = None
        size = 0
        is_over = False
        try:
            async with self._stop_deadline.time_limit() as stop:
                async for data in response.content.iter_any():
                    for number in calls:
                        self._crashes.record_data(endpoint, number)
                    size += len(data)
                    measurement.record_first_event(self._clock())
                    await peer.write(answer, data, patience_s=self._patience_s)
                protocol.check_whole(response)
        except adapters.TRANSPORT_ERRORS as err:
            is_over = stop.expired()
            why = _ENDS.reason if is_over else adapters.describe(err)
        self._log(call, endpoint, response.status, why, size)
        if why is None:
            await answer.write_eof()
            return answer
        if not is_over:
            await self._record_break(endpoint)
        truncation.truncate(http)
        raise asyncio.CancelledError

    async def _record_break(self, endpoint):
        """Find out whether an endpoint crashed before its answer is lost.

        The other instance cannot, and decides on a retry then.
        """
        self._crashes.record_break(endpoint)
        await self._crashes.settle(endpoint)

    def _headers(self, headers):
        passed_on = self._codec.response_headers(headers)
        passed_on[wire.OUTCOME_HEADER] = wire.Outcome.ANSWERED
        return passed_on

    def _log(self, call, endpoint, status, why, size):
        self._journal.write(
            "sent_for_other",
            request=call.request,
            endpoint=endpoint.id,
            status=status,
            why=why,
            bytes=size,
        )

    def _refuse(self, call, refusal):
        self._journal.write(
            "not_sent_for_other",
            request=call and call.request,
            endpoint=call and call.endpoint,
            why=refusal.reason,
            sent=refusal.sent,
        )
        return web.Response(
            body=msgspec.json.encode(refusal),
            headers={wire.OUTCOME_HEADER: wire.Outcome.FAILED},
            content_type="application/json",
        )


def _not_sent(reason, *, try_others=False):
    return wire.Refusal(
        kinds.Kind.REFUSED, reason, sent=False, try_others=try_others
    )


def _of_failure(failure):
    return wire.Refusal(failure.kind, failure.reason, sent=failure.sent)


@kernel.plugin(
    "call_server",
    needs=(
        "buffers",
        "catalog",
        "crashes",
        "endpoint_client",
        "journal",
        "notices",
        "platform",
        "reachability",
        "slow_readers",
        "stop_deadline",
    ),
)
async def call_server(core):
    """Provide the `CallServer`."""
    yield CallServer(
        catalog=core.part("catalog"),
        client=core.part("endpoint_client"),
        codec=core.part("platform"),
        crashes=core.part("crashes"),
        reachability=core.part("reachability"),
        notices=core.part("notices"),
        stop_deadline=core.part("stop_deadline"),
        journal=core.part("journal"),
        clock=core.clock,
        buffers=core.part("buffers"),
        slow_readers=core.part("slow_readers"),
        slow_reader_s=core.settings.slow_reader_s,
    )
