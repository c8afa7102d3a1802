"""The configuration in force, and how a release note changes it.

A version shares with the one before every section that a note leaves
alone, so that 35,000 teams are copied only by a note on teams, and then
only the table of their names and not what it refers to.
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
    "check_note",
    "check_part",
    "compile_config",
    "count_parts",
    "document",
    "document_part",
    "join_parts",
]

DEFAULT_SLOTS = 8
PART_TEAMS = 4000


class Endpoint(typing.NamedTuple):
    """An endpoint as routing sees it.

    Parameters
    ----------
    name, address, service, zone, region : str
    slots : int
        Calls it serves at a time.
    checks_orders : bool
        Whether it refuses an order with an old fencing number.
    """

    name: str
    address: str
    service: str
    zone: str
    region: str
    slots: int
    checks_orders: bool


class Config(typing.NamedTuple):
    """One version of the configuration; never changed in place.

    Parameters
    ----------
    version : int
        Number of the last accepted note; zero before the first.
    sections : Sections
        All entries.
    withdrawn : frozenset of str
        Names of withdrawn pipelines, to tell them from unknown ones.
    endpoints : dict of str to tuple of Endpoint
        Endpoints by service.
    zones : dict of str to str
        Region of each availability zone.
    """

    version: int
    sections: schema.Sections
    withdrawn: frozenset
    endpoints: dict
    zones: dict

    def entry(self, section, name):
        """Return one entry or None."""
        return self.sections[section].get(name)

    def is_assigned(self, pipeline, team):
        """Return whether a team may call a pipeline that exists."""
        teams = self.sections["pipelines"][pipeline].get("teams")
        if not teams:
            return True
        index = bisect.bisect_left(teams, team)
        return index < len(teams) and teams[index] == team


def compile_config(version, sections, withdrawn):
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
        withdrawn=frozenset(withdrawn),
        endpoints={key: tuple(value) for key, value in endpoints.items()},
        zones=zones,
    )


EMPTY = compile_config(0, {name: {} for name in schema.SECTIONS}, ())


def apply_note(config, note, *, source="note"):
    """Return the configuration that follows from a note.

    Parameters
    ----------
    config : Config
        The version the note is written on.
    note : Note
    source : str
        Name for messages.

    Returns
    -------
    Config
        With the next version number.

    Raises
    ------
    CheckError
        If the note adds what exists, changes or withdraws what does not,
        or leaves a reference without its target.
    """
    touched = changes.touched(note)
    sections = dict(config.sections)
    for section in touched:
        sections[section] = dict(sections[section])
    _merge(sections, note.get("added", {}), "added", False, source)
    _merge(sections, note.get("changed", {}), "changed", True, source)
    withdrawn = set(config.withdrawn)
    for section, names in note.get("withdrawn", {}).items():
        for name in names:
            path = f"$.withdrawn.{section}"
            if sections[section].pop(name, None) is None:
                _refuse(source, path, f"{name!r} does not exist")
            if section == "pipelines":
                withdrawn.add(name)
    withdrawn.difference_update(sections["pipelines"])
    references.check(sections, note, source=source)
    return _derive(config, sections, withdrawn, touched)


def document(config):
    """Return a configuration as one `schema.Document`."""
    return schema.Document(
        version=config.version,
        part=0,
        parts=1,
        sections=config.sections,
        withdrawn=sorted(config.withdrawn),
    )


def count_parts(config):
    """Return in how many parts a configuration is told."""
    return max(1, math.ceil(len(config.sections["teams"]) / PART_TEAMS))


def document_part(config, number):
    """Return one part of a configuration as a `schema.Document`.

    Notes
    -----
    A configuration of 35,000 teams takes 20 ms to encode and 60 ms to
    decode and check.  Done in one go, every request of the instance would
    wait so long; in parts others are served in between.
    """
    teams = config.sections["teams"]
    first = number * PART_TEAMS
    some = itertools.islice(teams.items(), first, first + PART_TEAMS)
    sections = dict(config.sections) if number == 0 else {}
    sections["teams"] = dict(some)
    return schema.Document(
        version=config.version,
        part=number,
        parts=count_parts(config),
        sections=sections,
        withdrawn=sorted(config.withdrawn) if number == 0 else [],
    )


def check_part(body):
    """Return a decoded body as a `schema.Document`.

    Raises
    ------
    msgspec.ValidationError
        If it is not one.
    """
    return msgspec.convert(body, schema.Document)


def join_parts(parts):
    """Return the `Config` of all parts, in order."""
    sections = dict(parts[0]["sections"])
    teams = {}
    for part in parts:
        teams.update(part["sections"]["teams"])
    sections["teams"] = teams
    return compile_config(parts[0]["version"], sections, parts[0]["withdrawn"])


def check_note(raw, *, source):
    """Check the bytes of a release note by itself.

    Returns
    -------
    Note

    Raises
    ------
    CheckError
    """
    return checking.decode(raw, schema.Note, source=source)


def _merge(sections, entries, part, must_exist, source):
    for section, named in entries.items():
        for name, spec in named.items():
            path = f"$.{part}.{section}.{name}"
            exists = name in sections[section]
            if exists and not must_exist:
                _refuse(source, path, "exists already")
            if must_exist and not exists:
                _refuse(source, path, "does not exist")
            sections[section][name] = _in_order(spec)


def _in_order(spec):
    """Return an entry with its teams, if it has any, in order.

    Notes
    -----
    A pipeline may name 35,000 teams, and each request looks for one.  A
    set beside the list would cost 2 MB a pipeline, a list in order costs
    nothing.
    """
    if "teams" not in spec:
        return spec
    return {**spec, "teams": sorted(spec["teams"])}


def _derive(config, sections, withdrawn, touched):
    """Build the next version, sharing with the last what is the same."""
    if not touched.isdisjoint(("regions", "endpoints")):
        return compile_config(config.version + 1, sections, withdrawn)
    return Config(
        version=config.version + 1,
        sections=sections,
        withdrawn=frozenset(withdrawn),
        endpoints=config.endpoints,
        zones=config.zones,
    )


def _refuse(source, path, expected):
    raise exceptions.CheckError(source=source, path=path, expected=expected)
