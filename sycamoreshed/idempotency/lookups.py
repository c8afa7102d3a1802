"""Asking endpoints what became of a call, by its key."""

import asyncio

from sycamoreshed.adapters import endpoints as adapters
from sycamoreshed.idempotency import decide
from sycamoreshed.kernel import kernel

__all__ = ["Asker"]

ASK_TIMEOUT_S = 0.5
# Refused requests that ask at the same time.
MOST_REFUSALS = 16
# Longest time that a refused request waits until it may ask.
WAIT_S = 2.0


class Asker:
    """Asks all endpoints of a service at once.

    Parameters
    ----------
    client : Endpoints

    Notes
    -----
    A service may keep what it ran per endpoint or in common; asking all
    serves both, and spares a write that would record the chosen one.
    """

    def __init__(self, *, client):
        self._client = client
        self._free = asyncio.Semaphore(MOST_REFUSALS)

    async def ask(self, config, service, key):
        """Return what became of a call.

        Parameters
        ----------
        config : Config
        service, key : str
            The key as endpoints know it.

        Returns
        -------
        StageAnswer or None
            None when it is not known; see `decide.found`.
        """
        answer = decide.found(await self._answers(config, service, key))
        if answer is None:
            return None
        return adapters.StageAnswer(answer["output"], 0)

    async def ask_for_refusal(self, config, service, key):
        """Return what all endpoints tell of a key; see `doubt.from_lookups`.

        Notes
        -----
        While the store is away each refused request asks.  Without a
        bound they would crowd out the calls that can be served; one that
        waits too long is refused without having asked.
        """
        try:
            async with asyncio.timeout(WAIT_S):
                await self._free.acquire()
        except TimeoutError:
            return []
        try:
            return await self._answers(config, service, key)
        finally:
            self._free.release()

    async def _answers(self, config, service, key):
        spec = config.entry("services", service)
        if spec is None or not spec.get("lookup", False):
            return []
        return await asyncio.gather(
            *(
                self._client.look_up(item, key, timeout=ASK_TIMEOUT_S)
                for item in config.endpoints.get(service, ())
            )
        )


@kernel.plugin("asker", needs=("endpoints",))
async def asker(core):
    """Provide asking by key."""
    yield Asker(client=core.part("endpoints"))
