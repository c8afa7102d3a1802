"""A caller's request on its way through this instance."""

import typing

__all__ = ["Priority", "Request"]

# Engines know ten levels; three for the routes within each team's.
MOST_LEVEL = 9
ROUTE_LEVELS = 3

# Callers of a stream hang up when nothing comes for the longest of two
# seconds, four times the target and eight times the pause their route
# allows; what is not there by then is work for nobody.
LEAST_WAIT_S = 2.0
TARGETS_WAITED = 4.0
PAUSES_WAITED = 8.0
# Stages of a late request are given up on after this many times its target:
# others, which may still be in time, wait for the same endpoints.
STAGE_TARGETS = 1.25


class Priority(typing.NamedTuple):
    """How urgent a request is; 0 is the most, and the team's goes first."""

    team: int
    route: int

    @property
    def level(self):
        """One number from 0 to 9, for engines."""
        return min(MOST_LEVEL, self.team * ROUTE_LEVELS + self.route)


class Request(typing.NamedTuple):
    """A request whose route and team are known.

    Parameters
    ----------
    id : str
        As the caller named it; each attempt of a caller has its own.
    route : Route
    service : str
        Which of the route's services it goes to.
    team : Team or None
        None on routes for anyone.
    priority : Priority
    head : Head
    method, target : str
    headers : CIMultiDict
        As the caller sent them.
    body : bytes
    started_at : float
        Monotonic time of its arrival.
    waited_s : float
        Seconds the caller had waited before it sent this attempt.
    deadline : float
        Monotonic time at which the caller or the operator wants it no
        more.
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
    started_at: float
    waited_s: float
    deadline: float

    @property
    def can_rerun(self):
        """Whether it may run again after it may have run once."""
        return self.route.idempotent or self.route.resumable

    @property
    def target_at(self):
        """Monotonic time until which an answer is in time."""
        return self.started_at - self.waited_s + self.route.target_s

    @property
    def answer_start_deadline(self):
        """Monotonic time until which an answer has to begin."""
        if not self.route.streaming:
            return self.deadline
        waited = max(
            LEAST_WAIT_S,
            TARGETS_WAITED * self.route.target_s,
            PAUSES_WAITED * self.route.pause_s,
        )
        return min(self.deadline, self.started_at + waited)

    @property
    def stages_deadline(self):
        """Monotonic time until which stages are worked on."""
        # Who comes back is late already when it does; it is worked for
        # as long as anybody is, from now.
        patience = STAGE_TARGETS * self.route.target_s - self.waited_s
        patience = max(patience, self.route.target_s)
        return min(self.answer_start_deadline, self.started_at + patience)

    @property
    def affinity(self):
        """What requests share that gain from the same engine, or None.

        The last part of a prompt belongs to the request alone; the one
        before it is the longest that others share.
        """
        shared = self._shared_parts
        return shared[-1][0] if shared else None

    @property
    def shared_tokens(self):
        """Tokens of the prompt that other requests have as well."""
        return sum(tokens for _, tokens in self._shared_parts)

    @property
    def _shared_parts(self):
        if not self.route.sticky:
            return ()
        return self.head.prefix[:-1] or self.head.prefix
