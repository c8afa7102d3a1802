"""Pieces of stages, and what instances tell each other about them."""

import typing

__all__ = [
    "Ask",
    "Held",
    "Made",
    "Piece",
    "Result",
    "Waits",
]


class Piece(typing.NamedTuple):
    """A piece of work of one stage of one request.

    Parameters
    ----------
    request : str
        Id of the request.
    stage, index : int
        Which stage of the route, and which of its pieces.
    aim, until : float
        Monotonic times: started later than `aim`, the request's answer
        will be late; later than `until`, there will be none.
    key : str or None
        What a piece of a first stage is made from.
    inputs : tuple of str
        Handles of the results that a later stage takes.
    priority : int
        Of the request; 0 is the most urgent.
    """

    request: str
    stage: int
    index: int
    aim: float
    until: float
    key: str | None = None
    inputs: tuple = ()
    priority: int = 0


class Ask(typing.NamedTuple):
    """Pieces of one stage of a request, sent to who batches them.

    Parameters
    ----------
    service, request : str
    stage : int
    indices : list of int
        Which pieces are wanted.
    size : int
        Approximate bytes of a result.
    input_size : int
        Approximate bytes of each input.
    is_final : bool
        Whether the engine takes the results, and no other stage.
    aim_s, until_s : float
        As in `Piece`, from now on; clocks of instances differ.
    key : str or None
    inputs : list of str
    priority : int
    """

    service: str
    request: str
    stage: int
    indices: list[int]
    size: int
    input_size: int
    is_final: bool
    aim_s: float
    until_s: float
    key: str | None
    inputs: list[str]
    priority: int


class Result(typing.NamedTuple):
    """Where the result of a piece lies, or why there is none.

    Parameters
    ----------
    handle : str or None
    why : str or None
    sent : bool
        Whether a call with the piece reached an endpoint.
    maker : str or None
        Id of the endpoint that holds the result.
    """

    handle: str | None
    why: str | None = None
    sent: bool = False
    maker: str | None = None


class Held(typing.NamedTuple):
    """A result, and the id of the endpoint that holds it."""

    handle: str
    maker: str


class Waits(typing.NamedTuple):
    """What pieces that came now would wait for their turn, in seconds.

    Parameters
    ----------
    timely : float
        If they can still be in time; these go first.
    late : float
        If they are late already and go last.
    """

    timely: float
    late: float


class Made(typing.NamedTuple):
    """Answer to an `Ask`.

    Parameters
    ----------
    results : list of Result
        In the order of the pieces.
    waits : Waits
        At the queue that made them.
    """

    results: list[Result]
    waits: Waits
