"""What engines are expected to have by now, and the room that they have."""

import math

from sycamoreshed.engineload import work
from sycamoreshed.forwarding import enginechoice

__all__ = ["EngineLoads"]

# Weight of the newest request in the mean time that requests are at engines.
NEWEST_WEIGHT = 0.1
# That time before it is known.
USUAL_HELD_S = 1.0


class EngineLoads:
    """What all instances have at engines, with the age of what they told.

    Parameters
    ----------
    view : LoadView
    speeds : Speeds
    count_instances : callable, optional
    """

    def __init__(self, *, view, speeds, count_instances=lambda: 1):
        self._view = view
        self._speeds = speeds
        self._count_instances = count_instances
        # By service.
        self._held_s = {}

    def record_held(self, service, held_s):
        """Record for how long a request was at an engine."""
        mean_s = self._held_s.get(service, held_s)
        self._held_s[service] = mean_s + NEWEST_WEIGHT * (held_s - mean_s)

    def held_s(self, service):
        """Return the mean time that requests are at an engine, or None."""
        return self._held_s.get(service)

    def room_needed(self, endpoints, now, needed, engine, *, without=None):
        """Return how many tokens too few engines have for a request.

        Parameters
        ----------
        endpoints : iterable of Endpoint
        now : float
        needed : Work
        engine : EngineSpec
        without : dict of str to int, optional
            Memory that does not count, by `Endpoint.boot`.

        Returns
        -------
        dict of Endpoint to int
            0 if the request has room.
        """
        without = without or {}
        loads, margins = self._loads(endpoints, now, engine, *self._told(now))
        return {
            each: enginechoice.room_needed(
                loads[each.boot]._replace(
                    held_tokens=loads[each.boot].held_tokens
                    - without.get(each.boot, 0)
                ),
                needed,
                engine,
                margins[each.boot],
            )
            for each in endpoints
        }

    def held_tokens(self, endpoints, now, engine):
        """Return the memory that all instances hold, by `Endpoint`."""
        loads, _ = self._loads(endpoints, now, engine, *self._told(now))
        return {each: loads[each.boot].held_tokens for each in endpoints}

    def _told(self, now):
        """Return what this instance and the others have at engines."""
        return (
            self._view.ledger.loads(),
            self._view.all_others(now),
        )

    def _loads(self, endpoints, now, engine, own, others):
        """Return the load and margin of engines, by `Endpoint.boot`."""
        boots = [each.boot for each in endpoints]
        loads = {
            boot: own.get(boot, work.NO_LOAD).plus(
                others.get(boot, work.NO_LOAD)
            )
            for boot in boots
        }
        margins = enginechoice.margins(
            loads,
            others,
            engine,
            age_s=self._view.age_s(now),
            held_s=self._usual_held_s(endpoints),
        )
        return loads, margins

    def _usual_held_s(self, endpoints):
        services = {each.service for each in endpoints}
        return max(
            (self._held_s.get(each, USUAL_HELD_S) for each in services),
            default=USUAL_HELD_S,
        )

    def load(self, endpoint, now):
        """Return what all instances have at an engine."""
        return self._view.load(endpoint, now)

    def seconds(self, endpoint, cost_tokens, now):
        """Return the time of a cost at an engine, or None if not known."""
        token_s = self._speeds.prompt_token_s(endpoint, now)
        if token_s is None:
            return None
        # Both the time of a token and the cost contain the slowness.
        return token_s * cost_tokens / self._speeds.slowness(endpoint, now)

    def candidates(self, endpoints, now, needed, engine, transfer_tokens):
        """Return the engines that have room for a request.

        Parameters
        ----------
        endpoints : list of Endpoint
        now : float
        needed : Work
        engine : EngineSpec
        transfer_tokens : dict of str to float
            Cost of the transfers to each zone.

        Returns
        -------
        candidates : list of Candidate
        untold : float
            Number of requests that others have sent and not told yet.
        """
        own, others = self._told(now)
        loads, margins = self._loads(endpoints, now, engine, own, others)
        expected, untold = self._expected_loads(endpoints, now, own, others)
        candidates = [
            enginechoice.Candidate(
                each,
                expected[each.boot],
                self._speeds.slowness(each, now),
                transfer_tokens[each.zone],
                engine.memory_tokens
                - loads[each.boot].held_tokens
                - needed.memory_tokens,
            )
            for each in endpoints
            if enginechoice.has_room(
                loads[each.boot], needed, engine, margins[each.boot]
            )
        ]
        return candidates, untold

    def _expected_loads(self, endpoints, now, own, others):
        """Return what engines should have, and how much more at any of them.

        What others told is older than some of their requests.
        """
        age_s = self._view.age_s(now)
        untold = 0
        if math.isinf(age_s):
            # They have as much as this one, as far as it knows.
            count = sum(each.requests for each in own.values()) + 1
            untold = count * (self._count_instances() - 1)
        held_s = self._usual_held_s(endpoints)
        loads = {}
        for each in endpoints:
            load = own.get(each.boot, work.NO_LOAD)
            told = others.get(each.boot)
            if told is not None:
                left = enginechoice.expected_now(told, age_s, held_s)
                untold += told.requests - left.requests
                load = load.plus(left)
            loads[each.boot] = load
        return loads, untold
