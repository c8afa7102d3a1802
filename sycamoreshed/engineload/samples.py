"""What single answers show of the speed of the endpoint that sent them.

The time between the events of a stream does not contain the way to the engine,
nor its queue, nor the reading of the prompt, of which an unknown part was
cached.  Speeds of engines are learnt from it, and only the time for a token of
a prompt from first events.
"""

import statistics
import typing

__all__ = ["Pacing", "Sending", "record_call", "record_stream"]

# Fewer intervals say little; more than the maximum add nothing.
MIN_INTERVALS = 3
MAX_INTERVALS = 256
# An interval counts only if this instance waited for the engine during most of
# it: what arrives while a caller reads slowly is found in the buffers at once.
MIN_WAITED_SHARE = 0.5
# Shorter prompts show more of the way and the first step than of the reading.
MIN_READ_TOKENS = 400
# A first event takes the time of one step, besides that for the prompt; of
# the whole at most this share.
MAX_STEP_SHARE = 0.75


class Sending(typing.NamedTuple):
    """The state of an endpoint when a request was sent to it.

    Parameters
    ----------
    at : float
    requests : int
        Requests there, without this one.
    unread_tokens : int
        Prompt tokens to be read before the answer, those of this request
        included.
    is_resumed : bool
        Whether the stream goes on after events of another engine.
    """

    at: float
    requests: int
    unread_tokens: int = 0
    is_resumed: bool = False


class Pacing:
    """The times of the events of one engine's part of a stream.

    Examples
    --------
    >>> pacing = Pacing()
    >>> for second in (1, 2, 3, 7, 8):
    ...     pacing.record_read(1, second - 1, second)
    >>> pacing.first_at, pacing.interval_s
    (1, 1.0)
    """

    def __init__(self):
        self.first_at = None
        self._latest_at = None
        self._waited_s = 0.0
        self._intervals = []

    @property
    def interval_s(self):
        """Median seconds between events, or None if there were too few.

        Pauses for the prompts of other requests do not change it.
        """
        if len(self._intervals) < MIN_INTERVALS:
            return None
        return statistics.median(self._intervals)

    def record_read(self, count, began_at, now):
        """Record that a read has brought events.

        Parameters
        ----------
        count : int
            Number of events that are complete by it.
        began_at : float
            When the read began to wait for data.
        now : float
        """
        self._waited_s += now - began_at
        if not count:
            return
        if self.first_at is None:
            self.first_at = now
        elif len(self._intervals) < MAX_INTERVALS:
            elapsed_s = now - self._latest_at
            if self._waited_s > MIN_WAITED_SHARE * elapsed_s:
                self._intervals.append(elapsed_s / count)
        self._latest_at = now
        self._waited_s = 0.0


def record_stream(speeds, endpoint, sending, pacing, now, *, is_near):
    """Record the speed that a stream has shown.

    Parameters
    ----------
    speeds : Speeds
    endpoint : Endpoint
    sending : Sending
    pacing : Pacing
    now : float
    is_near : bool
        Whether the way to the endpoint is short against its work.
    """
    if pacing.first_at is None:
        return
    if pacing.interval_s is not None:
        speeds.record_time(
            endpoint, pacing.interval_s, sending.requests + 1, now
        )
    tokens = sending.unread_tokens
    if is_near and not sending.is_resumed and tokens >= MIN_READ_TOKENS:
        first_s = pacing.first_at - sending.at
        step_s = min(
            speeds.event_s(endpoint, now) or 0.0, MAX_STEP_SHARE * first_s
        )
        speeds.record_prompt(endpoint, first_s - step_s, tokens, now)


def record_call(speeds, endpoint, sending, now, *, is_near):
    """Record the speed that a call of a plain service has shown.

    Calls to other regions do not count: the way is most of their time.

    Parameters
    ----------
    speeds, endpoint, sending, now, is_near
        As for `record_stream`.
    """
    if is_near:
        speeds.record_time(
            endpoint, now - sending.at, sending.requests + 1, now
        )
