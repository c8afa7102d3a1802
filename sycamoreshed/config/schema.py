"""Schema of the configuration and of release notes.

A release note lists the entries that are added, changed and withdrawn,
each under the same sections, so that one type describes an entry
wherever it occurs.
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
    """A pool of equivalent endpoints: engines, encoders, a plain service.

    ``repeatable`` false means that a call must not be sent twice.
    ``lookup`` means that an endpoint can be queried, by key, for the
    outcome of a call.
    """

    kind: typing.Literal["engine", "pool", "plain"]
    repeatable: typing.NotRequired[bool]
    lookup: typing.NotRequired[bool]
    model: typing.NotRequired[str]


class StageSpec(typing.TypedDict):
    """One stage of a pipeline; ``share`` is its fraction of the deadline."""

    name: str
    service: str
    share: typing.NotRequired[Share]
    adapter: typing.NotRequired[str]


class PipelineSpec(typing.TypedDict):
    """A callable pipeline: its stages in order and the default deadline."""

    stages: typing.Annotated[list[StageSpec], msgspec.Meta(min_length=1)]
    deadline_ms: Positive
    teams: typing.NotRequired[list[str]]
    regions: typing.NotRequired[list[str]]


class TeamSpec(typing.TypedDict):
    """System-wide rate limit and scheduling weight of a team."""

    rate: Positive
    burst: typing.NotRequired[Positive]
    weight: typing.NotRequired[Positive]


class EndpointSpec(typing.TypedDict):
    """One endpoint of a service.

    ``checks_orders`` means that it rejects outdated fencing tokens.
    ``rack`` names its failure domain; replicas are spread over racks.
    """

    address: str
    service: str
    zone: str
    slots: typing.NotRequired[Count]
    checks_orders: typing.NotRequired[bool]
    rack: typing.NotRequired[str]


class PlacementSpec(typing.TypedDict):
    """A model version and the number of engines per zone that serve it.

    ``floor`` is the number of engines per zone that must keep serving
    during a version change; the default is one less than the replicas.
    ``weight_bytes`` is what one load reads from the weight store.
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
    """Names of withdrawn entries by section."""

    regions: typing.NotRequired[list[str]]
    services: typing.NotRequired[list[str]]
    pipelines: typing.NotRequired[list[str]]
    teams: typing.NotRequired[list[str]]
    endpoints: typing.NotRequired[list[str]]
    placements: typing.NotRequired[list[str]]


class Document(typing.TypedDict):
    """A full configuration, or one part of it.

    ``part`` is the number of this part, from zero, out of ``parts``.
    """

    version: int
    part: int
    parts: int
    sections: Sections
    withdrawn: list[str]


class Note(typing.TypedDict):
    """A release note that applies to version ``base``."""

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
