"""The configuration in force, and how a release note changes it."""

import typing

from sycamoreshed.config import schema
from sycamoreshed import exceptions
from sycamoreshed.settings import checking
from sycamoreshed.settings import schema as settings_schema

__all__ = [
    "EMPTY",
    "Config",
    "Endpoint",
    "apply_note",
    "check_note",
    "compile_config",
]

DEFAULT_SLOTS = 8


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
    sections = {key: dict(config.sections[key]) for key in schema.SECTIONS}
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
    withdrawn -= set(sections["pipelines"])
    _check_references(sections, source)
    return compile_config(config.version + 1, sections, withdrawn)


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
            sections[section][name] = spec


def _check_references(sections, source):
    zones = {
        zone for spec in sections["regions"].values() for zone in spec["zones"]
    }
    for name, spec in sections["endpoints"].items():
        path = f"$.endpoints.{name}"
        settings_schema.check_address(
            spec["address"], source=source, path=f"{path}.address"
        )
        if spec["service"] not in sections["services"]:
            _refuse(source, path, f"no service {spec['service']!r}")
        if spec["zone"] not in zones:
            _refuse(source, path, f"no zone {spec['zone']!r}")
    for name, spec in sections["pipelines"].items():
        _check_pipeline(sections, name, spec, source)
    for name, spec in sections["placements"].items():
        for zone in spec["replicas"]:
            if zone not in zones:
                _refuse(source, f"$.placements.{name}", f"no zone {zone!r}")


def _check_pipeline(sections, name, spec, source):
    path = f"$.pipelines.{name}"
    names = [stage["name"] for stage in spec["stages"]]
    if len(set(names)) < len(names):
        # Answers name their stage; two of a name could be confused.
        _refuse(source, path, "a stage name is used twice")
    unrepeatable = 0
    for stage in spec["stages"]:
        service = sections["services"].get(stage["service"])
        if service is None:
            _refuse(source, path, f"no service {stage['service']!r}")
        unrepeatable += not service.get("repeatable", True)
    if unrepeatable > 1:
        # One record answers for one call; two would need a record each
        # and could leave the first done and the second not.
        _refuse(source, path, "more than one stage may not be repeated")
    for team in spec.get("teams", ()):
        if team not in sections["teams"]:
            _refuse(source, path, f"no team {team!r}")
    for region in spec.get("regions", ()):
        if region not in sections["regions"]:
            _refuse(source, path, f"no region {region!r}")


def _refuse(source, path, expected):
    raise exceptions.CheckError(source=source, path=path, expected=expected)
