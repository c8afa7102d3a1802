"""The requests that this instance has at engines."""

import itertools

from sycamoreshed.engineload import work

__all__ = ["Ledger"]


class _Entry:
    """A request at an engine."""

    def __init__(self, *, boot, needed):
        self.boot = boot
        self.work = needed
        self.has_begun = False

    @property
    def load(self):
        """The `Load` that the request makes up."""
        unread = 0
        if not self.has_begun:
            unread = self.work.prompt_tokens - self.work.shared_tokens
        return work.Load(1, unread, self.work.memory_tokens)


class Ledger:
    """Counts the requests that this instance has at each engine.

    Examples
    --------
    >>> ledger = Ledger()
    >>> number = ledger.record_start("e1@7", work.Work(900, 600, 80))
    >>> ledger.load("e1@7")
    Load(requests=1, unread_tokens=300, held_tokens=980)
    >>> ledger.record_answer_start(number)
    >>> ledger.load("e1@7").unread_tokens
    0
    >>> ledger.record_end(number)
    >>> ledger.loads()
    {}
    """

    def __init__(self):
        self._numbers = itertools.count(1)
        self._entries = {}
        self._listeners = []

    def listen(self, listener):
        """Call `listener` without arguments after each change."""
        self._listeners.append(listener)

    def record_start(self, boot, needed):
        """Count a request that is sent to an engine.

        Parameters
        ----------
        boot : str
            See `Endpoint.boot`.
        needed : Work

        Returns
        -------
        int
            Number of the request, for the other methods.
        """
        number = next(self._numbers)
        self._entries[number] = _Entry(boot=boot, needed=needed)
        self._notify()
        return number

    def record_answer_start(self, number):
        """Record that an engine has read the prompt of a request."""
        entry = self._entries.get(number)
        if entry is not None and not entry.has_begun:
            entry.has_begun = True
            self._notify()

    def record_end(self, number):
        """Stop counting a request; a second time has no effect."""
        if self._entries.pop(number, None) is not None:
            self._notify()

    def load(self, boot):
        """Return the `Load` of one engine."""
        return work.total(
            each.load for each in self._entries.values() if each.boot == boot
        )

    def loads(self):
        """Return the `Load` of each engine that has requests, by its boot."""
        result = {}
        for each in self._entries.values():
            known = result.get(each.boot, work.NO_LOAD)
            result[each.boot] = known.plus(each.load)
        return result

    def _notify(self):
        for each in self._listeners:
            each()
