from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from sycamoreshed.config import state
from sycamoreshed.errors import kinds
from sycamoreshed.notes import history
from sycamoreshed.notes import notes
from sycamoreshed.notes import rows
from sycamoreshed.notes import snapshots
from sycamoreshed.notes.tests import fakes
from sycamoreshed.notes.tests import test_acceptance
from testkit import builders

ACCEPTED_NOTES = [
    rows.AcceptedNote(note=test_acceptance.team_note(n, f"t{n}"), at=0.0)
    for n in range(8)
]
CONFIGS = [state.EMPTY]
for _item in ACCEPTED_NOTES:
    CONFIGS.append(state.apply_note(CONFIGS[-1], _item["note"]))

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["note", "config", "peer"]),
        st.integers(1, len(ACCEPTED_NOTES)),
    )
)


def round_trip(config):
    """Encode a configuration in parts, decode them and join them."""
    parts = []
    for number in range(state.count_parts(config)):
        raw = msgspec.json.encode(state.document_part(config, number))
        parts.append(state.check_part(msgspec.json.decode(raw)))
    return state.join_parts(parts)


def empty_notes():
    return notes.Notes(table=None, snapshots=None)


@settings(derandomize=True)
@given(EVENTS)
def test_version_never_decreases_and_content_matches_it(events):
    """Versions arrive from peers and the table in any order.

    Going back to an older one would silently revert an accepted note.
    """
    instance_notes = empty_notes()
    for kind, version in events:
        before = instance_notes.config.version
        if kind == "note":
            instance_notes.advance(version, ACCEPTED_NOTES[version - 1])
        elif kind == "config":
            instance_notes.replace(CONFIGS[version])
        else:
            other = empty_notes()
            other.replace(CONFIGS[version])
            body = other.updates_since(before)
            if "notes" not in body:
                instance_notes.replace(round_trip(other.config))
        assert instance_notes.config.version >= before
        assert instance_notes.config == CONFIGS[instance_notes.config.version]


def test_peer_gets_missing_notes_or_must_fetch_everything():
    instance_notes = empty_notes()
    for version, item in enumerate(ACCEPTED_NOTES, 1):
        instance_notes.advance(version, item)
    assert instance_notes.updates_since(5) == {
        "version": 8,
        "notes": ACCEPTED_NOTES[5:],
    }
    assert instance_notes.updates_since(8) == {"version": 8, "notes": []}
    loaded = empty_notes()
    loaded.replace(CONFIGS[8])
    assert loaded.updates_since(5) == {"version": 8}


# CONFIGS[8] has 8 teams; a part holds 4,000.
@pytest.mark.parametrize("teams, count", [(0, 1), (3992, 1), (3993, 2)])
def test_joined_parts_equal_the_configuration(teams, count):
    added = {"teams": {f"n{i}": {"rate": i + 1} for i in range(teams)}}
    config = state.apply_note(CONFIGS[8], builders.note(8, added=added))
    assert state.count_parts(config) == count
    assert round_trip(config) == config


def test_ready_only_when_synced_and_with_a_configuration():
    instance_notes = empty_notes()
    assert not instance_notes.is_ready
    instance_notes.replace(CONFIGS[1])
    assert not instance_notes.is_ready
    instance_notes.mark_synced()
    assert instance_notes.is_ready
    empty = empty_notes()
    empty.mark_synced()
    assert not empty.is_ready


async def accept_many(count, table, objects, monkeypatch):
    monkeypatch.setattr(snapshots, "SNAPSHOT_INTERVAL", 5)
    monkeypatch.setattr(snapshots, "MAX_SNAPSHOTS", 3)
    acceptor, instance_notes, instance_snapshots = (
        test_acceptance.make_instance(table, objects)
    )
    for base in range(count):
        note = test_acceptance.team_note(base, f"t{base}")
        assert (await acceptor.accept(note)).version == base + 1
        await instance_snapshots.maybe_store(instance_notes.config)
    return acceptor, instance_notes, instance_snapshots


