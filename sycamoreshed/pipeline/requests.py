"""Requests as the instance carries them from admission to answer."""

import typing

__all__ = ["Complete", "Request"]


class Request(typing.NamedTuple):
    """An admitted request.

    Parameters
    ----------
    id, team, pipeline : str
    config : Config
        The version in force when it was admitted; it keeps it.
    deadline : float
        Monotonic seconds.
    body : object
        The caller's input.
    key : str or None
        The caller's ``Idempotency-Key``.
    priority : int
        Lower goes first within a team.
    repeat : bool or None
        Whether an earlier request with the key may have run, as far as
        the caller knows; None if the caller does not tell.
    """

    id: str
    team: str
    pipeline: str
    config: typing.Any
    deadline: float
    body: typing.Any
    key: str | None = None
    priority: int = 1
    repeat: bool | None = None

    @property
    def spec(self):
        """The `PipelineSpec` the request was admitted under."""
        return self.config.sections["pipelines"][self.pipeline]


class Complete(typing.NamedTuple):
    """A whole answer.

    Parameters
    ----------
    output : object
        Output of the last stage.
    stages : tuple of str
        Names of the stages that ran.
    """

    output: typing.Any
    stages: tuple
