"""Internal representation of requests, from parsing to answer."""

import typing

__all__ = ["Complete", "Request"]


class Request(typing.NamedTuple):
    """A parsed and checked request.

    Parameters
    ----------
    id, team, pipeline : str
    config : Config
        The configuration in force when the request was parsed; later
        versions do not affect the request.
    deadline : float
        Monotonic seconds.
    body : object
        The caller's input.
    key : str or None
        The caller's ``Idempotency-Key``; None also if no stage of the
        pipeline is unrepeatable.
    priority : int
        Lower values go first within a team.
    repeat : bool or None
        Whether an earlier request with the key may have run according to
        the caller; None if the caller did not state it.
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
        """The `PipelineSpec` in the configuration of the request."""
        return self.config.sections["pipelines"][self.pipeline]


class Complete(typing.NamedTuple):
    """The complete answer to a request.

    Parameters
    ----------
    output : object
        Output of the last stage.
    stages : tuple of str
        Names of the stages that ran.
    """

    output: typing.Any
    stages: tuple
