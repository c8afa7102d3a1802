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

CHAIN = [
    rows.Accepted(note=test_acceptance.team_note(n, f"t{n}"), at=0.0)
    for n in range(8)
]
VERSIONS = [state.EMPTY]
for _item in CHAIN:
    VERSIONS.append(state.apply_note(VERSIONS[-1], _item["note"]))

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["note", "config", "peer"]), st.integers(1, len(CHAIN))
    )
)


def through_parts(config):
    """Return a configuration after its way through encoded parts."""
    parts = []
    for number in range(state.count_parts(config)):
        raw = msgspec.json.encode(state.document_part(config, number))
        parts.append(state.check_part(msgspec.json.decode(raw)))
    return state.join_parts(parts)


def fresh_notes():
    return notes.Notes(table=None, snapshots=None)


@settings(derandomize=True)
@given(EVENTS)
def test_version_only_goes_up_and_content_follows_it(events):
    """Old and new versions come from peers and the table in any order.

    Going back would undo what an operator decided, without a word.
    """
    held = fresh_notes()
    for what, version in events:
        before = held.config.version
        if what == "note":
            held.advance(version, CHAIN[version - 1])
        elif what == "config":
            held.replace(VERSIONS[version])
        else:
            other = fresh_notes()
            other.replace(VERSIONS[version])
            body = other.updates_since(before)
            if "notes" not in body:
                held.replace(through_parts(other.config))
        assert held.config.version >= before
        assert held.config == VERSIONS[held.config.version]


def test_a_peer_gets_the_notes_it_lacks_or_all_of_it():
    held = fresh_notes()
    for version, item in enumerate(CHAIN, 1):
        held.advance(version, item)
    assert held.updates_since(5) == {"version": 8, "notes": CHAIN[5:]}
    assert held.updates_since(8) == {"version": 8, "notes": []}
    loaded = fresh_notes()
    loaded.replace(VERSIONS[8])
    assert loaded.updates_since(5) == {"version": 8}


@pytest.mark.parametrize("teams, count", [(0, 1), (3992, 1), (3993, 2)])
def test_parts_joined_are_the_whole(teams, count):
    added = {"teams": {f"n{i}": {"rate": i + 1} for i in range(teams)}}
    config = state.apply_note(VERSIONS[8], builders.note(8, added=added))
    assert state.count_parts(config) == count
    assert through_parts(config) == config


def test_ready_only_when_settled_and_with_a_configuration():
    held = fresh_notes()
    assert not held.is_ready
    held.replace(VERSIONS[1])
    assert not held.is_ready
    held.settle()
    assert held.is_ready
    empty = fresh_notes()
    empty.settle()
    assert not empty.is_ready


async def accept_many(count, table, objects, monkeypatch):
    monkeypatch.setattr(snapshots, "EVERY", 5)
    monkeypatch.setattr(snapshots, "MOST_SNAPSHOTS", 3)
    acceptor, held, store = test_acceptance.instance(table, objects)
    for base in range(count):
        note = test_acceptance.team_note(base, f"t{base}")
        assert (await acceptor.accept(note)).version == base + 1
        await store.maybe_store(held.config)
    return acceptor, held, store


async def test_snapshots_deltas_and_bounded_sweep(monkeypatch):
    table, objects = fakes.FakeTable(), fakes.FakeObjects()
    _, held, store = await accept_many(32, table, objects, monkeypatch)
    assert sorted(objects.held) == [
        rows.object_name(item, 0) for item in (20, 25, 30)
    ]
    deltas = [key for key in table.rows if key.startswith(rows.PREFIX)]
    assert min(deltas) == rows.note_key(21)
    _, starter, _ = test_acceptance.instance(table, objects)
    assert await starter.load() is None
    assert starter.config == held.config
    past = history.History(table=table, snapshots=store, notes=held)
    for version in (20, 23, 30, 31, 32):
        config = await past.config_at(version)
        assert config.version == version
        assert len(config.sections["teams"]) == version
    swept = await past.config_at(7)
    assert swept.kind == kinds.Kind.NOTE_INVALID
    latest = await past.latest(2)
    assert [item["version"] for item in latest] == [31, 32]


async def test_a_follower_behind_the_sweep_takes_the_snapshot(monkeypatch):
    """A zone rejoins after so long that the notes it lacks are swept.

    Reading on from the first note that is left would skip some.
    """
    table, objects = fakes.FakeTable(), fakes.FakeObjects()
    _, behind, _ = test_acceptance.instance(table, objects)
    _, held, _ = await accept_many(32, table, objects, monkeypatch)
    objects.away = True
    await behind.follow()
    assert behind.config.version == 0
    objects.away = False
    assert await behind.follow() is None
    assert behind.config == held.config


@pytest.mark.parametrize("objects_away, pointer", [(True, 0), (False, 1)])
async def test_pointer_is_raised_only_over_a_stored_object(
    monkeypatch, objects_away, pointer
):
    monkeypatch.setattr(snapshots, "EVERY", 1)
    table, objects = fakes.FakeTable(), fakes.FakeObjects()
    acceptor, held, store = test_acceptance.instance(table, objects)
    objects.away = objects_away
    await acceptor.accept(builders.first_note({}))
    assert await store.maybe_store(held.config) is not objects_away
    assert (rows.POINTER in table.rows) == bool(pointer)


@pytest.mark.parametrize("same", [False, True])
async def test_two_instances_store_at_once_and_one_snapshot_is_left(
    monkeypatch, same
):
    """Two instances accept notes at the same time and both store.

    What no pointer names would stay in the object store for ever; what
    it names must not be deleted by the one that came second.
    """
    monkeypatch.setattr(snapshots, "EVERY", 1)
    table, objects = fakes.FakeTable(), fakes.FakeObjects()
    acceptor, held, store = test_acceptance.instance(table, objects)
    _, _, other = test_acceptance.instance(table, objects)
    await acceptor.accept(test_acceptance.team_note(0))
    early = held.config
    await acceptor.accept(test_acceptance.team_note(1, "t2"))
    put = objects.put

    async def slow_put(name, value):
        objects.put = put
        assert await store.maybe_store(held.config)
        return await put(name, value)

    objects.put = slow_put
    assert not await other.maybe_store(held.config if same else early)
    assert list(objects.held) == [rows.object_name(2, 0)]
    assert table.rows[rows.POINTER][0] == {"versions": [2]}
