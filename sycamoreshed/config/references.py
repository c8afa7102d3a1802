"""Checks that what entries refer to exists, after a release note.

Only what a note can have broken is looked at: the entries it adds or
changes, and those that may refer to what it withdraws or changes.  A
note on one team of 35,000 looks at that team alone.
"""

from sycamoreshed import exceptions
from sycamoreshed.settings import schema as settings_schema

__all__ = ["check"]


def check(sections, note, *, source):
    """Check the sections that follow from a note.

    Parameters
    ----------
    sections : Sections
        With the note merged.
    note : Note
    source : str
        Name for messages.

    Raises
    ------
    CheckError
        Naming the entry whose reference has no target.
    """
    fresh = _fresh(note)
    withdrawn = note.get("withdrawn", {})
    zones = {
        zone for spec in sections["regions"].values() for zone in spec["zones"]
    }
    regions_moved = bool(fresh["regions"] or withdrawn.get("regions"))
    services_moved = bool(fresh["services"] or withdrawn.get("services"))
    everything = regions_moved or services_moved
    for name in _names(sections, fresh, "endpoints", everything):
        _check_endpoint(sections, name, zones, source)
    for name in _names(sections, fresh, "placements", regions_moved):
        _check_placement(sections, name, zones, source)
    for name in _names(sections, fresh, "pipelines", everything):
        _check_pipeline(sections, name, source)
    for name in sorted(fresh["pipelines"]):
        _check_teams(sections, name, source)
    _check_withdrawn_teams(sections, withdrawn.get("teams", ()), source)


def _fresh(note):
    """Return the names a note adds or changes, by section."""
    result = {}
    for section in ("regions", "services", "endpoints", "placements"):
        result[section] = _named(note, section)
    result["pipelines"] = _named(note, "pipelines")
    return result


def _named(note, section):
    return {
        *note.get("added", {}).get(section, ()),
        *note.get("changed", {}).get(section, ()),
    }


def _names(sections, fresh, section, everything):
    if everything:
        return sorted(sections[section])
    return sorted(fresh[section] & sections[section].keys())


def _check_endpoint(sections, name, zones, source):
    spec = sections["endpoints"][name]
    path = f"$.endpoints.{name}"
    settings_schema.check_address(
        spec["address"], source=source, path=f"{path}.address"
    )
    if spec["service"] not in sections["services"]:
        _refuse(source, path, f"no service {spec['service']!r}")
    if spec["zone"] not in zones:
        _refuse(source, path, f"no zone {spec['zone']!r}")


def _check_placement(sections, name, zones, source):
    for zone in sections["placements"][name]["replicas"]:
        if zone not in zones:
            _refuse(source, f"$.placements.{name}", f"no zone {zone!r}")


def _check_pipeline(sections, name, source):
    spec = sections["pipelines"][name]
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
    for region in spec.get("regions", ()):
        if region not in sections["regions"]:
            _refuse(source, path, f"no region {region!r}")


def _check_teams(sections, name, source):
    spec = sections["pipelines"].get(name, {})
    for team in spec.get("teams", ()):
        if team not in sections["teams"]:
            path = f"$.pipelines.{name}"
            _refuse(source, path, f"no team {team!r}")


def _check_withdrawn_teams(sections, names, source):
    gone = set(names) - sections["teams"].keys()
    if not gone:
        return
    for name, spec in sorted(sections["pipelines"].items()):
        teams = spec.get("teams", ())
        if not gone.isdisjoint(teams):
            team = min(gone.intersection(teams))
            _refuse(source, f"$.pipelines.{name}", f"no team {team!r}")


def _refuse(source, path, expected):
    raise exceptions.CheckError(source=source, path=path, expected=expected)
