"""Whether an earlier request with a key may have run.

A request can be refused before its record is read.  It did not run itself,
but "not run" would also be understood of the key: a caller whose earlier
request ran would act a second time, under a new key.
"""

import collections
import contextlib

import xxhash

from sycamoreshed.adapters import table as tables
from sycamoreshed.idempotency import decide

__all__ = ["Sightings", "from_lookups", "from_record", "from_caller"]

MOST_KEYS = 10_000


class Sightings:
    """Keys with which a request may have run, as far as this instance saw.

    Parameters
    ----------
    most : int
        Keys that are remembered; the oldest are forgotten first.

    Notes
    -----
    A key that is not here proves nothing: another instance may have seen
    it.  Keys are kept as hashes, so two may rarely be taken for the same;
    the caller of one is then told "unknown" instead of "not run".

    Examples
    --------
    >>> sightings = Sightings()
    >>> with sightings.under_way("k"):
    ...     alone = sightings.has("k")
    ...     with sightings.under_way("k"):
    ...         both = sightings.has("k")
    >>> alone, both, sightings.has("k")
    (False, True, False)
    >>> sightings.add("k")
    >>> sightings.has("k")
    True
    """

    def __init__(self, *, most=MOST_KEYS):
        self._most = most
        self._ran = collections.OrderedDict()
        self._under_way = collections.Counter()

    @contextlib.contextmanager
    def under_way(self, key):
        """Count a request with a key for as long as it is not answered."""
        name = _hashed(key)
        self._under_way[name] += 1
        try:
            yield
        finally:
            self._under_way[name] -= 1
            if not self._under_way[name]:
                del self._under_way[name]

    def add(self, key):
        """Note that a request with a key may have run."""
        name = _hashed(key)
        self._ran[name] = None
        self._ran.move_to_end(name)
        if len(self._ran) > self._most:
            self._ran.popitem(last=False)

    def has(self, key):
        """Tell whether a request other than the asking one may run.

        Notes
        -----
        The asking request is itself counted as under way.
        """
        name = _hashed(key)
        return name in self._ran or self._under_way[name] > 1


def _hashed(key):
    return xxhash.xxh3_64_intdigest(key.encode())


def from_caller(repeat, *, is_seen):
    """Judge by what the caller tells, and what this instance saw.

    Parameters
    ----------
    repeat : bool or None
        See `Request`.
    is_seen : bool
        Whether this instance knows of another request with the key.

    Returns
    -------
    bool or None
        Whether an earlier request may have run; None if this does not
        tell.

    Examples
    --------
    >>> [from_caller(repeat, is_seen=False) for repeat in (True, False, None)]
    [True, False, None]
    >>> from_caller(False, is_seen=True)
    True
    """
    return True if is_seen else repeat


def from_record(row):
    """Judge by the record of the key; see `from_caller`.

    Parameters
    ----------
    row : Row or Failure

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
    """Judge by what the endpoints of the service tell of the key.

    Parameters
    ----------
    answers : list of dict or Failure
        Of all endpoints; empty if they cannot be asked.

    Returns
    -------
    bool

    Notes
    -----
    "Never" of all endpoints does not end a request: its call may be on
    its way.  Here it only stands in for the word of a caller who does not
    tell whether there was an earlier request.

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
