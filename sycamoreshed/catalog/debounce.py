"""Pauses between calls, so that one answer carries several changes."""

__all__ = ["Debounce"]

# An answer sooner than this is taken to hold changes made during the pause.
PROMPT_S = 0.1


class Debounce:
    """Pause between calls that doubles while changes keep arriving.

    Parameters
    ----------
    min_s, max_s : float
        Bounds of the pause in seconds; equal for a constant pause.

    Examples
    --------
    >>> debounce = Debounce(min_s=0.1, max_s=0.5)
    >>> [debounce.pause(0.01) for _ in range(4)]
    [0.2, 0.4, 0.5, 0.5]
    >>> debounce.pause(3.0)
    0.1
    """

    def __init__(self, *, min_s, max_s):
        self._min_s = min_s
        self._max_s = max_s
        self._pause = min_s

    def pause(self, took_s):
        """Return the pause after a call that returned changes.

        Parameters
        ----------
        took_s : float
            Seconds until the call was answered.
        """
        if took_s < PROMPT_S:
            self._pause = min(self._max_s, 2 * self._pause)
        else:
            self._pause = self._min_s
        return self._pause
