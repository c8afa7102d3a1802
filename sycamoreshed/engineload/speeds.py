"""How fast engines work, as learnt from their answers."""

from sycamoreshed.kernel import kernel

__all__ = ["Speeds"]


class Speeds:
    """Learnt speed of each engine; without answers all are equally fast."""

    def slowness(self, endpoint, now):
        """Return how many times longer an engine takes than its service.

        Parameters
        ----------
        endpoint : Endpoint
        now : float

        Returns
        -------
        float
            1 for the usual speed, more for a slower engine.
        """
        return 1.0

    def prompt_token_s(self, endpoint, now):
        """Return the seconds an engine needs for a token of a prompt.

        Returns
        -------
        float or None
            None if its service has shown nothing yet.
        """
        return None

    def event_s(self, endpoint, now):
        """Return the usual seconds between events of an engine, or None."""
        return None


@kernel.plugin("engine_speeds")
async def engine_speeds(_core):
    """Provide the `Speeds`."""
    yield Speeds()