async def test_snapshots_and_deletion_of_old_notes(monkeypatch):
    table, objects = fakes.FakeTable(), fakes.FakeObjects()
    _, instance_notes, instance_snapshots = await accept_many(
        32, table, objects, monkeypatch
    )
    assert sorted(objects.stored) == [
        rows.object_name(item, 0) for item in (20, 25, 30)
    ]
    note_keys = [key for key in table.rows if key.startswith(rows.NOTE_PREFIX)]
    assert min(note_keys) == rows.note_key(21)
    _, started, _ = test_acceptance.make_instance(table, objects)
    assert await started.load() is None
    assert started.config == instance_notes.config
    past = history.History(
        table=table, snapshots=instance_snapshots, notes=instance_notes
    )
    for version in (20, 23, 30, 31, 32):
        config = await past.config_at(version)
        assert config.version == version
        assert len(config.sections["teams"]) == version
    deleted = await past.config_at(7)
    assert deleted.kind == kinds.Kind.NOTE_INVALID
    latest = await past.latest(2)
    assert [item["version"] for item in latest] == [31, 32]


async def test_catch_up_after_deleted_notes_loads_a_snapshot(monkeypatch):
    """A zone rejoins after the notes that it lacks were deleted.

    Continuing with the first remaining note would skip the deleted ones.
    """
    table, objects = fakes.FakeTable(), fakes.FakeObjects()
    _, behind, _ = test_acceptance.make_instance(table, objects)
    _, instance_notes, _ = await accept_many(32, table, objects, monkeypatch)
    objects.is_unavailable = True
    await behind.catch_up()
    assert behind.config.version == 0
    objects.is_unavailable = False
    assert await behind.catch_up() is None
    assert behind.config == instance_notes.config


@pytest.mark.parametrize(
    "is_unavailable, has_manifest", [(True, 0), (False, 1)]
)
async def test_manifest_is_written_only_after_the_object(
    monkeypatch, is_unavailable, has_manifest
):
    monkeypatch.setattr(snapshots, "SNAPSHOT_INTERVAL", 1)
    table, objects = fakes.FakeTable(), fakes.FakeObjects()
    acceptor, instance_notes, instance_snapshots = (
        test_acceptance.make_instance(table, objects)
    )
    objects.is_unavailable = is_unavailable
    await acceptor.accept(builders.first_note({}))
    assert (
        await instance_snapshots.maybe_store(instance_notes.config)
        is not is_unavailable
    )
    assert (rows.MANIFEST_KEY in table.rows) == bool(has_manifest)


@pytest.mark.parametrize("same_version", [False, True])
async def test_concurrent_stores_leave_one_snapshot(monkeypatch, same_version):
    """Two instances accept notes at the same time and both store snapshots.

    A snapshot that the manifest does not list would stay in the object
    store forever; one that it lists must not be deleted by the instance
    that lost the race.
    """
    monkeypatch.setattr(snapshots, "SNAPSHOT_INTERVAL", 1)
    table, objects = fakes.FakeTable(), fakes.FakeObjects()
    acceptor, instance_notes, instance_snapshots = (
        test_acceptance.make_instance(table, objects)
    )
    _, _, other = test_acceptance.make_instance(table, objects)
    await acceptor.accept(test_acceptance.team_note(0))
    early = instance_notes.config
    await acceptor.accept(test_acceptance.team_note(1, "t2"))
    put = objects.put

    async def slow_put(name, value):
        objects.put = put
        assert await instance_snapshots.maybe_store(instance_notes.config)
        return await put(name, value)

    objects.put = slow_put
    assert not await other.maybe_store(
        instance_notes.config if same_version else early
    )
    assert list(objects.stored) == [rows.object_name(2, 0)]
    assert table.rows[rows.MANIFEST_KEY][0] == {"versions": [2]}
