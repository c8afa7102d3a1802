"""Decides whether this instance has lost its links to all endpoints."""

import typing

from sycamoreshed.kernel import kernel

__all__ = ["CheckResult", "Reachability"]

# A failed connection to an endpoint is evidence for this long.
FAILURE_TTL_S = 5.0
# Minimum time between checks while connections fail.
CHECK_INTERVAL_S = 0.5


class _Failure(typing.NamedTuple):
    why: str
    at: float


class CheckResult(typing.NamedTuple):
    """Whether an endpoint accepted a connection.

    Parameters
    ----------
    endpoint : str
        Its id.
    is_connected : bool
    why : str
        Why not.
    """

    endpoint: str
    is_connected: bool
    why: str = ""


class Reachability:
    """What this instance's connections tell of its links to endpoints.

    A single endpoint that cannot be reached is at fault itself.  If none of
    several others can be reached either, this instance is cut off.

    Parameters
    ----------
    journal : Journal

    Examples
    --------
    >>> from testkit import journals
    >>> reachability = Reachability(journal=journals.Journal())
    >>> reachability.record_failure("e1", 1.0, "refused")
    >>> reachability.is_check_due(1.0)
    True
    >>> checked = [CheckResult("e2", False, "refused")]
    >>> reachability.record_check(checked, started_at=1.0, now=1.1)
    >>> reachability.is_cut_off
    True
    """

    def __init__(self, *, journal):
        self._journal = journal
        self._failures = {}
        self._reached_at = float("-inf")
        self._checked_at = float("-inf")
        self._cut_off_since = None

    @property
    def is_cut_off(self):
        """Whether this instance reaches no endpoint."""
        return self._cut_off_since is not None

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
        self._reached_at = max(self._reached_at, sent_at)
        failure = self._failures.get(endpoint_id)
        if failure is not None and failure.at <= sent_at:
            del self._failures[endpoint_id]
        if self.is_cut_off and sent_at > self._cut_off_since:
            self._end(sent_at)

    def is_check_due(self, now):
        """Return whether to check the links to other endpoints."""
        if now - self._checked_at < CHECK_INTERVAL_S:
            return False
        if self.is_cut_off:
            return True
        # An endpoint that was reached since then, or found by the last check,
        # shows that the others are at fault themselves.
        known_at = max(self._checked_at, self._reached_at)
        return any(each.at >= known_at for each in self._failures.values())

    def record_check(self, results, *, started_at, now):
        """Record which of several endpoints accepted a connection.

        Parameters
        ----------
        results : list of CheckResult
            Of all endpoints that could be checked; empty if there are none.
        started_at, now : float
        """
        self._checked_at = now
        connected = [each for each in results if each.is_connected]
        if connected:
            self.record_success(connected[0].endpoint, sent_at=started_at)
            return
        # A request that was sent meanwhile may have reached an endpoint.
        if self.is_cut_off or self._reached_at >= started_at:
            return
        if results:
            self._cut_off_since = now
            self._journal.write(
                "links_lost",
                unreached=[each.endpoint for each in results],
                why=results[0].why,
            )

    def _end(self, now):
        self._journal.write(
            "links_back", for_s=round(now - self._cut_off_since, 3)
        )
        self._cut_off_since = None
        self._failures.clear()


@kernel.plugin("reachability", needs=("journal",))
async def reachability(core):
    """Provide the `Reachability` of endpoints."""
    yield Reachability(journal=core.part("journal"))
