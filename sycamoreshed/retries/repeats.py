"""What counts as a repeat, for every sender."""

__all__ = ["Repeats"]


class Repeats:
    """Arrivals of one request at the endpoints of a service.

    A send is a repeat if an earlier one may have arrived at an endpoint,
    whatever became of it: it may have been run, rejected, lost, or taken by
    another endpoint at the address.  Repeats are taken from the budget that
    all instances share; one that was taken and did not arrive pays for the
    next send.

    Parameters
    ----------
    service : str
    spending : RetrySpending
    """

    def __init__(self, *, service, spending):
        self._service = service
        self._spending = spending
        self._arrivals = 0
        self._is_paid = False

    @property
    def arrivals(self):
        """Sends that may have arrived at an endpoint."""
        return self._arrivals

    async def admit(self):
        """Take the next send from the budget if it is a repeat.

        Returns
        -------
        str or None
            Why the request must not be sent; None if it may.
        """
        if self._arrivals == 0 or self._is_paid:
            return None
        why = await self._spending.try_spend(self._service)
        self._is_paid = why is None
        return why

    def record_send(self, *, has_arrived):
        """Record what became of a send.

        Parameters
        ----------
        has_arrived : bool
            Whether any of it may have arrived at an endpoint.
        """
        if has_arrived:
            self._arrivals += 1
            self._is_paid = False

    def close(self):
        """Give back what was taken for a send that was never made."""
        if self._is_paid:
            self._spending.refund(self._service)
            self._is_paid = False
