"""Sends requests to endpoints, directly or through another instance."""

from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import client as clients
from sycamoreshed.kernel import kernel
from sycamoreshed.links import wire

__all__ = ["EndpointSender"]

_NO_CONTEXT = wire.Context()


class EndpointSender:
    """Sends requests to endpoints.

    Parameters
    ----------
    catalog : Catalog
    client : EndpointClient
    indirect : IndirectSender
    reachability : Reachability
    notices : Notices
    codec : Platform
    clock : callable
    """

    def __init__(
        self,
        *,
        catalog,
        client,
        indirect,
        reachability,
        notices,
        codec,
        clock,
    ):
        self._catalog = catalog
        self._client = client
        self._indirect = indirect
        self._reachability = reachability
        self._notices = notices
        self._codec = codec
        self._clock = clock

    async def send(
        self,
        method,
        endpoint,
        target,
        headers,
        body,
        *,
        timeout_s,
        extend=None,
        context=_NO_CONTEXT,
    ):
        """Send a request and return once the head of the answer arrives.

        Parameters
        ----------
        method : str
        endpoint : Endpoint
        target : str
            Sent unchanged.
        headers : CIMultiDict
        body : bytes
        timeout_s : float
            Time limit for the head of the answer.
        extend : callable, optional
            See `timeouts.time_limit`; not for calls through others.
        context : Context

        Returns
        -------
        aiohttp.ClientResponse or Failure
            The caller must close a response.  A failure of kind
            ``no-endpoint`` means that the endpoint takes no new work.
        """
        if not self._catalog.takes_work(endpoint, self._clock()):
            return kinds.Failure(
                kinds.Kind.NO_ENDPOINT, "endpoint takes no new work"
            )
        response = await self._send(
            method,
            endpoint,
            target,
            headers,
            body,
            timeout_s=timeout_s,
            extend=extend,
            context=context,
        )
        if not isinstance(response, kinds.Failure):
            self._notices.record(endpoint, response)
        return response

    async def _send(
        self,
        method,
        endpoint,
        target,
        headers,
        body,
        *,
        timeout_s,
        extend,
        context,
    ):
        started_at = self._clock()

        def remaining():
            """Return headers and time limit, less the time that has passed."""
            elapsed_s = self._clock() - started_at
            return {
                "headers": self._codec.shorten_deadline(headers, elapsed_s),
                "timeout_s": timeout_s - elapsed_s,
            }

        call = method, endpoint, target, body
        if not self._reachability.is_cut_off:
            response = await self._send_directly(
                *call, **remaining(), extend=extend
            )
            if not _is_unsent(response) or not self._reachability.is_cut_off:
                return response
        response = await self._send_indirectly(
            *call, **remaining(), context=context
        )
        if response is not None:
            return response
        # Connections that hang would hold the caller until its deadline; the
        # next check tells within half a second whether the links are back.
        return kinds.Failure(
            kinds.Kind.REFUSED, "no instance reaches endpoints", sent=False
        )

    async def post_idempotent(
        self, endpoint, target, headers, body, *, timeout_s
    ):
        """Send a call whose answer carries no information.

        Returns
        -------
        FullAnswer or Failure
            Also those that leave get such calls, but none that rests.
        """
        if self._catalog.rests.remaining_s(endpoint, self._clock()):
            return kinds.Failure(
                kinds.Kind.NO_ENDPOINT, "endpoint asked for rest"
            )
        answer = await self._post_idempotent(
            endpoint, target, headers, body, timeout_s=timeout_s
        )
        if not isinstance(answer, kinds.Failure):
            self._notices.record(endpoint, answer)
        return answer

    async def _post_idempotent(
        self, endpoint, target, headers, body, *, timeout_s
    ):
        if self._reachability.is_cut_off:
            response = await self._send_indirectly(
                "POST",
                endpoint,
                target,
                body,
                headers=headers,
                timeout_s=timeout_s,
                context=_NO_CONTEXT,
                is_cleanup=True,
            )
            if isinstance(response, kinds.Failure):
                return response
            if response is not None:
                return await clients.read_full(response, timeout_s=timeout_s)
        # Uses connections that were opened earlier: no evidence of the links.
        return await self._client.post_idempotent(
            endpoint.address, target, headers, body, timeout_s=timeout_s
        )

    async def _send_directly(
        self, method, endpoint, target, body, *, headers, timeout_s, extend
    ):
        sent_at = self._clock()
        response = await self._client.send(
            method,
            endpoint.address,
            target,
            headers,
            body,
            timeout_s=timeout_s,
            extend=extend,
        )
        if not isinstance(response, kinds.Failure):
            self._reachability.record_success(endpoint.id, sent_at=sent_at)
        elif not response.sent:
            self._reachability.record_failure(
                endpoint.id, self._clock(), response.reason
            )
        return response

    async def _send_indirectly(
        self,
        method,
        endpoint,
        target,
        body,
        *,
        headers,
        timeout_s,
        context,
        is_cleanup=False,
    ):
        call = wire.Call(
            request=context.request,
            fingerprints=list(context.fingerprints),
            endpoint=endpoint.id,
            started_at_ms=endpoint.started_at_ms,
            method=method,
            target=target,
            # The names are of a subclass of str, which JSON does not know.
            headers=[(f"{name}", value) for name, value in headers.items()],
            timeout_s=timeout_s,
            is_cleanup=is_cleanup,
        )
        return await self._indirect.send(
            endpoint, call, body, regions=context.regions
        )


def _is_unsent(response):
    return isinstance(response, kinds.Failure) and not response.sent


@kernel.plugin(
    "endpoint_sender",
    needs=(
        "catalog",
        "endpoint_client",
        "indirect_sender",
        "notices",
        "platform",
        "reachability",
    ),
)
async def endpoint_sender(core):
    """Provide the `EndpointSender`."""
    yield EndpointSender(
        catalog=core.part("catalog"),
        client=core.part("endpoint_client"),
        indirect=core.part("indirect_sender"),
        reachability=core.part("reachability"),
        notices=core.part("notices"),
        codec=core.part("platform"),
        clock=core.clock,
    )
