"""Schema of the configuration and of release notes.

A release note lists entries by section: added and changed ones in full,
withdrawn ones by name.  All use the same sections, so that one type
describes an entry wherever it occurs.
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
    """A group of equivalent endpoints: engines, encoders, a plain service.

    Only ``engine`` is treated specially; the other kinds are alike.
    ``repeatable`` false means that a call must not be sent twice.
    ``lookup`` means that an endpoint can be queried for the outcome
    of a call by its idempotency key.
    """

    kind: typing.Literal["engine", "pool", "plain"]
    repeatable: typing.NotRequired[bool]
    lookup: typing.NotRequired[bool]
    model: typing.NotRequired[str]


class StageSpec(typing.TypedDict):
    """One stage of a pipeline.

    ``share`` is its weight when the remaining time of a request is divided
    among the remaining stages.
    """

    name: str
    service: str
    share: typing.NotRequired[Share]
    adapter: typing.NotRequired[str]


class PipelineSpec(typing.TypedDict):
    """A pipeline that teams can call: its stages and default deadline.

    ``teams`` and ``regions`` restrict who may call it and where; absent
    or empty, they do not.
    """

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

    ``checks_orders`` means that it rejects orders with an outdated
    fencing token.
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
    ``withdrawn`` names the withdrawn pipelines.
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
