"""Tests of keys whose records the table service may have lost."""

import asyncio

import pytest

from sycamoreshed.adapters import positions
from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import decide
from sycamoreshed.idempotency import losses
from sycamoreshed.idempotency import rewriting
from testkit import virtualtime

UNIX_S = 1_700_000_000.0
UNDATED = "vote-7"
NOT_RUN, BEGUN, DONE = (
    decide.State.NOT_RUN,
    decide.State.BEGUN,
    decide.State.DONE,
)


def dated(unix_s):
    """Return a key that was made at a Unix time."""
    text = f"{int(unix_s * 1000):012x}"
    return f"{text[:8]}-{text[8:]}-774b-bcce-b302099a8057"


class Table:
    """One row, kept over a change of era or not, and its listeners."""

    def __init__(self, *, era=3):
        self.era = era
        self.value = None
        self.version = 0
        self._listeners = []

    def on_restored(self, func):
        """Register a listener."""
        self._listeners.append(func)

    def restore(self):
        """Come back from a copy."""
        self.era += 1
        for func in self._listeners:
            func()

    async def read(self, key):
        """Read the row."""
        position = positions.Position(self.era, self.version)
        return tables.Row(key, self.value, positions.pack(position))

    async def write(self, write):
        """Write the row if its version is that expected."""
        row = await self.read(write.key)
        if row.version != write.if_version:
            return tables.Conflict((row,))
        self.value, self.version = write.value, self.version + 1
        row = await self.read(write.key)
        return tables.Written((row.version,))


class Instance:
    """An instance that asks about keys, on the clock of the loop."""

    def __init__(self, table):
        self._clock = asyncio.get_running_loop().time
        self.losses = losses.Losses(
            table=table,
            clock=self._clock,
            unix_time=self.unix_time,
            spawn=lambda coro, name: asyncio.ensure_future(coro),
        )

    def unix_time(self):
        """Return the Unix time."""
        return UNIX_S + self._clock()

    def kind(self, key, repeat=None):
        """Return the kind of failure for a key without a record, or None."""
        failure = self.losses.check(
            key, repeat, self._clock(), self.unix_time()
        )
        return failure and failure.kind


def run(scenario):
    """Run a scenario on a table and an instance that has loaded its era."""

    async def play():
        table = Table()
        instance = Instance(table)
        await instance.losses.load()
        return await scenario(table, instance)

    return virtualtime.run(play())


@pytest.mark.parametrize("repeat", [None, True, False])
@pytest.mark.parametrize("key", [UNDATED, dated(UNIX_S)])
def test_any_key_may_be_claimed_before_a_loss(key, repeat):
    async def scenario(_table, instance):
        return instance.kind(key, repeat)

    assert run(scenario) is None


@pytest.mark.parametrize("repeat", [None, True, False])
@pytest.mark.parametrize("made_s", [-9.0, 99.0])
def test_no_key_is_claimed_while_records_are_written_again(made_s, repeat):
    """A vote whose record another instance has yet to write would run."""

    async def scenario(table, instance):
        table.restore()
        await asyncio.sleep(losses.REWRITE_S - 0.1)
        return instance.kind(dated(UNIX_S + made_s), repeat)

    assert run(scenario) is kinds.Kind.STORE_AWAY


@pytest.mark.parametrize(
    ("key", "repeat", "after_s", "kind"),
    [
        (dated(UNIX_S + 1), None, 9.0, kinds.Kind.OUTCOME_UNKNOWN),
        (dated(UNIX_S + 1), True, 9000.0, kinds.Kind.OUTCOME_UNKNOWN),
        (dated(UNIX_S + 1), False, 9.0, None),
        (dated(UNIX_S + 3), None, 9.0, None),
        (UNDATED, None, 9.0, kinds.Kind.OUTCOME_UNKNOWN),
        (UNDATED, False, 9.0, None),
        (UNDATED, None, losses.UNDATED_S + 1, None),
    ],
)
def test_key_that_may_have_lost_its_record_is_not_claimed(
    key, repeat, after_s, kind
):
    """A vote that ran would run again, as its instance is gone as well."""

    async def scenario(table, instance):
        await asyncio.sleep(2.0)
        table.restore()
        await asyncio.sleep(after_s)
        return instance.kind(key, repeat)

    assert run(scenario) is kind


