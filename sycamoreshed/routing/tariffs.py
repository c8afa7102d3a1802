"""What attainment is worth against the cost of crossing regions."""

import typing

__all__ = ["DEFAULT", "Worth", "worth_at"]


class Worth(typing.NamedTuple):
    """Prices in force.

    Parameters
    ----------
    attainment : float
        Cost units one request answered in time is worth.
    crossing_mb : float
        Cost units of a megabyte between regions.
    """

    attainment: float
    crossing_mb: float


DEFAULT = {"attainment": 10.0, "crossing_mb": 1.0}


def worth_at(tariff, hour):
    """Return the prices at an hour of the day.

    Parameters
    ----------
    tariff : Tariff
    hour : float
        From 0 to 24, local to the deployment.

    Returns
    -------
    Worth

    Examples
    --------
    >>> hours = [{"begin": 22, "end": 2, "attainment": 5.0}]
    >>> tariff = {"attainment": 1.0, "crossing_mb": 3.0, "hours": hours}
    >>> worth_at(tariff, 1.5)
    Worth(attainment=5.0, crossing_mb=3.0)
    >>> worth_at(tariff, 2.0)
    Worth(attainment=1.0, crossing_mb=3.0)
    """
    attainment = tariff["attainment"]
    for span in tariff.get("hours", ()):
        if _within(span["begin"], span["end"], hour):
            attainment = span["attainment"]
    return Worth(attainment, tariff["crossing_mb"])


def _within(begin, end, hour):
    if begin <= end:
        return begin <= hour < end
    return hour >= begin or hour < end
