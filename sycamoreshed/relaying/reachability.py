"""Which endpoints this instance could not connect to."""

import typing

from sycamoreshed.kernel import kernel

__all__ = ["Reachability"]

# A failed connection to an endpoint is evidence for this long.
FAILURE_TTL_S = 5.0


class _Failure(typing.NamedTuple):
    why: str
    at: float


class Reachability:
    """What this instance's connections tell of its links to endpoints.

    Parameters
    ----------
    journal : Journal

    Examples
    --------
    >>> from testkit import journals
    >>> reachability = Reachability(journal=journals.Journal())
    >>> reachability.record_failure("e1", 1.0, "refused")
    >>> reachability.record_failure("e2", 1.5, "refused")
    >>> reachability.record_success("e1", sent_at=1.2)
    >>> reachability.unreached(2.0)
    ['e2']
    """

    def __init__(self, *, journal):
        self._journal = journal
        self._failures = {}

    def unreached(self, now):
        """Return the ids of endpoints that were not reached lately."""
        return [
            key
            for key, failure in self._failures.items()
            if now - failure.at < FAILURE_TTL_S
        ]

    def record_failure(self, endpoint_id, now, why):
        """Record that a connection to an endpoint was not established."""
        # Endpoints that are gone must not accumulate.
        self._failures = {
            key: failure
            for key, failure in self._failures.items()
            if now - failure.at < FAILURE_TTL_S
        }
        self._failures[endpoint_id] = _Failure(why, now)
        self._journal.write(
            "endpoint_unreached",
            endpoint=endpoint_id,
            why=why,
            unreached=len(self._failures),
        )

    def record_success(self, endpoint_id, *, sent_at):
        """Record that a request reached an endpoint.

        Parameters
        ----------
        endpoint_id : str
        sent_at : float
            When its connection was opened, or earlier: an answer on an older
            connection is no evidence that a new one can be opened.
        """
        failure = self._failures.get(endpoint_id)
        if failure is not None and failure.at <= sent_at:
            del self._failures[endpoint_id]


@kernel.plugin("reachability", needs=("journal",))
async def reachability(core):
    """Provide the `Reachability` of endpoints."""
    yield Reachability(journal=core.part("journal"))
