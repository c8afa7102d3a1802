import pytest

from sycamoreshed.config import state
from sycamoreshed.errors import kinds
from sycamoreshed.notes import acceptance
from sycamoreshed.notes import notes
from sycamoreshed.notes import rows
from sycamoreshed.notes import snapshots
from sycamoreshed.notes.tests import fakes
from testkit import builders


def make_instance(table, objects=None):
    """Return the acceptor, notes and snapshots of one instance."""
    instance_snapshots = snapshots.Snapshots(
        table=table, objects=objects or fakes.FakeObjects()
    )
    instance_notes = notes.Notes(table=table, snapshots=instance_snapshots)
    return (
        acceptance.Acceptor(table=table, notes=instance_notes),
        instance_notes,
        instance_snapshots,
    )


def team_note(base, name="t1", rate=5, author="ana"):
    return builders.note(
        base, author=author, added={"teams": {name: {"rate": rate}}}
    )


# Accepting a note scans the table, reads the row of the id, and writes.
# After a lost response, it reads the row of the id, then that of the note if
# the id exists, else writes again.
FAULTS = [
    ("no fault", [], "accepted"),
    ("scan unavailable", ["down"], "unknown"),
    ("read unavailable", ["ok", "down"], "unknown"),
    ("stale scan and read", ["stale", "stale"], "accepted"),
    ("write refused once", ["ok", "ok", "refused"], "accepted"),
    ("write lost before effect", ["ok", "ok", "down"], "accepted"),
    ("effect without answer", ["ok", "ok", "lost"], "accepted"),
    ("late effect", ["ok", "ok", "late"], "accepted"),
    (
        "effect without answer, stale read back",
        ["ok", "ok", "lost", "stale"],
        "accepted",
    ),
    (
        "effect, then unavailable",
        ["ok", "ok", "lost"] + ["down"] * 9,
        "unknown",
    ),
    ("unavailable at the write", ["ok", "ok"] + ["down"] * 9, "unknown"),
]


@pytest.mark.parametrize(
    "faults, expected",
    [row[1:] for row in FAULTS],
    ids=[row[0] for row in FAULTS],
)
async def test_acceptance_under_faults(monkeypatch, faults, expected):
    """The table is slow or unavailable, or its response is lost.

    If a wrong outcome is reported, the operator submits a note twice or
    relies on one that never took effect.
    """
    monkeypatch.setattr(acceptance, "RETRY_DELAY_S", 0)
    table = fakes.FakeTable()
    acceptor, instance_notes, _ = make_instance(table)
    table.faults = list(faults)
    note = team_note(0)
    verdict = await acceptor.accept(note)
    if expected == "unknown":
        assert verdict.failure.kind == kinds.Kind.NOTE_UNKNOWN
        table.faults = []
        verdict = await acceptor.accept(note)
    assert verdict == acceptance.Verdict(version=1)
    await instance_notes.catch_up()
    assert instance_notes.config.version == 1
    assert [key for key in table.rows if key.startswith(rows.NOTE_PREFIX)] == [
        rows.note_key(1)
    ]


async def test_conflict_reports_the_winner_and_the_differences():
    """Two operators write notes based on the same version.

    The operator of the rejected note needs to know whose note was accepted
    and where the two differ.
    """
    table = fakes.FakeTable()
    first, _, _ = make_instance(table)
    second, _, _ = make_instance(table)
    winner = team_note(0, rate=5, author="bia")
    loser = builders.note(
        0,
        author="ana",
        added={"teams": {"t1": {"rate": 7}, "t2": {"rate": 1}}},
    )
    assert (await first.accept(winner)).version == 1
    verdict = await second.accept(loser)
    assert verdict.failure.kind == kinds.Kind.NOTE_CONFLICT
    assert winner["id"] in verdict.failure.reason
    assert "bia" in verdict.failure.reason
    assert [tuple(item) for item in verdict.differences] == [
        ("teams/t1", "added", "added"),
        ("teams/t2", "added", "untouched"),
    ]


async def test_resubmitting_is_idempotent_after_later_notes():
    table = fakes.FakeTable()
    acceptor, instance_notes, _ = make_instance(table)
    note = team_note(0)
    await acceptor.accept(note)
    await acceptor.accept(team_note(1, "t2"))
    assert (await acceptor.accept(note)).version == 1
    assert (await acceptor.find_accepted(note["id"])).version == 1
    assert (await acceptor.find_accepted("none")) == acceptance.Verdict()
    other = {**team_note(2, "t9"), "id": note["id"]}
    verdict = await acceptor.accept(other)
    assert verdict.failure.kind == kinds.Kind.NOTE_CONFLICT
    assert "another content" in verdict.failure.reason
    assert instance_notes.config.version == 2


INVALID = [
    ({"added": {"teams": {"t1": {"rate": 1}}}}, "teams.t1"),
    ({"changed": {"teams": {"no": {"rate": 1}}}}, "teams.no"),
    ({"withdrawn": {"teams": ["no"]}}, "withdrawn.teams"),
    ({"withdrawn": {"services": ["encoder"]}}, "endpoints.encoder-1"),
    ({"withdrawn": {"regions": ["north"]}}, "endpoints.encoder-1"),
    (
        {
            "added": {
                "pipelines": {
                    "p": {
                        "deadline_ms": 1,
                        "stages": [{"name": "s", "service": "encoder"}],
                        "teams": ["no"],
                    }
                }
            }
        },
        "pipelines.p",
    ),
    (
        {
            "added": {
                "placements": {
                    "m": {
                        "model": "m",
                        "version": "1",
                        "replicas": {"no": 1},
                    }
                }
            }
        },
        "placements.m",
    ),
]


@pytest.mark.parametrize("operations, path", INVALID)
async def test_rejection_names_the_path_and_writes_nothing(operations, path):
    table = fakes.FakeTable()
    acceptor, instance_notes, _ = make_instance(table)
    spec = {"encoder-1": builders.endpoint_spec()}
    await acceptor.accept(builders.first_note(spec))
    await acceptor.accept(team_note(1))
    before = dict(table.rows)
    verdict = await acceptor.accept(builders.note(2, **operations))
    assert verdict.failure.kind == kinds.Kind.NOTE_INVALID
    assert path in verdict.failure.reason
    assert table.rows == before
    assert instance_notes.config.version == 2


async def test_withdrawing_an_assigned_team_is_rejected():
    table = fakes.FakeTable()
    acceptor, _, _ = make_instance(table)
    await acceptor.accept(builders.first_note({}))
    stages = [{"name": "s", "service": "encoder"}]
    spec = {"deadline_ms": 1, "stages": stages, "teams": ["ilha"]}
    await acceptor.accept(builders.note(1, added={"pipelines": {"p": spec}}))
    verdict = await acceptor.accept(
        builders.note(2, withdrawn={"teams": ["ilha"]})
    )
    assert verdict.failure.kind == kinds.Kind.NOTE_INVALID
    assert "pipelines.p" in verdict.failure.reason


def test_next_version_shares_untouched_sections():
    first = state.apply_note(state.EMPTY, builders.first_note({}))
    second = state.apply_note(first, team_note(1))
    assert second.endpoints is first.endpoints
    assert second.sections["pipelines"] is first.sections["pipelines"]
    assert second.sections["teams"] is not first.sections["teams"]
    assert "t1" not in first.sections["teams"]
