"""Bounds the length of log lines, which may hold what a peer has sent."""

__all__ = ["shorten"]

MAX_CHARS = 128
MAX_ITEMS = 64
MAX_DEPTH = 4
MARK = "..."


def shorten(value, depth=MAX_DEPTH):
    """Return a value of a log line with long texts and lists cut short.

    Parameters
    ----------
    value : object
        Such as a dictionary of fields.
    depth : int
        Levels that are looked at; those below are left out.

    Examples
    --------
    >>> shorten({"request": 200 * "r", "status": 200})["status"]
    200
    >>> len(shorten(200 * "r"))
    131
    """
    if isinstance(value, str):
        is_long = len(value) > MAX_CHARS
        return value[:MAX_CHARS] + MARK if is_long else value
    if not isinstance(value, dict | list | tuple | set | frozenset):
        return value
    if depth == 0:
        return MARK
    if isinstance(value, dict):
        return {
            shorten(key, depth - 1): shorten(each, depth - 1)
            for key, each in list(value.items())[:MAX_ITEMS]
        }
    items = [shorten(each, depth - 1) for each in list(value)[:MAX_ITEMS]]
    return items if len(value) <= MAX_ITEMS else [*items, MARK]
