"""Versions of the configuration, and how a release note makes the next one.

A version shares every section that the note does not touch with the
previous version.  The section of teams, which may have 35,000 entries, is
copied only by a note on teams, and the copy is shallow.
"""

import bisect
import itertools
import math
import typing

import msgspec

from sycamoreshed.config import changes
from sycamoreshed.config import references
from sycamoreshed.config import schema
from sycamoreshed import exceptions
from sycamoreshed.settings import checking

__all__ = [
    "EMPTY",
    "Config",
    "Endpoint",
    "apply_note",
    "build_config",
    "check_note",
    "check_part",
    "count_parts",
    "document",
    "document_part",
    "join_parts",
]

DEFAULT_SLOTS = 8
TEAMS_PER_PART = 4000


class Endpoint(typing.NamedTuple):
    """An endpoint with its region and defaults filled in.

    Parameters
    ----------
    name, address, service, zone, region : str
    slots : int
        Number of calls that it serves concurrently.
    checks_orders : bool
        Whether it rejects orders with an outdated fencing token.
    """

    name: str
    address: str
    service: str
    zone: str
    region: str
    slots: int
    checks_orders: bool


class Config(typing.NamedTuple):
    """One version of the configuration; never modified in place.

    Parameters
    ----------
    version : int
        Number of the last note applied; zero before the first.
    sections : Sections
        All entries.
    withdrawn_pipelines : frozenset of str
        Names of withdrawn pipelines, to distinguish them from unknown
        ones.
    endpoints : dict of str to tuple of Endpoint
        Endpoints by service.
    zones : dict of str to str
        Region of each availability zone.
    """

    version: int
    sections: schema.Sections
    withdrawn_pipelines: frozenset
    endpoints: dict
    zones: dict

    def entry(self, section, name):
        """Return the entry of this name, or None if there is none."""
        return self.sections[section].get(name)

    def is_assigned(self, pipeline, team):
        """Return whether a team may call an existing pipeline.

        Any team may call a pipeline that lists no teams.
        """
        teams = self.sections["pipelines"][pipeline].get("teams")
        if not teams:
            return True
        index = bisect.bisect_left(teams, team)
        return index < len(teams) and teams[index] == team


def build_config(version, sections, withdrawn):
    """Build a `Config` with its indexes.

    Parameters
    ----------
    version : int
    sections : Sections
    withdrawn : iterable of str

    Returns
    -------
    Config
    """
    zones = {}
    for region, spec in sections["regions"].items():
        for zone in spec["zones"]:
            zones[zone] = region
    endpoints = {}
    for name, spec in sections["endpoints"].items():
        endpoint = Endpoint(
            name=name,
            address=spec["address"],
            service=spec["service"],
            zone=spec["zone"],
            region=zones[spec["zone"]],
            slots=spec.get("slots", DEFAULT_SLOTS),
            checks_orders=spec.get("checks_orders", False),
        )
        endpoints.setdefault(endpoint.service, []).append(endpoint)
    return Config(
        version=version,
        sections=sections,
        withdrawn_pipelines=frozenset(withdrawn),
        endpoints={key: tuple(value) for key, value in endpoints.items()},
        zones=zones,
    )


EMPTY = build_config(0, {name: {} for name in schema.SECTIONS}, ())


def apply_note(config, note, *, source="note"):
    """Apply a note to a configuration and return the result.

    Parameters
    ----------
    config : Config
        The version on which the note is based.
    note : Note
    source : str
        Name of the note's source in error messages.

    Returns
    -------
    Config
        With the next version number.

    Raises
    ------
    CheckError
        If the note adds an entry that exists, changes or withdraws one
        that does not, leaves a reference without its target, or makes an
        entry invalid.
    """
    touched_sections = changes.touched_sections(note)
    sections = dict(config.sections)
    for section in touched_sections:
        sections[section] = dict(sections[section])
    _merge(sections, note.get("added", {}), "added", False, source)
    _merge(sections, note.get("changed", {}), "changed", True, source)
    withdrawn = set(config.withdrawn_pipelines)
    for section, names in note.get("withdrawn", {}).items():
        for name in names:
            path = f"$.withdrawn.{section}"
            if sections[section].pop(name, None) is None:
                _reject(source, path, f"{name!r} does not exist")
            if section == "pipelines":
                withdrawn.add(name)
    # A pipeline that is added again is no longer withdrawn.
    withdrawn.difference_update(sections["pipelines"])
    references.check(sections, note, source=source)
    return _next_version(config, sections, withdrawn, touched_sections)


