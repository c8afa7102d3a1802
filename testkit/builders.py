"""Builders of configurations, release notes and settings for tests."""

import copy
import itertools

from sycamoreshed.config import state

__all__ = [
    "endpoint_spec",
    "first_note",
    "config",
    "note",
    "settings_document",
]

_numbers = itertools.count(1)

REGIONS = {
    "north": {"zones": ["north-a", "north-b"]},
    "south": {"zones": ["south-a"]},
}
SERVICES = {
    "encoder": {"kind": "pool"},
    "retriever": {"kind": "pool"},
    "reranker": {"kind": "pool"},
    "language": {"kind": "engine"},
    "ballot": {"kind": "plain", "repeatable": False, "lookup": True},
    "catalogue": {"kind": "plain"},
}
PIPELINES = {
    "summary": {
        "stages": [
            {"name": "encode", "service": "encoder"},
            {"name": "retrieve", "service": "retriever"},
            {"name": "rerank", "service": "reranker"},
            {"name": "generate", "service": "language"},
        ],
        "deadline_ms": 5000,
    },
    "ballot": {
        "stages": [{"name": "cast", "service": "ballot"}],
        "deadline_ms": 5000,
    },
    "catalogue": {
        "stages": [{"name": "read", "service": "catalogue"}],
        "deadline_ms": 5000,
    },
}
TEAMS = {
    "gaucho": {"rate": 1000},
    "ilha": {"rate": 1000},
}


def endpoint_spec(address="127.0.0.1:9", service="encoder", **changes):
    """Return an `EndpointSpec`."""
    spec = {"address": address, "service": service, "zone": "north-a"}
    return {**spec, **changes}


def note(base, *, author="ana", **parts):
    """Return a release note with a unique id for the version `base`."""
    number = next(_numbers)
    return {"id": f"note-{number}", "base": base, "author": author, **parts}


def first_note(endpoints, *, placements=None):
    """Return the release note that creates the initial configuration."""
    added = copy.deepcopy(
        {
            "regions": REGIONS,
            "services": SERVICES,
            "pipelines": PIPELINES,
            "teams": TEAMS,
            "endpoints": endpoints,
            "placements": placements or {},
        }
    )
    return note(0, added=added)


def config(endpoints=None):
    """Return a `Config` of version 1."""
    if endpoints is None:
        endpoints = {"encoder-1": endpoint_spec()}
    return state.apply_note(state.EMPTY, first_note(endpoints))


def settings_document(platform, *, public, control, **changes):
    """Return the settings document of a daemon.

    Parameters
    ----------
    platform : dict of str to str
        Addresses of ``table``, ``objects`` and ``instances``.
    """
    document = {
        "instance": "entry-1",
        "region": "north",
        "zone": "north-a",
        "public": public,
        "control": control,
        "table": platform["table"],
        "objects": platform["objects"],
        "instance_list": platform["instances"],
        "grace_s": 0.2,
    }
    return {**document, **changes}
