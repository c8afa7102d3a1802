"""Which endpoints are avoided, by how their answers came out."""

import typing

from sycamoreshed.kernel import kernel

__all__ = ["Health"]

# In a row; a single failure may be the request's own.
FAILURES_OUT = 3
AVOID_S = 1.0
LONGEST_AVOID_S = 10.0
# Share of recent answers that failed, and the least that must have been
# seen.  Endpoints that fail a part of their requests answer others well in
# between, so failures in a row do not show them; a service that fails one
# read in seven at all times must stay below.
GREY_SHARE = 0.4
GREY_LEAST = 5
# Weight of the newest answer in the share, the last ten or so count.
GREY_WEIGHT = 0.15
# Endpoints that are remembered; the oldest is forgotten first.
MOST_KEPT = 4096


class _State(typing.NamedTuple):
    failures: int = 0
    until: float = 0.0
    for_s: float = 0.0
    share: float = 0.0
    seen: int = 0


class Health:
    """Evidence of this instance against endpoints.

    Parameters
    ----------
    journal : Journal
    """

    def __init__(self, *, journal):
        self._journal = journal
        self._states = {}

    def is_avoided(self, endpoint, now):
        """Return whether an endpoint is avoided for now."""
        state = self._states.get(endpoint.id)
        return state is not None and now < state.until

    def record_success(self, endpoint, now):
        """Count an answer that was right."""
        state = self._states.get(endpoint.id)
        if state is None:
            return
        if state.until and now >= state.until:
            self._journal.write("endpoint_back", endpoint=endpoint.id)
        # A good answer ends a row of failures; the share of failures goes
        # down only by its weight.
        share = state.share * (1 - GREY_WEIGHT)
        until = state.until if now < state.until else 0.0
        self._states[endpoint.id] = state._replace(
            failures=0, share=share, seen=state.seen + 1, until=until
        )

    def record_failure(self, endpoint, now, why, *, reachable=True):
        """Count an answer that was wrong, or none.

        Parameters
        ----------
        reachable : bool
            False if there was no connection: then nobody else's request
            will get through either.
        """
        state = self._states.get(endpoint.id, _State())
        share = state.share * (1 - GREY_WEIGHT) + GREY_WEIGHT
        state = state._replace(
            failures=state.failures + 1, share=share, seen=state.seen + 1
        )
        row = state.failures >= FAILURES_OUT
        grey = state.seen >= GREY_LEAST and share >= GREY_SHARE
        if (row or grey or not reachable) and now >= state.until:
            for_s = min(LONGEST_AVOID_S, max(AVOID_S, state.for_s * 2))
            state = state._replace(until=now + for_s, for_s=for_s)
            self._journal.write(
                "endpoint_out", endpoint=endpoint.id, why=why, for_s=for_s
            )
        self._keep(endpoint.id, state)

    def _keep(self, key, state):
        # Each start of an endpoint has a new id; without a bound, those
        # of years would be kept.
        if len(self._states) >= MOST_KEPT and key not in self._states:
            del self._states[next(iter(self._states))]
        self._states[key] = state


@kernel.plugin("health", needs=("journal",))
async def health(core):
    """Provide this instance's evidence against endpoints."""
    yield Health(journal=core.part("journal"))
