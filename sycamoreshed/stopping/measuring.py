"""Measures how long a request lasts, from its arrival and its attempts."""

import enum
import typing

from sycamoreshed.engineload import work

__all__ = [
    "Key",
    "Measurement",
    "Part",
    "Phase",
    "output_tokens",
    "token_key",
]

# Least length of a stream that counts.
MIN_TOKENS = 16


class Phase(enum.Enum):
    """Where a duration begins."""

    REQUEST = "request"
    ATTEMPT = "attempt"


class Part(enum.Enum):
    """What a duration covers."""

    WHOLE = "whole"
    FIRST_EVENT = "first-event"
    # From the first event of a stream to its end, for each token.
    TOKEN = "token"


class Key(typing.NamedTuple):
    """Names a `Series` of durations.

    Parameters
    ----------
    part : Part
    phase : Phase
    name : str
        Of their route, or of their service for the tokens of streams.
    """

    part: Part
    phase: Phase
    name: str


def token_key(service):
    """Return the `Key` of the times for a token of a service's streams."""
    return Key(Part.TOKEN, Phase.ATTEMPT, service)


def output_tokens(request):
    """Return how long a request says that its stream is, 0 if it does not.

    A length that is much too short counts as `MIN_TOKENS`: the time for a
    token that it seems to show would count for all streams of its service.
    """
    if not request.route.streaming:
        return 0
    tokens = work.of_request(request).output_tokens
    return max(tokens, MIN_TOKENS) if tokens > 0 else 0


class Measurement:
    """Measures one request.

    What an earlier attempt took is no part of the durations: while an
    instance stops, another attempt is made only if it ends in time.

    Parameters
    ----------
    durations : Durations
    request : Request
    phases : iterable of Phase, optional
        Those that are measured.
    """

    def __init__(self, *, durations, request, phases=tuple(Phase)):
        self._durations = durations
        self._request = request
        self._phases = phases
        self._tokens = output_tokens(request)
        self._attempt_at = None
        self._first_event_at = None
        self._is_resumed = bool(request.head.last_event_id)
        # They go on from one attempt to the next.
        self._of_request = self._begin(Phase.REQUEST, request.started_at)
        self._of_attempt = {}
        self._tokens_span = None

    def delivered_s(self, now):
        """Return for how long events of the stream have come."""
        if self._first_event_at is None:
            return 0.0
        return now - self._first_event_at

    def begin_attempt(self, now):
        """Record that the request is sent to an endpoint."""
        self._close_attempt(now, has_ended=False)
        if self._attempt_at is not None:
            for span in self._of_request.values():
                span.started_at += now - self._attempt_at
        self._attempt_at = now
        if self._first_event_at is not None:
            # The rest of a stream is shorter than a whole one.
            self._is_resumed = True
        else:
            self._of_attempt = self._begin(Phase.ATTEMPT, now)

    def record_first_event(self, now):
        """Record that the first event of a stream has come."""
        if self._first_event_at is not None:
            return
        self._first_event_at = now
        for spans in (self._of_request, self._of_attempt):
            if Part.FIRST_EVENT in spans:
                spans.pop(Part.FIRST_EVENT).end(now)
        if self._tokens and not self._is_resumed:
            series = self._durations.series(token_key(self._request.service))
            self._tokens_span = series.begin(now, units=self._tokens)

    def end(self, now, *, is_whole):
        """Record that the request has ended.

        Parameters
        ----------
        now : float
        is_whole : bool
            Whether the caller has its whole answer.
        """
        has_ended = is_whole and not self._is_resumed
        self._close_attempt(now, has_ended=has_ended)
        _end_all(self._of_request, now, has_ended=has_ended)

    def _begin(self, phase, now):
        if phase not in self._phases:
            return {}
        route = self._request.route
        parts = [Part.WHOLE]
        if route.streaming:
            parts.append(Part.FIRST_EVENT)
        return {
            part: self._durations.series(Key(part, phase, route.name)).begin(
                now
            )
            for part in parts
        }

    def _close_attempt(self, now, *, has_ended):
        _end_all(self._of_attempt, now, has_ended=has_ended)
        if self._tokens_span is not None:
            self._tokens_span.end(now, has_ended=has_ended)
            self._tokens_span = None


def _end_all(spans, now, *, has_ended):
    for span in spans.values():
        span.end(now, has_ended=has_ended)
    spans.clear()
