"""What requests need of engines, in tokens."""

import typing

__all__ = ["NO_LOAD", "Load", "Work", "of_request", "total"]


class Work(typing.NamedTuple):
    """What one request needs of an engine.

    Parameters
    ----------
    prompt_tokens : int
    shared_tokens : int
        Tokens of the prompt that an engine may have cached from other
        requests.
    output_tokens : int
        Expected tokens of the answer.
    """

    prompt_tokens: int = 0
    shared_tokens: int = 0
    output_tokens: int = 0

    @property
    def memory_tokens(self):
        """Tokens of memory that the request holds by the end of its run."""
        return self.prompt_tokens + self.output_tokens


class Load(typing.NamedTuple):
    """What some requests at an engine need of it together.

    Parameters
    ----------
    requests : int
    unread_tokens : int
        Prompt tokens of requests whose answer has not begun, less what the
        engine may have cached.
    held_tokens : int
        Memory of all requests, by the end of their runs.
    """

    requests: int = 0
    unread_tokens: int = 0
    held_tokens: int = 0

    def plus(self, other):
        """Return the sum of two loads.

        Examples
        --------
        >>> Load(1, 200, 300).plus(Load(2, 0, 50))
        Load(requests=3, unread_tokens=200, held_tokens=350)
        """
        return Load(
            self.requests + other.requests,
            self.unread_tokens + other.unread_tokens,
            self.held_tokens + other.held_tokens,
        )


NO_LOAD = Load()


def of_request(request):
    """Return the `Work` of a caller's request.

    The caller's estimate of the answer's length is correct in the median
    only, so it counts up to the maximum that the caller allows.

    Parameters
    ----------
    request : Request
    """
    head = request.head
    expected = head.max_output_tokens
    if head.length_hint and expected:
        expected = min(expected, head.length_hint)
    elif head.length_hint:
        expected = head.length_hint
    prompt = max(head.prompt_tokens, sum(each for _, each in head.prefix))
    return Work(prompt, min(prompt, request.shared_tokens), expected)


def total(loads):
    """Return the sum of some loads."""
    result = NO_LOAD
    for each in loads:
        result = result.plus(each)
    return result
