"""Parse and check callers' requests, before any endpoint is called."""

import math
import typing
import uuid

from sycamoreshed.errors import kinds
from sycamoreshed import exceptions
from sycamoreshed.pipeline import requests
from sycamoreshed.pipeline import runner
from sycamoreshed.settings import checking

__all__ = ["ParsedCall", "check_access", "earlier_may_have_run", "parse"]

TEAM_HEADER = "Team"
KEY_HEADER = "Idempotency-Key"
REPEAT_HEADER = "Idempotency-Repeat"
DEADLINE_HEADER = "Deadline-Ms"
PRIORITY_HEADER = "Priority"
MAX_KEY_LENGTH = 200
MAX_DEADLINE_MS = 600_000.0
REPEAT_VALUES = {"true": True, "false": False}
PRIORITIES = frozenset("0123456789")
DEFAULT_PRIORITY = "1"


class Body(typing.TypedDict):
    """The JSON body of a call."""

    input: typing.Any
    stream: typing.NotRequired[bool]


class ParsedCall(typing.NamedTuple):
    """A parsed request and whether its answer is to be streamed."""

    request: requests.Request
    stream: bool


def check_access(config, team, pipeline, region):
    """Return a failure if the team may not call the pipeline, or None."""
    if config.entry("teams", team) is None:
        return kinds.Failure(kinds.Kind.UNKNOWN_TEAM, f"team {team!r}")
    if pipeline in config.withdrawn_pipelines:
        return kinds.Failure(kinds.Kind.WITHDRAWN, f"pipeline {pipeline!r}")
    spec = config.entry("pipelines", pipeline)
    if spec is None:
        return kinds.Failure(
            kinds.Kind.UNKNOWN_PIPELINE, f"pipeline {pipeline!r}"
        )
    if not config.is_assigned(pipeline, team):
        return kinds.Failure(kinds.Kind.NOT_ASSIGNED, f"team {team!r}")
    if spec.get("regions") and region not in spec["regions"]:
        return kinds.Failure(kinds.Kind.NOT_ASSIGNED, f"region {region!r}")
    return None


def earlier_may_have_run(headers, pipeline, config):
    """Return whether an earlier request with the same key may have run.

    Parameters
    ----------
    headers : mapping of str to str
        Headers of a request that is rejected before it is fully parsed.
    pipeline : str
    config : Config or None
        None if no configuration has been received yet.

    Returns
    -------
    bool
        Also False if the pipeline ignores keys.
    """
    key = headers.get(KEY_HEADER, "")
    if (
        not 0 < len(key) <= MAX_KEY_LENGTH
        or headers.get(REPEAT_HEADER) == "false"
    ):
        return False
    if config is None or config.entry("pipelines", pipeline) is None:
        return True
    return runner.unrepeatable_stage(config, pipeline) is not None


def parse(headers, pipeline, raw, *, config, region, now):
    """Parse and check headers and body of a call.

    Parameters
    ----------
    headers : mapping of str to str
    pipeline : str
    raw : bytes
    config : Config
        The configuration in force now, which the request keeps.
    region : str
        Region of this instance.
    now : float
        Monotonic seconds.

    Returns
    -------
    ParsedCall or Failure
    """
    team = headers.get(TEAM_HEADER, "")
    failure = check_access(config, team, pipeline, region)
    if failure is not None:
        return failure
    spec = config.entry("pipelines", pipeline)
    try:
        body = checking.decode(raw, Body, source="body")
        limit_s = _time_limit_s(headers, spec)
        priority = _priority(headers)
        repeat = _repeat(headers)
    except (exceptions.CheckError, ValueError) as err:
        return kinds.Failure(kinds.Kind.BAD_REQUEST, str(err))
    key = headers.get(KEY_HEADER)
    unrepeatable = runner.unrepeatable_stage(config, pipeline)
    if unrepeatable is not None and not key:
        reason = f"stage {unrepeatable['name']!r} may not be repeated"
        return kinds.Failure(kinds.Kind.KEY_MISSING, reason)
    if unrepeatable is not None and body.get("stream"):
        # A stream cannot be replayed byte for byte to a later request with
        # the same key.
        reason = f"stage {unrepeatable['name']!r} may not be streamed"
        return kinds.Failure(kinds.Kind.BAD_REQUEST, reason)
    if key is not None and len(key) > MAX_KEY_LENGTH:
        return kinds.Failure(kinds.Kind.BAD_REQUEST, f"{KEY_HEADER} too long")
    request = requests.Request(
        id=uuid.uuid4().hex,
        team=team,
        pipeline=pipeline,
        config=config,
        deadline=now + limit_s,
        body=body["input"],
        key=key if unrepeatable is not None else None,
        priority=priority,
        repeat=repeat,
    )
    return ParsedCall(request, body.get("stream", False))


def _priority(headers):
    text = headers.get(PRIORITY_HEADER, DEFAULT_PRIORITY)
    if text not in PRIORITIES:
        raise ValueError(f"{PRIORITY_HEADER} must be one of 0 to 9")
    return int(text)


def _repeat(headers):
    text = headers.get(REPEAT_HEADER)
    if text is None:
        return None
    if text not in REPEAT_VALUES:
        raise ValueError(f"{REPEAT_HEADER} must be true or false")
    return REPEAT_VALUES[text]


def _time_limit_s(headers, spec):
    text = headers.get(DEADLINE_HEADER, spec["deadline_ms"])
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or not 0 < value <= MAX_DEADLINE_MS:
        raise ValueError(f"{DEADLINE_HEADER} must be over 0, at most 600000")
    return value / 1000
