"""What counts a request at an endpoint while it is there."""

from sycamoreshed.engineload import samples
from sycamoreshed.engineload import work

__all__ = ["Occupancy"]


class Occupancy:
    """A request's latest stay at an endpoint, in all counts.

    Parameters
    ----------
    request : Request
    parts : Parts
    """

    def __init__(self, *, request, parts):
        self._request = request
        self._parts = parts
        self._endpoint = None
        self._call_number = None
        self._load_number = None
        self._sending = None

    @property
    def _is_at_engine(self):
        return self._load_number is not None

    def begin(self, endpoint, now, *, engine, is_resumed):
        """Count the request at an endpoint, before it is sent.

        Parameters
        ----------
        endpoint : Endpoint
        now : float
        engine : EngineSpec or None
            Set if the endpoint is an engine.
        is_resumed : bool
            Whether it goes on with a stream of another endpoint.
        """
        parts = self._parts
        self._endpoint = endpoint
        self._load_number = None
        self._sending = samples.Sending(now, parts.placer.in_flight(endpoint))
        if engine is not None:
            needed = work.of_request(self._request)
            self._sending = _sending_to_engine(
                parts.engine_load.load(endpoint, now), needed, now, is_resumed
            )
            self._load_number = parts.engine_load.ledger.record_start(
                endpoint.boot, needed
            )
        parts.placer.record_start(endpoint)
        self._call_number = parts.crashes.record_start(
            endpoint, self._request.fingerprint
        )

    def record_data(self):
        """Record that a part of the answer has come."""
        self._parts.crashes.record_data(self._endpoint, self._call_number)
        self._parts.engine_load.ledger.record_answer_start(self._load_number)

    def record_pace(self, pacing):
        """Record the speed that a part of a stream has shown.

        Parameters
        ----------
        pacing : Pacing
        """
        if self._is_at_engine:
            samples.record_stream(
                self._parts.engine_speeds,
                self._endpoint,
                self._sending,
                pacing,
                self._parts.clock(),
                is_near=self._is_near,
            )

    def record_call(self):
        """Record the speed that the answer to a plain call has shown."""
        samples.record_call(
            self._parts.engine_speeds,
            self._endpoint,
            self._sending,
            self._parts.clock(),
            is_near=self._is_near,
        )

    def end(self):
        """Count the request no more."""
        parts = self._parts
        parts.placer.record_end(self._endpoint)
        parts.crashes.record_end(self._endpoint, self._call_number)
        if self._is_at_engine:
            parts.engine_load.ledger.record_end(self._load_number)
            parts.placer.engines.record_held(
                self._request.service, parts.clock() - self._sending.at
            )

    @property
    def _is_near(self):
        """Whether the endpoint is in the region of this instance."""
        return self._parts.placer.distance(self._endpoint.zone) <= 1


def _sending_to_engine(load, needed, now, is_resumed):
    unread = needed.prompt_tokens - needed.shared_tokens
    return samples.Sending(
        now, load.requests, load.unread_tokens + unread, is_resumed
    )
