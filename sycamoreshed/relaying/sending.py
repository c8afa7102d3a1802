"""Sends requests to endpoints, and records which could be reached."""

from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel

__all__ = ["EndpointSender"]


class EndpointSender:
    """Sends requests to endpoints.

    Parameters
    ----------
    client : EndpointClient
    reachability : Reachability
    clock : callable
    """

    def __init__(self, *, client, reachability, clock):
        self._client = client
        self._reachability = reachability
        self._clock = clock

    async def send(
        self, method, endpoint, target, headers, body, *, timeout_s
    ):
        """Send a request to an endpoint; see `EndpointClient.send`."""
        sent_at = self._clock()
        response = await self._client.send(
            method,
            endpoint.address,
            target,
            headers,
            body,
            timeout_s=timeout_s,
        )
        self._record(endpoint, response, sent_at)
        return response

    async def post_idempotent(
        self, endpoint, target, headers, body, *, timeout_s
    ):
        """Send a call to an endpoint; see `EndpointClient`."""
        # Uses connections that were opened earlier: no evidence.
        return await self._client.post_idempotent(
            endpoint.address, target, headers, body, timeout_s=timeout_s
        )

    def _record(self, endpoint, response, sent_at):
        if not isinstance(response, kinds.Failure):
            self._reachability.record_success(endpoint.id, sent_at=sent_at)
        elif not response.sent:
            self._reachability.record_failure(
                endpoint.id, self._clock(), response.reason
            )


@kernel.plugin("endpoint_sender", needs=("endpoint_client", "reachability"))
async def endpoint_sender(core):
    """Provide the `EndpointSender`."""
    yield EndpointSender(
        client=core.part("endpoint_client"),
        reachability=core.part("reachability"),
        clock=core.clock,
    )