def test_instance_that_starts_later_knows_when_the_era_began():
    """It would claim keys whose records were lost before it started."""

    async def scenario(table, _instance):
        await asyncio.sleep(2.0)
        table.restore()
        await asyncio.sleep(60.0)
        later = Instance(table)
        before_load = later.kind(dated(UNIX_S + 50))
        await later.losses.load()
        return (
            before_load,
            later.kind(dated(UNIX_S + 1)),
            later.kind(dated(UNIX_S + 50)),
        )

    assert run(scenario) == (
        kinds.Kind.STORE_AWAY,
        kinds.Kind.OUTCOME_UNKNOWN,
        None,
    )


def test_era_that_changed_while_nobody_ran_counts_from_the_start():
    """All instances were down; the row is that of the copy."""

    async def scenario(table, _instance):
        table.era += 1
        later = Instance(table)
        await asyncio.sleep(30.0)
        await later.losses.load()
        early = later.kind(dated(UNIX_S + 99))
        await asyncio.sleep(losses.REWRITE_S)
        return early, later.kind(dated(UNIX_S + 29))

    assert run(scenario) == (
        kinds.Kind.STORE_AWAY,
        kinds.Kind.OUTCOME_UNKNOWN,
    )


@pytest.mark.parametrize("value", [7, {"era": "x"}, {}])
def test_row_that_cannot_be_read_is_written_again(value):
    """No ballot would ever be taken by an instance that starts."""

    async def scenario(table, _instance):
        table.value = value
        later = Instance(table)
        await later.losses.load()
        await asyncio.sleep(losses.REWRITE_S)
        return later.kind(dated(UNIX_S + 99)), table.value["era"]

    assert run(scenario) == (None, 3)


def test_two_losses_in_a_row_count_from_the_later():
    """A key made between the two would be claimed."""

    async def scenario(table, instance):
        table.restore()
        await asyncio.sleep(20.0)
        table.restore()
        await asyncio.sleep(20.0)
        return instance.kind(dated(UNIX_S + 10))

    assert run(scenario) is kinds.Kind.OUTCOME_UNKNOWN


def record(state, attempt="a"):
    """Return a record of an attempt."""
    return {"state": state, "attempt": attempt}


@pytest.mark.parametrize(
    ("row", "written", "step"),
    [
        (None, BEGUN, decide.Step.CLAIM_AGAIN),
        (None, NOT_RUN, decide.Step.CLAIM_AGAIN),
        (record(BEGUN), DONE, decide.Step.CLAIM_AGAIN),
        (record(BEGUN), NOT_RUN, decide.Step.CLAIM_AGAIN),
        (record(BEGUN), BEGUN, decide.Step.REFUSE),
        (record(DONE), DONE, decide.Step.REFUSE),
        (record(DONE), BEGUN, decide.Step.REFUSE),
        (record(NOT_RUN, "b"), DONE, decide.Step.CLAIM_AGAIN),
        (record(NOT_RUN, "b"), BEGUN, decide.Step.CLAIM_AGAIN),
        (record(NOT_RUN, "b"), NOT_RUN, decide.Step.REFUSE),
        (record(BEGUN, "b"), DONE, decide.Step.TRY_AGAIN),
        (record(BEGUN, "b"), NOT_RUN, decide.Step.REFUSE),
        (record(DONE, "b"), DONE, decide.Step.REFUSE),
    ],
)
def test_lost_record_is_written_over_what_is_older(row, written, step):
    """An answer would be replaced by one that had not been recorded."""
    current = tables.Row("k", row, 7)
    assert decide.after_loss(current, record(written)) is step


def test_recent_records_are_bounded(monkeypatch):
    """Records of all votes would stay in memory."""
    monkeypatch.setattr(rewriting, "MAX_RECORDS", 2)
    recent = rewriting.RecentRecords()
    for number in range(4):
        recent.add(f"k{number}", record(DONE), number, now=float(number))
    assert set(recent.of_earlier_eras(1, now=3.0)) == {"k2", "k3"}
    over = 3.0 + rewriting.REMEMBERED_S
    recent.add("new", record(DONE), 9, now=over)
    assert set(recent.of_earlier_eras(1, now=over)) == {"new"}


@pytest.mark.parametrize(
    ("era", "reads"), [(4, 1), (3, 0), (2, 0), ("4", 0), (None, 0)]
)
def test_instance_asks_the_table_once_it_hears_of_an_era(era, reads):
    """One without requests would write its records again too late."""

    async def scenario(table, instance):
        asked = []
        table.read = lambda key: asyncio.sleep(0, asked.append(key))
        instance.losses.hear(era)
        await asyncio.sleep(1.0)
        return len(asked)

    assert run(scenario) == reads
