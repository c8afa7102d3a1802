"""Whether an earlier request with the same idempotency key may have run.

A request can be rejected before its record is read.  It did not run itself,
but callers take "not run" as true of the key: if an earlier request with the
key has run, its caller would send the work a second time under a new key.
"""

import collections
import contextlib

import xxhash

from sycamoreshed.adapters import table as tables
from sycamoreshed.idempotency import decide

__all__ = ["PriorRuns", "from_lookups", "from_record", "from_caller"]

MAX_KEYS = 10_000


class PriorRuns:
    """Keys of requests that may have run, as seen by this instance.

    Parameters
    ----------
    max_keys : int
        Number of keys that are stored; the oldest are dropped first.

    Notes
    -----
    The absence of a key proves nothing: another instance may have handled
    it.  Keys are stored as hashes, so in rare cases two collide; the
    caller of one then receives "unknown" instead of "not run".

    Examples
    --------
    >>> prior = PriorRuns()
    >>> with prior.track_in_progress("k"):
    ...     alone = prior.has_other_request("k")
    ...     with prior.track_in_progress("k"):
    ...         both = prior.has_other_request("k")
    >>> alone, both, prior.has_other_request("k")
    (False, True, False)
    >>> prior.add("k")
    >>> prior.has_other_request("k")
    True
    """

    def __init__(self, *, max_keys=MAX_KEYS):
        self._max_keys = max_keys
        self._ran = collections.OrderedDict()
        self._in_progress = collections.Counter()

    @contextlib.contextmanager
    def track_in_progress(self, key):
        """Return a context that counts a request with a key until its end."""
        key_hash = _hash_of(key)
        self._in_progress[key_hash] += 1
        try:
            yield
        finally:
            self._in_progress[key_hash] -= 1
            if not self._in_progress[key_hash]:
                del self._in_progress[key_hash]

    def add(self, key):
        """Record that a request with a key may have run."""
        key_hash = _hash_of(key)
        self._ran[key_hash] = None
        self._ran.move_to_end(key_hash)
        if len(self._ran) > self._max_keys:
            self._ran.popitem(last=False)

    def has_other_request(self, key):
        """Return whether another request with a key may have run.

        Notes
        -----
        Called for a request that is itself counted as in progress.
        """
        key_hash = _hash_of(key)
        return key_hash in self._ran or self._in_progress[key_hash] > 1


def _hash_of(key):
    return xxhash.xxh3_64_intdigest(key.encode())


def from_caller(repeat, *, is_seen):
    """Decide from the caller's statement and the state of this instance.

    Parameters
    ----------
    repeat : bool or None
        See `Request`.
    is_seen : bool
        Whether another request with the key is in progress, or may have
        run, on this instance.

    Returns
    -------
    bool or None
        Whether an earlier request may have run; None if undecided.

    Examples
    --------
    >>> [from_caller(repeat, is_seen=False) for repeat in (True, False, None)]
    [True, False, None]
    >>> from_caller(False, is_seen=True)
    True
    """
    return True if is_seen else repeat


def from_record(row):
    """Decide from the record of the key.

    Parameters
    ----------
    row : Row or Failure

    Returns
    -------
    bool or None
        See `from_caller`.

    Examples
    --------
    >>> from_record(tables.Row("k", None, 0))
    False
    >>> from_record(tables.Row("k", {"state": "begun"}, 3))
    True
    """
    if not isinstance(row, tables.Row):
        return None
    return row.value is not None and (
        row.value["state"] != decide.State.NOT_RUN
    )


def from_lookups(answers):
    """Decide from look-ups of the key at all endpoints of the service.

    Parameters
    ----------
    answers : list of dict or Failure
        From all endpoints; empty if they cannot be queried.

    Returns
    -------
    bool

    Notes
    -----
    "Never" from all endpoints does not prove that a request did not run:
    its call may be in flight.  Here it only replaces the missing statement
    of a caller that does not say whether it sent an earlier request.

    Examples
    --------
    >>> from_lookups([{"state": "never"}, {"state": "never"}])
    False
    >>> from_lookups([{"state": "never"}, {"state": "ran", "output": 1}])
    True
    >>> from_lookups([])
    True
    """
    return not answers or not all(
        isinstance(answer, dict) and answer.get("state") == "never"
        for answer in answers
    )
