import asyncio

import pytest

from sycamoreshed.findings import exchange
from sycamoreshed.findings.tests import builders
from testkit import virtualtime

# The large deployment: 195 instances in six zones.
LARGE = dict.fromkeys("abcdef", 32) | {"a": 35}
SMALL = {"a": 3, "b": 3, "c": 3}
# In which everybody in touch has to know a finding.
KNOWN_S = 4.0


def run(scenario):
    """Run a scenario in virtual time."""
    return virtualtime.run(scenario())


@pytest.mark.parametrize("sizes", [SMALL, LARGE])
def test_finding_reaches_all_instances_for_one_message_each(sizes):
    """Learning of a crash cost messages in the square of the instances."""

    async def scenario():
        clock = asyncio.get_running_loop().time
        network = builders.Network(sizes=sizes)
        await asyncio.sleep(2.0)
        before = network.messages
        network.instances["b-1"].add(builders.PASSING, "k", 1, now=clock())
        await asyncio.sleep(0.3)
        known = network.knowing(builders.PASSING, "k", now=clock())
        sent = network.messages - before
        await network.stop()
        return known, sent, len(network.instances)

    known, sent, size = run(scenario)
    assert len(known) == size
    # One for each, a second one for zones, and the comparisons meanwhile.
    comparisons = 0.3 / exchange.COMPARE_INTERVAL_S * size * 2
    assert sent <= size + len(sizes) + comparisons


def test_many_reports_of_one_crash_are_relayed_together():
    """Reports of one crash by many instances multiplied the messages."""

    async def scenario():
        clock = asyncio.get_running_loop().time
        network = builders.Network(sizes=LARGE)
        await asyncio.sleep(2.0)
        before = network.messages
        reporters = list(network.instances.values())[::10]
        for number, each in enumerate(reporters):
            each.add(builders.PASSING, f"k{number % 8}", 1, now=clock())
        await asyncio.sleep(0.3)
        sent = network.messages - before
        await network.stop()
        return sent, len(reporters), len(network.instances)

    sent, reporters, size = run(scenario)
    comparisons = 0.3 / exchange.COMPARE_INTERVAL_S * size * 2
    # Each reporter tells six zones, and each zone relays a few batches.
    assert sent <= reporters * len(LARGE) + 3 * size + comparisons


@pytest.mark.parametrize("sizes", [SMALL, LARGE])
def test_dead_instance_does_not_keep_its_zone_from_knowing(sizes):
    """The instance that tells its zone of a crash was down."""

    async def scenario():
        clock = asyncio.get_running_loop().time
        network = builders.Network(sizes=sizes)
        await asyncio.sleep(2.0)
        network.cut = {f"{zone}-{n}" for zone in sizes for n in (0, 2)}
        network.instances["b-1"].add(builders.PASSING, "k", 1, now=clock())
        await asyncio.sleep(KNOWN_S)
        known = network.knowing(builders.PASSING, "k", now=clock())
        await network.stop()
        return known | network.cut, set(network.instances)

    known, everybody = run(scenario)
    assert known == everybody


def test_zone_that_was_cut_off_knows_after_the_cut():
    """A zone went on with what it knew before it was cut off."""

    async def scenario():
        clock = asyncio.get_running_loop().time
        network = builders.Network(sizes=SMALL)
        await asyncio.sleep(2.0)
        network.cut = {"a"}
        finder = network.instances["b-1"]
        finder.add(builders.PASSING, "k", 1, now=clock())
        await asyncio.sleep(10.0)
        during = network.knowing(builders.PASSING, "k", now=clock())
        network.cut = set()
        # Addresses that failed are avoided for a while.
        await asyncio.sleep(15.0)
        after = network.knowing(builders.PASSING, "k", now=clock())
        await network.stop()
        return during, after, finder.saved

    during, after, saved = run(scenario)
    assert len(during) == 6
    assert len(after) == 9
    # The store may reach the zone where the instances do not.
    assert [each.key for each in saved] == ["k"]


def test_durable_finding_is_stored_at_once():
    """A rejection was forgotten when all instances started again."""

    async def scenario():
        network = builders.Network(sizes=SMALL)
        finder = network.instances["b-1"]
        finder.add(builders.LASTING, "k", 1, now=0.0)
        await network.stop()
        return finder.saved

    assert [each.key for each in run(scenario)] == ["k"]


def test_instance_that_starts_learns_what_others_know():
    """An instance forgot what it knew of a request when it started again."""

    async def scenario():
        clock = asyncio.get_running_loop().time
        network = builders.Network(sizes=SMALL)
        await asyncio.sleep(2.0)
        network.instances["b-1"].add(builders.LASTING, "k", 1, now=clock())
        await asyncio.sleep(1.0)
        network.restart("a-1")
        await asyncio.sleep(1.0)
        known = network.knowing(builders.LASTING, "k", now=clock())
        await network.stop()
        return known

    assert "a-1" in run(scenario)


def test_instance_that_is_slow_to_answer_keeps_its_work():
    """An instance that missed a comparison no longer worked for its zone."""

    async def scenario():
        clock = asyncio.get_running_loop().time
        network = builders.Network(sizes=SMALL)
        network.cut = {"a-0"}
        each = network.instances["a-1"]
        each.add(builders.PASSING, "k", 1, now=clock())
        was_available = []
        for _ in range(100):
            await asyncio.sleep(0.1)
            was_available.append("a-0" in each.peers.of_zone("a", clock()))
        await network.stop()
        return was_available

    assert all(run(scenario))