def document(config):
    """Return the full configuration as one `schema.Document`."""
    return schema.Document(
        version=config.version,
        part=0,
        parts=1,
        sections=config.sections,
        withdrawn=sorted(config.withdrawn_pipelines),
    )


def count_parts(config):
    """Return the number of parts into which a configuration is split."""
    return max(1, math.ceil(len(config.sections["teams"]) / TEAMS_PER_PART))


def document_part(config, number):
    """Return one part of a configuration as a `schema.Document`.

    Notes
    -----
    A configuration of 35,000 teams takes 20 ms to encode and 60 ms to
    decode and check.  In a single step, this would block the event loop
    and delay every request of the instance; between parts, requests are
    served.
    """
    teams = config.sections["teams"]
    first = number * TEAMS_PER_PART
    part_teams = itertools.islice(teams.items(), first, first + TEAMS_PER_PART)
    sections = dict(config.sections) if number == 0 else {}
    sections["teams"] = dict(part_teams)
    return schema.Document(
        version=config.version,
        part=number,
        parts=count_parts(config),
        sections=sections,
        withdrawn=sorted(config.withdrawn_pipelines) if number == 0 else [],
    )


def check_part(body):
    """Check a decoded body and return it as a `schema.Document`.

    Raises
    ------
    msgspec.ValidationError
        If it does not conform to the schema.
    """
    return msgspec.convert(body, schema.Document)


def join_parts(parts):
    """Build the `Config` from all parts, given in order."""
    sections = dict(parts[0]["sections"])
    teams = {}
    for part in parts:
        teams.update(part["sections"]["teams"])
    sections["teams"] = teams
    return build_config(parts[0]["version"], sections, parts[0]["withdrawn"])


def check_note(raw, *, source):
    """Decode a release note and check its structure only.

    Returns
    -------
    Note

    Raises
    ------
    CheckError
    """
    return checking.decode(raw, schema.Note, source=source)


def _merge(sections, entries, operation, must_exist, source):
    for section, specs in entries.items():
        for name, spec in specs.items():
            path = f"$.{operation}.{section}.{name}"
            exists = name in sections[section]
            if exists and not must_exist:
                _reject(source, path, "exists already")
            if must_exist and not exists:
                _reject(source, path, "does not exist")
            sections[section][name] = _with_sorted_teams(spec)


def _with_sorted_teams(spec):
    """Return an entry with its list of teams, if any, sorted.

    Notes
    -----
    A pipeline may list 35,000 teams, and each request searches for one.
    A set in addition to the list would take 2 MB per pipeline; binary
    search in the sorted list needs no extra memory.
    """
    if "teams" not in spec:
        return spec
    return {**spec, "teams": sorted(spec["teams"])}


def _next_version(config, sections, withdrawn, touched_sections):
    """Build the next version.

    The indexes are reused if no region or endpoint changed.
    """
    if not touched_sections.isdisjoint(("regions", "endpoints")):
        return build_config(config.version + 1, sections, withdrawn)
    return Config(
        version=config.version + 1,
        sections=sections,
        withdrawn_pipelines=frozenset(withdrawn),
        endpoints=config.endpoints,
        zones=config.zones,
    )


def _reject(source, path, problem):
    raise exceptions.CheckError(source=source, path=path, expected=problem)
