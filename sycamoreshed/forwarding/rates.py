"""The rate of requests that an endpoint can take, whatever limits it."""

from sycamoreshed.kernel import kernel

__all__ = ["EndpointRates", "cold_rate"]

# While instances are cut off from each other, up to three of them issue
# permits for an endpoint, and others add their shares of the rate.
MAX_OVERRUN = 4.0


def cold_rate(rate, *, overrun, tolerance):
    """Return the rate of permits for a cold endpoint.

    Parameters
    ----------
    rate : float
        Requests per second that it takes.
    overrun, tolerance : float
        In any second it may get ``rate * overrun + tolerance`` requests.

    Examples
    --------
    >>> cold_rate(12.0, overrun=1.5, tolerance=6.0)
    6.0
    >>> cold_rate(2.0, overrun=1.5, tolerance=6.0)
    2.0
    """
    return min(rate, (rate * overrun + tolerance) / MAX_OVERRUN)


class EndpointRates:
    """Rates of endpoints, for all instances together.

    Parameters
    ----------
    records : LimitRecords
    overloads : OverloadRecords
    capacities : CapacityRecords
    catalog : Catalog
    cold_overrun, cold_tolerance : float
        See `cold_rate`.
    """

    def __init__(
        self,
        *,
        records,
        overloads,
        capacities,
        catalog,
        cold_overrun,
        cold_tolerance,
    ):
        self._records = records
        self._overloads = overloads
        self._capacities = capacities
        self._catalog = catalog
        self._cold_overrun = cold_overrun
        self._cold_tolerance = cold_tolerance

    def find(self, endpoint, now):
        """Return an endpoint's rate in requests per second, or None."""
        rates = (
            self._records.rate(endpoint, now),
            self._overloads.rate(endpoint, now),
            self._capacities.rate(endpoint, now),
            self._cold_rate(endpoint, now),
        )
        return min((each for each in rates if each is not None), default=None)

    def _cold_rate(self, endpoint, now):
        configuration = self._catalog.configuration
        service = configuration and configuration.services.get(
            endpoint.service
        )
        if service is None or service.cold_rate is None:
            return None
        if not self._catalog.is_cold(endpoint, now):
            return None
        return cold_rate(
            service.cold_rate,
            overrun=self._cold_overrun,
            tolerance=self._cold_tolerance,
        )


@kernel.plugin(
    "rates",
    needs=("capacity_records", "catalog", "limit_records", "overload_records"),
)
async def rates(core):
    """Provide the `EndpointRates`."""
    settings = core.settings
    yield EndpointRates(
        records=core.part("limit_records"),
        overloads=core.part("overload_records"),
        capacities=core.part("capacity_records"),
        catalog=core.part("catalog"),
        cold_overrun=settings.cold_overrun,
        cold_tolerance=settings.cold_tolerance,
    )
