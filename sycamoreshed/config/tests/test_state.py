"""A note is applied whole, or refused with the place that is wrong."""

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


def apply(part, section, entries):
    note = builders.note(1, **{part: {section: entries}})
    return state.apply_note(CONFIG, note, source="n.json")


@pytest.mark.parametrize(
    "part, section, entries, place",
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
def test_wrong_notes_are_refused_with_their_place(
    part, section, entries, place
):
    with pytest.raises(exceptions.CheckError) as caught:
        apply(part, section, entries)
    assert (caught.value.source, caught.value.path) == ("n.json", place)


def test_a_version_shares_what_a_note_leaves_alone():
    after = apply("changed", "teams", {"gaucho": {"rate": 9}})
    assert after.version == CONFIG.version + 1
    assert CONFIG.entry("teams", "gaucho") == {"rate": 1000}
    assert after.entry("teams", "gaucho") == {"rate": 9}
    assert after.endpoints is CONFIG.endpoints
    assert after.sections["pipelines"] is CONFIG.sections["pipelines"]


def test_a_withdrawn_pipeline_is_told_from_an_unknown_one():
    gone = apply("withdrawn", "pipelines", ["ballot"])
    assert gone.withdrawn == {"ballot"}
    note = builders.note(2, added={"pipelines": {"ballot": pipeline(STAGE)}})
    assert state.apply_note(gone, note).withdrawn == frozenset()


@settings(derandomize=True, deadline=None)
@given(
    teams=strategies.lists(strategies.sampled_from("abcdef"), unique=True),
    asked=strategies.sampled_from("abcdefg"),
)
def test_teams_are_found_however_a_note_lists_them(teams, asked):
    added = {
        "teams": {name: {"rate": 1} for name in "abcdefg"},
        "pipelines": {"p": pipeline(STAGE, teams=teams)},
    }
    config = state.apply_note(CONFIG, builders.note(1, added=added))
    assert config.is_assigned("p", asked) == (not teams or asked in teams)
