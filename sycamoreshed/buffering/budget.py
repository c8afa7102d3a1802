"""The memory that bodies and answers of all requests may use together."""

import collections
import enum

__all__ = [
    "SMALL_BYTES",
    "BodyHold",
    "BufferBudget",
    "Content",
    "Hold",
    "max_bytes",
]

MB = 10**6
# Share of an instance's memory that bodies and answers may use.  The rest is
# for the program and for the buffers of connections.
BUFFER_SHARE = 0.25
# Share of that which may be used up for requests to be accepted with more than
# a small body; the rest is for answers.
BODY_SHARE = 0.75
# A body or answer up to this size is always taken: how many there are is
# limited by the number of connections.
SMALL_BYTES = 16 * 1024
# Memory that a body takes for each of its bytes while the library reads it
# and a handler decodes it.
READ_COST = 3


class Content(enum.StrEnum):
    """What is held for a request."""

    BODY = "body"
    ANSWER = "answer"
    # Of a request that another instance wants to have sent.
    CALL = "call"
    # Buffers of connections whose peer does not read.
    CONNECTION = "connection"


def max_bytes(memory_mb):
    """Return the bytes that bodies and answers may use, or None.

    Examples
    --------
    >>> max_bytes(160)
    40000000
    >>> max_bytes(None) is None
    True
    """
    return None if memory_mb is None else int(memory_mb * MB * BUFFER_SHARE)


class BufferBudget:
    """Bytes that are held for requests.

    Parameters
    ----------
    max_bytes : int, optional
        Without it there is no limit.

    Examples
    --------
    >>> budget = BufferBudget(max_bytes=100_000)
    >>> with budget.open() as first, budget.open() as second:
    ...     taken = first.try_add(Content.BODY, 70_000)
    ...     small = second.try_add(Content.BODY, 16_000)
    ...     taken, small, second.try_add(Content.BODY, 1000)
    (True, True, False)
    >>> budget.held(Content.BODY)
    0
    """

    def __init__(self, *, max_bytes=None):
        self._max_bytes = max_bytes
        self._held = collections.Counter()

    @property
    def is_limited(self):
        """Whether there is a limit."""
        return self._max_bytes is not None

    def held(self, content):
        """Return the bytes that are held of one kind of content."""
        return self._held[content]

    def sizes(self):
        """Return the bytes that are held, by content."""
        return {str(content): self._held[content] for content in Content}

    @property
    def excess(self):
        """Bytes that are held beyond the limit, or 0."""
        if self._max_bytes is None:
            return 0
        return max(0, self._held.total() - self._max_bytes)

    def set_held(self, content, size):
        """Set the bytes that are held of one kind of content."""
        self._held[content] = size

    def open(self):
        """Return a `Hold` for one request, a context manager."""
        return Hold(budget=self)

    def has_room(self, content, size):
        """Return whether a number of bytes may be held in addition."""
        if self._max_bytes is None:
            return True
        share = 1.0 if content is Content.ANSWER else BODY_SHARE
        return self._held.total() + size <= share * self._max_bytes

    def add(self, content, size):
        """Record that bytes are held, or, if negative, no more."""
        self._held[content] += size


class Hold:
    """What is held for one request, released at the end of its block.

    Parameters
    ----------
    budget : BufferBudget
    """

    def __init__(self, *, budget):
        self._budget = budget
        self._sizes = collections.Counter()

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        self.release()

    @property
    def is_limited(self):
        """Whether the budget has a limit."""
        return self._budget.is_limited

    def allows(self, content, size):
        """Return whether bytes may be added to what is held.

        Parameters
        ----------
        content : Content
        size : int
            Bytes of the same body or answer that are to be added.
        """
        if self._sizes[content] + size <= SMALL_BYTES:
            return True
        return self._budget.has_room(content, size)

    def try_add(self, content, size):
        """Add bytes if the budget allows them; return whether it does."""
        if not self.allows(content, size):
            return False
        self.add(content, size)
        return True

    def add(self, content, size):
        """Add bytes that are held in any case."""
        self._sizes[content] += size
        self._budget.add(content, size)

    def remove(self, content, size):
        """Remove bytes that are held no more."""
        self.add(content, -size)

    def release(self):
        """Remove all bytes."""
        for content, size in self._sizes.items():
            self._budget.add(content, -size)
        self._sizes.clear()


class BodyHold:
    """Bodies that the HTTP library reads for handlers.

    Parameters
    ----------
    budget : BufferBudget
    """

    def __init__(self, *, budget):
        self._hold = budget.open()

    def try_add(self, size):
        """Add a part of a body if the budget allows it."""
        return self._hold.try_add(Content.BODY, size * READ_COST)

    def release(self):
        """Remove all parts."""
        self._hold.release()
