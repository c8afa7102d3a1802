"""Asking endpoints what became of a call, by its key."""

import asyncio

from sycamoreshed.adapters import endpoints as adapters
from sycamoreshed.idempotency import decide
from sycamoreshed.kernel import kernel

__all__ = ["Asker"]

ASK_TIMEOUT_S = 0.5


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
        spec = config.entry("services", service)
        if spec is None or not spec.get("lookup", False):
            return None
        answers = await asyncio.gather(
            *(
                self._client.look_up(item, key, timeout=ASK_TIMEOUT_S)
                for item in config.endpoints.get(service, ())
            )
        )
        answer = decide.found(answers)
        if answer is None:
            return None
        return adapters.StageAnswer(answer["output"], 0)


@kernel.plugin("asker", needs=("endpoints",))
async def asker(core):
    """Provide asking by key."""
    yield Asker(client=core.part("endpoints"))
