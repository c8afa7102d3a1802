"""Whether requests can begin in time, by the room in the memory of engines."""

import enum
import typing

from sycamoreshed.engineload import work
from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import candidates
from sycamoreshed.membership import rendezvous

__all__ = ["NoRoom", "RoomForecast", "Wanted", "no_room", "wanted"]

# An engine needs as long at least to begin an answer.
MIN_READING_S = 0.2
# Callers return at least so late, and spread over as much again.
MIN_RETRY_S = 0.3
# A wait that is not known to be longer.
_SOME_WAIT_S = 1e-3


class NoRoom(enum.Enum):
    """Why engines have no room for a request."""

    TOO_LARGE = "too large"
    HOPELESS = "hopeless"
    NO_TIME = "no time"
    TOO_MANY = "too many"
    STOPPING = "stopping"


class Wanted(typing.NamedTuple):
    """What a request wants of engines.

    Parameters
    ----------
    request : Request
    needed : Work
    spec : EngineSpec
    list_endpoints : callable
        Takes the time, returns the engines that the request may be sent to.
    find : callable or None
        Takes the time, returns a `Choice` among them or None.
    begin_by : float
        Monotonic time by which the answer has to begin.
    """

    request: typing.Any
    needed: work.Work
    spec: typing.Any
    list_endpoints: typing.Callable
    find: typing.Callable | None
    begin_by: float


def wanted(request, parts, *, begin_by=None, tried=(), find=None):
    """Return what a request wants of engines.

    Parameters
    ----------
    request : Request
    parts : Parts
    begin_by : float, optional
        Default: by when the answer to a new request has to begin.
    tried : collection of str
        Ids of engines that do not get it again.
    find : callable, optional

    Returns
    -------
    Wanted or None
        None if it does not go to engines with a known memory.
    """
    service = parts.catalog.configuration.services.get(request.service)
    spec = None if service is None else service.engine
    needed = work.of_request(request)
    if not parts.placer.counts_room(spec, needed):
        return None

    def list_endpoints(now):
        return [
            each
            for each in candidates.endpoints(request, parts, now)
            if each.id not in tried
        ]

    if begin_by is None:
        begin_by = request.answer_start_deadline
    return Wanted(request, needed, spec, list_endpoints, find, begin_by)


def no_room(wanted, why, retry_s):
    """Return the `Failure` of a request, which has not run.

    Parameters
    ----------
    wanted : Wanted
    why : NoRoom
    retry_s : float
        Expected time until there is room.
    """
    tokens = wanted.needed.memory_tokens
    if why is NoRoom.TOO_LARGE:
        return kinds.Failure(
            kinds.Kind.LARGER_THAN_ENGINES,
            f"needs {tokens} tokens of memory; engines have "
            f"{wanted.spec.memory_tokens}",
        )
    if why is NoRoom.STOPPING:
        return kinds.Failure(
            kinds.Kind.DRAINING, "this instance stops too soon"
        )
    # Requests rejected together do not return together.
    spread = rendezvous.rank(wanted.request.id, "retry") / 2**64
    return kinds.Failure(
        kinds.Kind.OVER_LIMIT,
        f"no engine has room for {tokens} tokens in time: {why.value}",
        retry_after=max(MIN_RETRY_S, retry_s) * (1 + spread),
    )


class RoomForecast:
    """Estimates when engines have room, by how long requests hold memory.

    Parameters
    ----------
    engines : EngineLoads
    engine_speeds : Speeds
    """

    def __init__(self, *, engines, engine_speeds):
        self._engines = engines
        self._speeds = engine_speeds

    def missing(self, wanted, now, *, without=None):
        """Return how many tokens too few each engine has."""
        return self._engines.room_needed(
            wanted.list_endpoints(now),
            now,
            wanted.needed,
            wanted.spec,
            without=without,
        )

    def why_rejected(self, wanted, now, ahead, *, without=None):
        """Return the `NoRoom` of a request that cannot begin in time, or None.

        Parameters
        ----------
        wanted : Wanted
        now : float
        ahead : int
            Tokens that those want who come first.
        without : dict of str to int, optional
            As for `missing`.
        """
        if wanted.needed.memory_tokens > wanted.spec.memory_tokens:
            return NoRoom.TOO_LARGE
        wait_s = self.wait_s(wanted, now, ahead, without=without)
        if wait_s > max(0.0, self.left_s(wanted, now)):
            return NoRoom.HOPELESS
        return None

    def free_tokens(self, wanted, now):
        """Return the free memory of engines that have room for a request."""
        missing = self.missing(wanted, now)
        held = self._engines.held_tokens(tuple(missing), now, wanted.spec)
        return sum(
            wanted.spec.memory_tokens - held[each]
            for each in missing
            if not missing[each]
        )

    def nearest_unclaimed(self, wanted, now):
        """Return the engine that should have room first, or None.

        One that holds more than its memory counts a request in advance.
        """
        missing = self.missing(wanted, now)
        held = self._engines.held_tokens(tuple(missing), now, wanted.spec)
        return min(
            (
                each
                for each in missing
                if held[each] <= wanted.spec.memory_tokens
            ),
            key=lambda each: (
                missing[each],
                rendezvous.rank(wanted.request.id, each.id),
            ),
            default=None,
        )

    def left_s(self, wanted, now):
        """Return the seconds for which a request may wait."""
        known = [
            self._speeds.prompt_token_s(each, now)
            for each in wanted.list_endpoints(now)
        ]
        token_s = min(
            (each for each in known if each is not None), default=0.0
        )
        unread = wanted.needed.prompt_tokens - wanted.needed.shared_tokens
        return wanted.begin_by - max(MIN_READING_S, unread * token_s) - now

    def wait_s(self, wanted, now, ahead, *, without=None):
        """Return the least time until a request has room; 0 if it has some.

        Requests end at the rate of the memory that they hold, by the mean
        time for which they hold it.
        """
        missing = self.missing(wanted, now, without=without)
        if not missing or min(missing.values()) == 0:
            return 0.0
        held_s = self._engines.held_s(wanted.request.service)
        if held_s is None:
            return _SOME_WAIT_S
        tokens = self._engines.held_tokens(tuple(missing), now, wanted.spec)
        held = {each: max(1, count) for each, count in tokens.items()}
        first_s = min(missing[each] / held[each] * held_s for each in missing)
        total = wanted.needed.memory_tokens + ahead
        total -= sum(
            max(0, wanted.spec.memory_tokens - count)
            for count in held.values()
        )
        return max(_SOME_WAIT_S, first_s, total / sum(held.values()) * held_s)
