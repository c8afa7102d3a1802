"""Look-ups of the outcome of a call at its endpoints, by idempotency key."""

import asyncio

from sycamoreshed.adapters import endpoints as adapters
from sycamoreshed.idempotency import decide
from sycamoreshed.kernel import kernel

__all__ = ["EndpointLookups"]

LOOKUP_TIMEOUT_S = 0.5
# Concurrent look-ups for rejected requests.
MAX_REJECTION_LOOKUPS = 16
# Longest time that a rejected request waits for its turn.
MAX_WAIT_S = 2.0


class EndpointLookups:
    """Queries all endpoints of a service concurrently.

    Parameters
    ----------
    client : Endpoints

    Notes
    -----
    Endpoints of a service may record their calls separately or in common;
    querying all covers both.  To query only the endpoint that received the
    call, its choice would have to be recorded by an extra write.
    """

    def __init__(self, *, client):
        self._client = client
        self._slots = asyncio.Semaphore(MAX_REJECTION_LOOKUPS)

    async def find_answer(self, config, service, key):
        """Return the answer of a call if an endpoint reports that it ran.

        Parameters
        ----------
        config : Config
        service, key : str
            The key as sent to endpoints; see `keys.endpoint_key`.

        Returns
        -------
        StageAnswer or None
            None if the outcome is unknown; see `decide.find_ran_answer`.
        """
        answer = decide.find_ran_answer(
            await self._look_up_all(config, service, key)
        )
        if answer is None:
            return None
        return adapters.StageAnswer(answer["output"], 0)

    async def look_up_for_rejection(self, config, service, key):
        """Return the answers of all endpoints; see `prior_runs.from_lookups`.

        Notes
        -----
        While the store is unavailable, many rejected requests need a
        look-up.  Without a limit on concurrency, look-ups would crowd out
        calls that can be served; a request that waits too long is rejected
        without a look-up.
        """
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                await self._slots.acquire()
        except TimeoutError:
            return []
        try:
            return await self._look_up_all(config, service, key)
        finally:
            self._slots.release()

    async def _look_up_all(self, config, service, key):
        spec = config.entry("services", service)
        if spec is None or not spec.get("lookup", False):
            return []
        return await asyncio.gather(
            *(
                self._client.look_up(item, key, timeout=LOOKUP_TIMEOUT_S)
                for item in config.endpoints.get(service, ())
            )
        )


@kernel.plugin("asker", needs=("endpoints",))
async def asker(core):
    """Provide look-ups of calls by key."""
    yield EndpointLookups(client=core.part("endpoints"))
