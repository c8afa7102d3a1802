"""The documents operators write: the configuration and its changes.

A release note lists what is added, changed and withdrawn.  Each of the
three has the same sections, so that one entry is described by one type.
"""

import typing

import msgspec

__all__ = [
    "SECTIONS",
    "Document",
    "EndpointSpec",
    "Note",
    "PipelineSpec",
    "PlacementSpec",
    "RegionSpec",
    "Sections",
    "ServiceSpec",
    "StageSpec",
    "TeamSpec",
    "Withdrawn",
]

Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
Share = typing.Annotated[float, msgspec.Meta(gt=0, le=1)]
Count = typing.Annotated[int, msgspec.Meta(ge=1)]


class RegionSpec(typing.TypedDict):
    """A region and its availability zones."""

    zones: list[str]


class ServiceSpec(typing.TypedDict):
    """A pool of like endpoints: engines, encoders, a plain service.

    ``repeatable`` false means that a call may not be sent twice.
    ``lookup`` tells that an endpoint can be asked, by key, what became of
    a call.
    """

    kind: typing.Literal["engine", "pool", "plain"]
    repeatable: typing.NotRequired[bool]
    lookup: typing.NotRequired[bool]
    model: typing.NotRequired[str]


class StageSpec(typing.TypedDict):
    """One stage of a pipeline; ``share`` is its part of the deadline."""

    name: str
    service: str
    share: typing.NotRequired[Share]
    adapter: typing.NotRequired[str]


class PipelineSpec(typing.TypedDict):
    """What callers call: stages in order and the default deadline."""

    stages: typing.Annotated[list[StageSpec], msgspec.Meta(min_length=1)]
    deadline_ms: Positive
    teams: typing.NotRequired[list[str]]
    regions: typing.NotRequired[list[str]]


class TeamSpec(typing.TypedDict):
    """Limits and weight of a team, for the whole system."""

    rate: Positive
    burst: typing.NotRequired[Positive]
    weight: typing.NotRequired[Positive]


class EndpointSpec(typing.TypedDict):
    """One endpoint.  ``checks_orders``: refuses old fencing numbers.

    ``rack`` names what fails as one; replicas are spread over racks.
    """

    address: str
    service: str
    zone: str
    slots: typing.NotRequired[Count]
    checks_orders: typing.NotRequired[bool]
    rack: typing.NotRequired[str]


class PlacementSpec(typing.TypedDict):
    """A model version and how many engines of each zone serve it.

    ``floor`` engines of a zone go on serving while versions change, one
    less than the replicas if it is left out.  ``weight_bytes`` is what
    one load takes from the weight store.
    """

    model: str
    version: str
    replicas: dict[str, Count]
    adapters: typing.NotRequired[list[str]]
    role: typing.NotRequired[typing.Literal["both", "prefill", "decode"]]
    floor: typing.NotRequired[typing.Annotated[int, msgspec.Meta(ge=0)]]
    weight_bytes: typing.NotRequired[Positive]


class Sections(typing.TypedDict):
    """Entries by section and name."""

    regions: typing.NotRequired[dict[str, RegionSpec]]
    services: typing.NotRequired[dict[str, ServiceSpec]]
    pipelines: typing.NotRequired[dict[str, PipelineSpec]]
    teams: typing.NotRequired[dict[str, TeamSpec]]
    endpoints: typing.NotRequired[dict[str, EndpointSpec]]
    placements: typing.NotRequired[dict[str, PlacementSpec]]


class Withdrawn(typing.TypedDict):
    """Names withdrawn, by section."""

    regions: typing.NotRequired[list[str]]
    services: typing.NotRequired[list[str]]
    pipelines: typing.NotRequired[list[str]]
    teams: typing.NotRequired[list[str]]
    endpoints: typing.NotRequired[list[str]]
    placements: typing.NotRequired[list[str]]


class Document(typing.TypedDict):
    """A configuration, or part number ``part`` of ``parts`` of one."""

    version: int
    part: int
    parts: int
    sections: Sections
    withdrawn: list[str]


class Note(typing.TypedDict):
    """A release note, written on version ``base``."""

    id: str
    base: typing.Annotated[int, msgspec.Meta(ge=0)]
    author: str
    added: typing.NotRequired[Sections]
    changed: typing.NotRequired[Sections]
    withdrawn: typing.NotRequired[Withdrawn]


SECTIONS = (
    "regions",
    "services",
    "pipelines",
    "teams",
    "endpoints",
    "placements",
)
