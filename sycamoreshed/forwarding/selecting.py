"""Selection of the endpoint of one request's next attempt."""

import math

from sycamoreshed.engineload import work
from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import candidates
from sycamoreshed.forwarding import placement
from sycamoreshed.forwarding import rejections
from sycamoreshed.forwarding import roomforecast

__all__ = ["Selection"]


class Selection:
    """Selects endpoints for the attempts at one request.

    Parameters
    ----------
    request : Request
    parts : Parts
    result_bytes : callable
        Returns the bytes of the request's inputs in each zone.

    Attributes
    ----------
    request : Request
        May be replaced by one that is restricted further.
    tried : set of str
        Ids of endpoints that the request has been sent to.
    """

    def __init__(self, *, request, parts, result_bytes):
        self._parts = parts
        self._result_bytes = result_bytes
        self.request = request
        self.tried = set()

    @property
    def engine(self):
        """The `EngineSpec` of the request's service, or None."""
        return None if self._service is None else self._service.engine

    @property
    def is_plain(self):
        """Whether the endpoints of the request's service are no engines."""
        return self._service is not None and self.engine is None

    @property
    def _service(self):
        """The request's `Service` as configured, or None."""
        services = self._parts.catalog.configuration.services
        return services.get(self.request.service)

    async def find(self, now, *, begin_by):
        """Return a `Choice`, after a wait if no engine has room.

        Parameters
        ----------
        now : float
        begin_by : float
            Monotonic time by which the answer has to begin.

        Returns
        -------
        Choice, Failure or None
            None if there is no endpoint.
        """
        choice = self.choose(now)
        wanted = roomforecast.wanted(
            self.request,
            self._parts,
            begin_by=begin_by,
            tried=self.tried,
            find=self.choose,
        )
        if wanted is None:
            return choice
        room = self._parts.engine_room
        if choice is None:
            # Room is no help if there is no endpoint for another reason.
            if self.choose(now, counts_room=False) is None:
                return None
        elif not room.is_waited_for(self.request, now):
            return choice
        return await room.wait(wanted)

    async def acquire(self, choice, now, max_wait_s, *, permitted, refused):
        """Return a `Choice` whose endpoint's limit allows the request.

        Parameters
        ----------
        choice : Choice
            The first one to try.
        now : float
        max_wait_s : float
            Seconds that the request may wait for a limit.
        permitted : set of str
            Ids of endpoints whose limit allows it already; the id of the
            one that is chosen is removed.
        refused : collection of str
            Ids of endpoints whose limit does not allow it for now.

        Returns
        -------
        Choice or Failure
        """
        limiter = self._parts.limiter
        exhausted = limiter.exhausted(now) | refused
        while choice is not None:
            endpoint = choice.endpoint
            if endpoint.id in permitted:
                permitted.discard(endpoint.id)
                return choice
            if endpoint.id not in exhausted:
                if await limiter.acquire(endpoint):
                    return choice
                exhausted.add(endpoint.id)
            choice = self.choose(now, exhausted)
        return await self._wait_for_limit(now, max_wait_s)

    async def _wait_for_limit(self, now, max_wait_s):
        """Wait for the first endpoint whose limit takes the request.

        The limits of all endpoints are used up.
        """
        limiter = self._parts.limiter
        endpoints = [
            each
            for each in candidates.endpoints(self.request, self._parts, now)
            if each.id not in self.tried
        ]
        if not endpoints:
            return kinds.Failure(
                kinds.Kind.NO_ENDPOINT, "all endpoints left", sent=False
            )
        first = min(
            (each for each in endpoints if self.has_room(each, now)),
            key=lambda each: limiter.wait_s([each], now),
            default=None,
        )
        if first and limiter.wait_s([first], now) <= max_wait_s:
            if await limiter.acquire(first, max_wait_s=max_wait_s):
                return placement.Choice(first, "limit", len(endpoints))
        return rejections.over_limit(endpoints, self._parts, now)

    def has_room(self, endpoint, now):
        """Return whether the request has room at an endpoint."""
        placer = self._parts.placer
        needed = work.of_request(self.request)
        if not placer.counts_room(self.engine, needed):
            return True
        missing = placer.engines.room_needed(
            candidates.endpoints(self.request, self._parts, now),
            now,
            needed,
            self.engine,
        )
        return missing.get(endpoint) == 0

    def is_available(self, endpoint, now):
        """Return whether an endpoint still takes the request after a wait."""
        parts, request = self._parts, self.request
        is_known = any(
            each.id == endpoint.id
            and each.started_at_ms == endpoint.started_at_ms
            for each in candidates.endpoints(request, parts, now)
        )
        return is_known and rejections.of_request(request, parts, now) is None

    def choose(self, now, excluded=(), *, counts_room=True):
        """Return a `Choice`, or None if there is no endpoint.

        Parameters
        ----------
        now : float
        excluded : collection of str
            Ids of endpoints besides those that were tried.
        counts_room : bool
            Whether engines without room are left out.
        """
        parts, request = self._parts, self.request
        service = self._service
        max_in_flight = math.inf
        if service is not None:
            max_in_flight = placement.connection_share(
                service.max_connections, parts.peers.count()
            )
        # Suspects of a crash are kept apart: those that share an endpoint
        # again cannot be told from each other if it crashes.
        is_suspect = parts.crashes.is_suspect(request.fingerprint, now)
        return parts.placer.choose(
            candidates.endpoints(request, parts, now),
            now,
            tried=self.tried.union(excluded),
            affinity=request.fingerprint if is_suspect else request.affinity,
            shared_tokens=request.shared_tokens,
            body_bytes=len(request.body),
            result_bytes=self._result_bytes(),
            max_in_flight=max_in_flight,
            is_plain=self.is_plain,
            needed=work.of_request(request),
            engine=self.engine if counts_room else None,
        )

    def log(self, choice, now):
        """Log what a choice was made by, and count its endpoint as tried."""
        load = {}
        if choice.load is not None:
            load = choice.load._asdict()
            load["expected_s"] = choice.expected_s and round(
                choice.expected_s, 4
            )
            load["view_age_s"] = round(
                min(1e6, self._parts.engine_load.age_s(now)), 3
            )
        self._parts.journal.write(
            "chosen",
            request=self.request.id,
            endpoint=choice.endpoint.id,
            software_version=choice.endpoint.software_version,
            attempt=len(self.tried) + 1,
            of=choice.healthy_count,
            in_flight=self._parts.placer.in_flight(choice.endpoint),
            age_s=round(self._parts.catalog.age("endpoints", now), 2),
            why=choice.reason,
            **load,
        )
        self.tried.add(choice.endpoint.id)
