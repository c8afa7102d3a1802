"""Pauses between calls, so that one answer brings several changes."""

__all__ = ["Debounce"]

# A call answered sooner than this found changes made during the pause.
AT_ONCE_S = 0.1


class Debounce:
    """Pause between calls, longer while changes keep coming.

    Parameters
    ----------
    least, most : float
        Seconds; the same for a pause that stays as it is.

    Examples
    --------
    >>> debounce = Debounce(least=0.1, most=0.5)
    >>> [debounce.pause(0.01) for _ in range(4)]
    [0.2, 0.4, 0.5, 0.5]
    >>> debounce.pause(3.0)
    0.1
    """

    def __init__(self, *, least, most):
        self._least = least
        self._most = most
        self._pause = least

    def pause(self, took_s):
        """Return the pause after a call that brought changes.

        Parameters
        ----------
        took_s : float
            Seconds until the call was answered.
        """
        if took_s < AT_ONCE_S:
            self._pause = min(self._most, 2 * self._pause)
        else:
            self._pause = self._least
        return self._pause
