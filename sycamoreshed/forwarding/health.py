"""Detection of failing endpoints from the outcomes of their requests."""

import typing

from sycamoreshed.kernel import kernel

__all__ = ["Health"]

# Consecutive failures after which an endpoint is avoided; a single failure
# may be caused by the request.
CONSECUTIVE_FAILURES = 3
# Avoidance time, which doubles each time within these bounds.
MIN_AVOID_S = 1.0
MAX_AVOID_S = 10.0
# Share of failed answers above which an endpoint is avoided, and the number
# of answers since the first failure that the share needs.  An endpoint that
# fails only a part of its requests has successes in between, so that
# consecutive failures do not reveal it.  A constant failure rate of a service,
# such as one read in seven, must stay below the share.
FAILURE_SHARE = 0.4
MIN_ANSWERS = 5
# Weight of the newest answer in the moving average of failures, which covers
# about the last ten answers.
NEWEST_WEIGHT = 0.15
# Endpoints whose state is stored; the oldest entry is evicted first.
MAX_ENDPOINTS = 4096


class _State(typing.NamedTuple):
    consecutive_failures: int = 0
    avoid_until: float = 0.0
    avoid_s: float = 0.0
    failure_share: float = 0.0
    answers: int = 0
    is_unreachable: bool = False


class Health:
    """Health of endpoints as observed by this instance.

    Parameters
    ----------
    journal : Journal
    is_misdirected : callable, optional
        Takes an endpoint and the time; returns whether another endpoint is
        at its address.
    """

    def __init__(self, *, journal, is_misdirected=None):
        self._journal = journal
        self._is_misdirected = is_misdirected or (lambda *_: False)
        self._states = {}

    def is_avoided(self, endpoint, now):
        """Return whether an endpoint is avoided at a time."""
        if self._is_misdirected(endpoint, now):
            return True
        state = self._states.get(endpoint.id)
        return state is not None and now < state.avoid_until

    def record_success(self, endpoint, now):
        """Count a valid answer of an endpoint that has failed before."""
        state = self._states.get(endpoint.id)
        if state is None:
            return
        if state.avoid_until and now >= state.avoid_until:
            self._journal.write("endpoint_back", endpoint=endpoint.id)
        # A success resets the consecutive failures, but lowers the share of
        # failures only by its weight.
        share = state.failure_share * (1 - NEWEST_WEIGHT)
        avoid_until = state.avoid_until if now < state.avoid_until else 0.0
        self._states[endpoint.id] = state._replace(
            consecutive_failures=0,
            failure_share=share,
            answers=state.answers + 1,
            avoid_until=avoid_until,
        )

    def record_failure(self, endpoint, now, reason, *, reachable=True):
        """Count a failed answer or a request without an answer.

        Parameters
        ----------
        reachable : bool
            False if the endpoint counts as unreachable, usually because
            there was no connection.  It is then avoided at once, since other
            requests would not get through either.
        """
        state = self._states.get(endpoint.id, _State())
        share = state.failure_share * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT
        state = state._replace(
            consecutive_failures=state.consecutive_failures + 1,
            failure_share=share,
            answers=state.answers + 1,
        )
        fails_always = state.consecutive_failures >= CONSECUTIVE_FAILURES
        fails_often = state.answers >= MIN_ANSWERS and share >= FAILURE_SHARE
        if (
            fails_always or fails_often or not reachable
        ) and now >= state.avoid_until:
            avoid_s = min(MAX_AVOID_S, max(MIN_AVOID_S, state.avoid_s * 2))
            state = state._replace(
                avoid_until=now + avoid_s,
                avoid_s=avoid_s,
                is_unreachable=not reachable,
            )
            self._journal.write(
                "endpoint_out", endpoint=endpoint.id, why=reason, for_s=avoid_s
            )
        self._store(endpoint.id, state)

    def forget_unreachable(self):
        """Use endpoints again that this instance could not reach.

        They were avoided for a fault of its own links, which has ended.
        """
        self._states = {
            key: state
            for key, state in self._states.items()
            if not state.is_unreachable
        }

    def _store(self, key, state):
        # An endpoint gets a new id at each start; without a bound the states
        # of all earlier ids would accumulate.
        if len(self._states) >= MAX_ENDPOINTS and key not in self._states:
            del self._states[next(iter(self._states))]
        self._states[key] = state


@kernel.plugin("health", needs=("journal", "misdirection_records"))
async def health(core):
    """Provide this instance's `Health`."""
    yield Health(
        journal=core.part("journal"),
        is_misdirected=core.part("misdirection_records").is_misdirected,
    )
