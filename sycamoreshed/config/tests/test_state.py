"""A note is applied in full, or rejected with the path of the error."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from sycamoreshed.config import state
from sycamoreshed import exceptions
from testkit import builders

CONFIG = builders.config()
STAGE = {"name": "a", "service": "encoder"}


def pipeline(*stages, **changes):
    return {"stages": list(stages), "deadline_ms": 100, **changes}


def apply(operation, section, entries):
    note = builders.note(1, **{operation: {section: entries}})
    return state.apply_note(CONFIG, note, source="n.json")


@pytest.mark.parametrize(
    "operation, section, entries, path",
    [
        ("added", "teams", {"gaucho": {"rate": 1}}, "$.added.teams.gaucho"),
        ("changed", "teams", {"x": {"rate": 1}}, "$.changed.teams.x"),
        ("withdrawn", "teams", ["x"], "$.withdrawn.teams"),
        ("withdrawn", "services", ["encoder"], "$.endpoints.encoder-1"),
        ("withdrawn", "regions", ["north"], "$.endpoints.encoder-1"),
        (
            "added",
            "endpoints",
            {"e": builders.endpoint_spec("host:1")},
            "$.endpoints.e.address",
        ),
        (
            "added",
            "endpoints",
            {"e": builders.endpoint_spec(service="x")},
            "$.endpoints.e",
        ),
        (
            "added",
            "endpoints",
            {"e": builders.endpoint_spec(zone="x")},
            "$.endpoints.e",
        ),
        (
            "added",
            "pipelines",
            {"p": pipeline(STAGE, STAGE)},
            "$.pipelines.p",
        ),
        (
            "added",
            "pipelines",
            {"p": pipeline(STAGE, teams=["x"])},
            "$.pipelines.p",
        ),
        (
            "added",
            "pipelines",
            {
                "p": pipeline(
                    {"name": "a", "service": "ballot"},
                    {"name": "b", "service": "ballot"},
                )
            },
            "$.pipelines.p",
        ),
    ],
)
def test_invalid_notes_are_rejected_with_the_path(
    operation, section, entries, path
):
    with pytest.raises(exceptions.CheckError) as caught:
        apply(operation, section, entries)
    assert (caught.value.source, caught.value.path) == ("n.json", path)


def test_new_version_shares_untouched_sections():
    after = apply("changed", "teams", {"gaucho": {"rate": 9}})
    assert after.version == CONFIG.version + 1
    assert CONFIG.entry("teams", "gaucho") == {"rate": 1000}
    assert after.entry("teams", "gaucho") == {"rate": 9}
    assert after.endpoints is CONFIG.endpoints
    assert after.sections["pipelines"] is CONFIG.sections["pipelines"]


def test_withdrawn_pipeline_is_distinguished_from_an_unknown_one():
    config = apply("withdrawn", "pipelines", ["ballot"])
    assert config.withdrawn_pipelines == {"ballot"}
    note = builders.note(2, added={"pipelines": {"ballot": pipeline(STAGE)}})
    assert state.apply_note(config, note).withdrawn_pipelines == frozenset()


@settings(derandomize=True, deadline=None)
@given(
    teams=strategies.lists(strategies.sampled_from("abcdef"), unique=True),
    team=strategies.sampled_from("abcdefg"),
)
def test_assignment_does_not_depend_on_the_order_of_teams(teams, team):
    added = {
        "teams": {name: {"rate": 1} for name in "abcdefg"},
        "pipelines": {"p": pipeline(STAGE, teams=teams)},
    }
    config = state.apply_note(CONFIG, builders.note(1, added=added))
    assert config.is_assigned("p", team) == (not teams or team in teams)
