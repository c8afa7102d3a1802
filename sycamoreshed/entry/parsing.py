"""Reading a caller's request; costs no endpoint any work."""

import math
import typing
import uuid

from sycamoreshed.errors import kinds
from sycamoreshed import exceptions
from sycamoreshed.pipeline import requests
from sycamoreshed.pipeline import runner
from sycamoreshed.settings import checking

__all__ = ["Ask", "check", "in_doubt", "parse"]

TEAM = "Team"
KEY = "Idempotency-Key"
REPEAT = "Idempotency-Repeat"
DEADLINE = "Deadline-Ms"
PRIORITY = "Priority"
LONGEST_KEY = 200
MAX_DEADLINE_MS = 600_000.0
REPEATS = {"true": True, "false": False}
PRIORITIES = frozenset("0123456789")
DEFAULT_PRIORITY = "1"


class Body(typing.TypedDict):
    """The JSON body of a call."""

    input: typing.Any
    stream: typing.NotRequired[bool]


class Ask(typing.NamedTuple):
    """A caller's request as parsed."""

    request: requests.Request
    stream: bool


def check(config, team, pipeline, region):
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


def in_doubt(headers, pipeline, config):
    """Tell whether an earlier request with a caller's key may have run.

    Parameters
    ----------
    headers : mapping of str to str
        Of a request that is refused before it is understood.
    pipeline : str
    config : Config or None
        None if no configuration is known yet.

    Returns
    -------
    bool
        False as well where the key means nothing to the pipeline.
    """
    key = headers.get(KEY, "")
    if not 0 < len(key) <= LONGEST_KEY or headers.get(REPEAT) == "false":
        return False
    if config is None or config.entry("pipelines", pipeline) is None:
        return True
    return runner.unrepeatable_stage(config, pipeline) is not None


def parse(headers, pipeline, raw, *, config, region, now):
    """Check headers and body of a call.

    Parameters
    ----------
    headers : mapping of str to str
    pipeline : str
    raw : bytes
    config : Config
        In force now; the request keeps it.
    region : str
        Of this instance.
    now : float
        Monotonic seconds.

    Returns
    -------
    Ask or Failure
    """
    team = headers.get(TEAM, "")
    refusal = check(config, team, pipeline, region)
    if refusal is not None:
        return refusal
    spec = config.entry("pipelines", pipeline)
    try:
        body = checking.decode(raw, Body, source="body")
        seconds = _deadline(headers, spec)
        priority = _priority(headers)
        repeat = _repeat(headers)
    except (exceptions.CheckError, ValueError) as err:
        return kinds.Failure(kinds.Kind.BAD_REQUEST, str(err))
    key = headers.get(KEY)
    critical = runner.unrepeatable_stage(config, pipeline)
    if critical is not None and not key:
        reason = f"stage {critical['name']!r} may not be repeated"
        return kinds.Failure(kinds.Kind.KEY_MISSING, reason)
    if critical is not None and body.get("stream"):
        # A stream cannot be repeated to a later caller byte for byte.
        reason = f"stage {critical['name']!r} may not be streamed"
        return kinds.Failure(kinds.Kind.BAD_REQUEST, reason)
    if key is not None and len(key) > LONGEST_KEY:
        return kinds.Failure(kinds.Kind.BAD_REQUEST, f"{KEY} too long")
    request = requests.Request(
        id=uuid.uuid4().hex,
        team=team,
        pipeline=pipeline,
        config=config,
        deadline=now + seconds,
        body=body["input"],
        key=key if critical is not None else None,
        priority=priority,
        repeat=repeat,
    )
    return Ask(request, body.get("stream", False))


def _priority(headers):
    text = headers.get(PRIORITY, DEFAULT_PRIORITY)
    if text not in PRIORITIES:
        raise ValueError(f"{PRIORITY} must be one of 0 to 9")
    return int(text)


def _repeat(headers):
    text = headers.get(REPEAT)
    if text is None:
        return None
    if text not in REPEATS:
        raise ValueError(f"{REPEAT} must be true or false")
    return REPEATS[text]


def _deadline(headers, spec):
    text = headers.get(DEADLINE, spec["deadline_ms"])
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or not 0 < value <= MAX_DEADLINE_MS:
        raise ValueError(f"{DEADLINE} must be over 0, at most 600000")
    return value / 1000
