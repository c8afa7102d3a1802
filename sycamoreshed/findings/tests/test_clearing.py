import asyncio
import random

from sycamoreshed.catalog import types
from sycamoreshed.findings import blame
from sycamoreshed.findings import board
from sycamoreshed.findings import clearing
from sycamoreshed.findings import crashes
from sycamoreshed.findings import partblame
from testkit import journals
from testkit import virtualtime

INSTANCES = 410
# Until a finding reaches all instances, with several instances in a row.
REACH_S = 0.06
MAX_TELLERS = 8


class Fleet:
    """Instances that all know of answers to requests with one part."""

    def __init__(self, *, seed):
        self.clock = asyncio.get_running_loop().time
        self._tasks = set()
        self.told = []
        self.boards = [board.Board() for _ in range(INSTANCES)]
        self.records = [
            crashes.CrashRecords(
                board=each, instance=f"i{number}", journal=journals.Journal()
            )
            for number, each in enumerate(self.boards)
        ]
        self.clearings = [
            clearing.Clearing(
                records=each,
                own=f"i{number}",
                publish=self._publish,
                instance_count=lambda: INSTANCES,
                clock=self.clock,
                unix_ms=lambda: int(self.clock() * 1000),
                rng=random.Random(f"{seed} {number}"),
            )
            for number, each in enumerate(self.records)
        ]

    def crash(self, number):
        """Have all instances learn of a crash; wake their clearing."""
        endpoint = types.Endpoint(f"e{number}", "s", "", "north-a", 4)
        suspect = blame.Suspect(f"r{number}/common", 0.1)
        now = self.clock()
        finding = self.records[0].record_crash(
            endpoint, [suspect], now=now, unix_ms=int(now * 1000)
        )
        for each in self.boards[1:]:
            each.merge([finding], now)
        for each in self.clearings:
            each.wake()

    def answer(self):
        """Have an endpoint answer a request of each instance."""
        for each in self.records:
            each.record_sound("sound/common", self.clock())

    def is_rejected(self):
        """Return whether any instance rejects requests with the part."""
        now = self.clock()
        return any(e.is_rejected("new/common", now) for e in self.records)

    def _publish(self, *findings):
        if findings:
            self.told.append(self.clock())
            self._tasks.add(asyncio.create_task(self._deliver(findings)))

    async def _deliver(self, findings):
        await asyncio.sleep(REACH_S)
        for each in self.boards:
            each.merge(findings, self.clock())


def test_few_instances_tell_of_a_part_that_all_know():
    """All 410 instances told each other of the first part of all prompts."""

    async def scenario(seed):
        fleet = Fleet(seed=seed)
        tasks = [asyncio.create_task(e.run()) for e in fleet.clearings]
        tellers = []
        for number in range(3 * partblame.REJECT_AFTER):
            fleet.crash(number)
            await asyncio.sleep(0.3)
            fleet.answer()
            assert not fleet.is_rejected()
            tellers.append(len(fleet.told))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return tellers[-1]

    told = [virtualtime.run(scenario(seed)) for seed in range(3)]
    assert max(told) <= MAX_TELLERS * 3 * partblame.REJECT_AFTER


def test_rejected_part_is_cleared_while_another_one_is_suspected():
    """A part stayed rejected as long as another one was suspected."""

    async def scenario():
        fleet = Fleet(seed=1)
        records, clearer = fleet.records[0], fleet.clearings[0]
        task = asyncio.create_task(clearer.run())
        for number in range(partblame.REJECT_AFTER):
            fleet.crash(number)
            await asyncio.sleep(1.0)
        for number in range(2):
            suspects = [blame.Suspect(f"s{number}/rare", 0.1)]
            endpoint = types.Endpoint(f"s{number}", "s", "", "north-a", 4)
            now = fleet.clock()
            records.record_crash(
                endpoint, suspects, now=now, unix_ms=int(now * 1000)
            )
            await asyncio.sleep(1.0)
        now = fleet.clock()
        assert records.is_rejected("new/common", now)
        records.record_rejection(
            "new/common", now=now, unix_ms=int(now * 1000)
        )
        assert records.suspected_parts(now) == {"part:rare"}
        clearer.wake()
        await asyncio.sleep(2.0)
        records.record_sound("probe/common", fleet.clock())
        clearer.wake()
        await asyncio.sleep(2.0)
        assert not records.is_rejected("new/common", fleet.clock())
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    virtualtime.run(scenario())
