"""Value of meeting deadlines against the cost of crossing regions."""

import typing

__all__ = ["DEFAULT", "Prices", "prices_at"]


class Prices(typing.NamedTuple):
    """Prices that apply at a time.

    Parameters
    ----------
    attainment : float
        Value of a request answered in time, in cost units.
    crossing_mb : float
        Cost units per megabyte sent between regions.
    """

    attainment: float
    crossing_mb: float


DEFAULT = {"attainment": 10.0, "crossing_mb": 1.0}


def prices_at(tariff, hour):
    """Return the prices at an hour of the day.

    Parameters
    ----------
    tariff : Tariff
    hour : float
        From 0 to 24, local to the deployment.

    Returns
    -------
    Prices

    Examples
    --------
    >>> hours = [{"begin": 22, "end": 2, "attainment": 5.0}]
    >>> tariff = {"attainment": 1.0, "crossing_mb": 3.0, "hours": hours}
    >>> prices_at(tariff, 1.5)
    Prices(attainment=5.0, crossing_mb=3.0)
    >>> prices_at(tariff, 2.0)
    Prices(attainment=1.0, crossing_mb=3.0)
    """
    attainment = tariff["attainment"]
    for span in tariff.get("hours", ()):
        if _contains_hour(span["begin"], span["end"], hour):
            attainment = span["attainment"]
    return Prices(attainment, tariff["crossing_mb"])


def _contains_hour(begin, end, hour):
    if begin <= end:
        return begin <= hour < end
    return hour >= begin or hour < end
