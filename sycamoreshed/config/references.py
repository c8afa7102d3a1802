"""Consistency of the configuration after a release note.

Only entries that the note may have made invalid are checked: those it
adds or changes, and those that may refer to entries it withdraws or
changes.  A note that adds or changes one of 35,000 teams checks nothing
else.
"""

from sycamoreshed import exceptions
from sycamoreshed.settings import schema as settings_schema

__all__ = ["check"]


def check(sections, note, *, source):
    """Check the entries that a note may have made invalid.

    Parameters
    ----------
    sections : Sections
        The configuration with the note merged.
    note : Note
    source : str
        Name of the note's source in error messages.

    Raises
    ------
    CheckError
        If an entry is invalid or refers to one that does not exist; names
        that entry.
    """
    modified = _modified_by_section(note)
    withdrawn = note.get("withdrawn", {})
    zones = {
        zone for spec in sections["regions"].values() for zone in spec["zones"]
    }
    regions_touched = bool(modified["regions"] or withdrawn.get("regions"))
    services_touched = bool(modified["services"] or withdrawn.get("services"))
    check_all = regions_touched or services_touched
    for name in _names_to_check(sections, modified, "endpoints", check_all):
        _check_endpoint(sections, name, zones, source)
    for name in _names_to_check(
        sections, modified, "placements", regions_touched
    ):
        _check_placement(sections, name, zones, source)
    for name in _names_to_check(sections, modified, "pipelines", check_all):
        _check_pipeline(sections, name, source)
    for name in sorted(modified["pipelines"]):
        _check_teams(sections, name, source)
    _check_withdrawn_teams(sections, withdrawn.get("teams", ()), source)


def _modified_by_section(note):
    """Return the names a note adds or changes, by section."""
    result = {}
    for section in ("regions", "services", "endpoints", "placements"):
        result[section] = _modified_names(note, section)
    result["pipelines"] = _modified_names(note, "pipelines")
    return result


def _modified_names(note, section):
    return {
        *note.get("added", {}).get(section, ()),
        *note.get("changed", {}).get(section, ()),
    }


def _names_to_check(sections, modified, section, check_all):
    if check_all:
        return sorted(sections[section])
    # A note may withdraw an entry that it also adds or changes.
    return sorted(modified[section] & sections[section].keys())


def _check_endpoint(sections, name, zones, source):
    spec = sections["endpoints"][name]
    path = f"$.endpoints.{name}"
    settings_schema.check_address(
        spec["address"], source=source, path=f"{path}.address"
    )
    if spec["service"] not in sections["services"]:
        _reject(source, path, f"no service {spec['service']!r}")
    if spec["zone"] not in zones:
        _reject(source, path, f"no zone {spec['zone']!r}")


def _check_placement(sections, name, zones, source):
    for zone in sections["placements"][name]["replicas"]:
        if zone not in zones:
            _reject(source, f"$.placements.{name}", f"no zone {zone!r}")


def _check_pipeline(sections, name, source):
    spec = sections["pipelines"][name]
    path = f"$.pipelines.{name}"
    names = [stage["name"] for stage in spec["stages"]]
    if len(set(names)) < len(names):
        # Responses identify stages by name, so names must be unique.
        _reject(source, path, "a stage name is used twice")
    unrepeatable = 0
    for stage in spec["stages"]:
        service = sections["services"].get(stage["service"])
        if service is None:
            _reject(source, path, f"no service {stage['service']!r}")
        unrepeatable += not service.get("repeatable", True)
    if unrepeatable > 1:
        # An idempotency record covers one call.  Two such stages would
        # need a record each, and the first call could succeed while the
        # second fails.
        _reject(source, path, "more than one stage may not be repeated")
    for region in spec.get("regions", ()):
        if region not in sections["regions"]:
            _reject(source, path, f"no region {region!r}")


def _check_teams(sections, name, source):
    spec = sections["pipelines"].get(name, {})
    for team in spec.get("teams", ()):
        if team not in sections["teams"]:
            path = f"$.pipelines.{name}"
            _reject(source, path, f"no team {team!r}")


def _check_withdrawn_teams(sections, names, source):
    removed = set(names) - sections["teams"].keys()
    if not removed:
        return
    for name, spec in sorted(sections["pipelines"].items()):
        teams = spec.get("teams", ())
        if not removed.isdisjoint(teams):
            team = min(removed.intersection(teams))
            _reject(source, f"$.pipelines.{name}", f"no team {team!r}")


def _reject(source, path, problem):
    raise exceptions.CheckError(source=source, path=path, expected=problem)
