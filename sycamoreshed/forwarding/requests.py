"""A caller's request and the times by which its work is due."""

import typing

from sycamoreshed.buffering import budget

__all__ = ["Priority", "Request"]

# Engines accept ten priority levels.  Each team priority has three of them for
# its routes; the least urgent ones share the last level.
MAX_LEVEL = 9
ROUTE_LEVELS = 3

# Callers of a stream disconnect if no event comes within the longest of two
# seconds, four times the target and eight times the pause of their route.
# Nobody uses a result that is ready after that.
MIN_WAIT_S = 2.0
WAIT_TARGET_FACTOR = 4.0
WAIT_PAUSE_FACTOR = 8.0
# The stages of a late request are abandoned after this many times its target:
# other requests, which may still be in time, wait for the same endpoints.
STAGES_TARGET_FACTOR = 1.25


# Of requests that need no room in the budget of an instance.
_UNLIMITED = budget.BufferBudget().open()


class Priority(typing.NamedTuple):
    """Urgency of a request, by team and then route; 0 is the most urgent."""

    team: int
    route: int

    @property
    def level(self):
        """The priority as one number from 0 to 9, for engines."""
        return min(MAX_LEVEL, self.team * ROUTE_LEVELS + self.route)


class Request(typing.NamedTuple):
    """A request whose route and team have been determined.

    Parameters
    ----------
    id : str
        Set by the caller, a different one for each of its retries.
    route : Route
    service : str
        The service of the route that the request goes to.
    team : Team or None
        None on routes that need no key.
    priority : Priority
    head : Head
    method : str
    target : str
        HTTP request target: path and query.
    headers : CIMultiDict
        As received from the caller.
    body : bytes
    fingerprint : str
        Equal for repetitions of a request, which have other ids.
    started_at : float
        Monotonic time of its arrival.
    waited_s : float
        Seconds that the caller had waited before it sent this request, if
        it is a retry.
    deadline : float
        Monotonic time of the caller's deadline or the route's timeout,
        whichever is earlier.
    origin : Origin or None
        Set if it goes on with a stream.
    is_probe : bool
        Whether it is sent once although a part of its prompt is rejected.
    hold : Hold
        What is held in memory for it.
    """

    id: str
    route: typing.Any
    service: str
    team: typing.Any
    priority: Priority
    head: typing.Any
    method: str
    target: str
    headers: typing.Any
    body: bytes
    fingerprint: str
    started_at: float
    waited_s: float
    deadline: float
    origin: typing.Any = None
    is_probe: bool = False
    hold: budget.Hold = _UNLIMITED

    @property
    def can_rerun(self):
        """Whether it may run again after it may have run once."""
        return self.route.idempotent or self.route.resumable

    @property
    def target_at(self):
        """Monotonic time by which an answer is in time."""
        return self.started_at - self.waited_s + self.route.target_s

    @property
    def answer_start_deadline(self):
        """Monotonic time by which an answer must begin."""
        if not self.route.streaming:
            return self.deadline
        return min(self.deadline, self.started_at + self.max_event_wait_s)

    @property
    def max_event_wait_s(self):
        """Seconds without an event after which the caller disconnects."""
        return max(
            MIN_WAIT_S,
            WAIT_TARGET_FACTOR * self.route.target_s,
            WAIT_PAUSE_FACTOR * self.route.max_event_gap_s,
        )

    @property
    def stages_deadline(self):
        """Monotonic time by which the stages are abandoned."""
        # A retry by the caller is late already when it arrives; its stages
        # still get the full target time from then on.
        timeout_s = STAGES_TARGET_FACTOR * self.route.target_s - self.waited_s
        timeout_s = max(timeout_s, self.route.target_s)
        return min(self.answer_start_deadline, self.started_at + timeout_s)

    @property
    def affinity(self):
        """Key of the shared prompt prefix, or None.

        Requests with the same key benefit from the same engine.  The last
        part of a prompt belongs to the request alone; the key is that of
        the part before it, the longest prefix that other requests share.  For
        a prompt with one part it is that part.
        """
        shared = self._shared_parts
        return shared[-1][0] if shared else None

    @property
    def shared_tokens(self):
        """Number of prompt tokens that other requests have as well."""
        return sum(tokens for _, tokens in self._shared_parts)

    @property
    def _shared_parts(self):
        if not self.route.sticky:
            return ()
        return self.head.prefix[:-1] or self.head.prefix
