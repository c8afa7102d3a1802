import asyncio
import collections

import msgspec
import pytest

from sycamoreshed.engineload import collecting
from sycamoreshed.engineload import messages
from sycamoreshed.engineload import sharing
from sycamoreshed.engineload.tests import builders
from sycamoreshed.engineload import totals
from sycamoreshed.engineload import view as views
from sycamoreshed.membership import rendezvous
from testkit import virtualtime

SMALL = {"a": 3, "b": 3, "c": 3}
MIDDLE = dict.fromkeys("abcdef", 14)
LARGE = dict.fromkeys("abcdef", 32) | {"a": 35}
# After which all that ask know of a request.
KNOWN_S = 0.5
# After which counts of instances that are gone have ended everywhere.
FORGOTTEN_S = 2 * views.TTL_S


def play(scenario, sizes=SMALL):
    """Run a scenario with a network in simulated time."""

    async def main():
        async with builders.Network(sizes=sizes).running() as network:
            return await scenario(network)

    return virtualtime.run(main())


def ranked(zone, network):
    """Return the instances of a zone in the order in which they collect."""
    names = [name for name in network.instances if name.startswith(zone)]
    return rendezvous.top(f"engine load {zone}", names, len(names))


@pytest.mark.parametrize("sizes", [SMALL, MIDDLE, LARGE])
def test_all_instances_know_what_all_have(sizes):
    """Each instance placed requests as if it were alone."""

    async def scenario(network):
        begun = [each.start(2) for each in network.instances.values()]
        await asyncio.sleep(KNOWN_S)
        during = await network.known()
        for each, numbers in zip(
            network.instances.values(), begun, strict=True
        ):
            each.end(numbers)
        await asyncio.sleep(KNOWN_S)
        return during, await network.known()

    during, after = play(scenario, sizes)
    assert set(during.values()) == {2 * len(during)}
    assert set(after.values()) == {0}


@pytest.mark.parametrize("place", ["collector", "member"])
def test_counts_of_a_dead_instance_end(place):
    """Engines stayed full by requests of an instance that had died."""

    async def scenario(network):
        dying = ranked("a", network)[place == "member"]
        network.instances[dying].start(5)
        network.instances["b-1"].start(1)
        await asyncio.sleep(KNOWN_S)
        network.kill(dying)
        await asyncio.sleep(FORGOTTEN_S)
        return await network.known()

    assert set(play(scenario).values()) == {1}


@pytest.mark.parametrize("fault", ["dies", "freezes", "hears nobody", "mute"])
def test_zone_goes_on_without_its_collector(fault):
    """A zone knew of no other requests while its collector did not answer."""

    async def scenario(network):
        gone = ranked("a", network)[0]
        for each in network.instances.values():
            if each.name != gone:
                each.start(1)
        await asyncio.sleep(KNOWN_S)
        if fault == "dies":
            network.kill(gone)
        network.loses = {
            "dies": lambda _sender, _receiver: False,
            "freezes": lambda *pair: gone in pair,
            "hears nobody": lambda _sender, receiver: receiver == gone,
            "mute": lambda sender, _receiver: sender == gone,
        }[fault]
        await asyncio.sleep(FORGOTTEN_S)
        network.instances["b-0"].start(1)
        network.instances[next(iter(network.instances))].start(1)
        await asyncio.sleep(2 * KNOWN_S)
        known = await network.known()
        network.loses = lambda _sender, _receiver: False
        await asyncio.sleep(FORGOTTEN_S)
        known.pop(gone, None)
        return known, await network.known()

    during, after = play(scenario)
    assert set(during.values()) == {10}
    assert set(after.values()) == {10}


@pytest.mark.parametrize("turn", [1, 2])
def test_single_broken_link_to_the_collector_hides_nothing(turn):
    """An instance that missed its collector no longer knew of the others."""

    async def scenario(network):
        collector, *others = ranked("a", network)
        cut = others[turn - 1]
        network.loses = lambda *pair: set(pair) == {collector, cut}
        for each in network.instances.values():
            each.start(1)
        await asyncio.sleep(FORGOTTEN_S)
        return await network.known()

    assert set(play(scenario).values()) == {9}


def test_restarted_instance_replaces_its_counts_at_once():
    """Counts from before a restart stood beside those after it."""

    async def scenario(network):
        name = ranked("a", network)[1]
        network.instances[name].start(7)
        await asyncio.sleep(KNOWN_S)
        network.restart(name).start(2)
        await asyncio.sleep(KNOWN_S)
        return await network.known()

    assert set(play(scenario).values()) == {2}


@pytest.mark.parametrize("seed", [0, 1, 2, 3, 5, 19, 40])
def test_lost_messages_leave_no_wrong_counts(seed):
    """A lost message left a count wrong, or counts came back and grew."""
    rng = builders.requests(seed)

    async def scenario(network):
        highest = []
        for each in network.instances.values():
            each.start(1)
        for _ in range(30):
            cut = set(rng.sample(sorted(network.instances), 3))
            network.loses = lambda sender, receiver, cut=cut: (
                rng.random() < 0.2 or ((sender in cut) and receiver in cut)
            )
            await asyncio.sleep(0.4)
            highest += (await network.known()).values()
        network.loses = lambda _sender, _receiver: False
        await asyncio.sleep(FORGOTTEN_S)
        return max(highest), await network.known()

    highest, after = play(scenario)
    assert set(after.values()) == {9}
    assert highest <= 2 * 9


def test_request_waits_for_a_silent_collector_once():
    """Each request waited for an instance that did not answer."""

    async def scenario(network):
        clock = asyncio.get_running_loop().time
        each = network.instances["a-0"]
        network.loses = lambda _sender, _receiver: True
        waited = []
        for _ in range(20):
            started_at = clock()
            await each.sharing.refresh(started_at)
            waited.append(clock() - started_at)
            await asyncio.sleep(0.02)
        return waited, each.journal.names()

    waited, names = play(scenario, {"a": 40})
    assert max(waited) <= sharing.TIMEOUT_S + 0.001
    assert sum(waited) <= sharing.TIMEOUT_S * 1.01
    assert "engine_load_lost" in names


@pytest.mark.parametrize("sizes", [MIDDLE, LARGE])
def test_messages_grow_with_the_instances(sizes):
    """Telling counts cost messages in the square of the instances."""
    size = sum(sizes.values())
    seconds = 4.0

    async def scenario(network):
        await network.serve(
            rate=1.8 * size,
            seconds=seconds,
            lasts_s=1.0,
            rng=builders.requests(1),
        )
        per_collector = collections.Counter(
            receiver
            for _, receiver, counts in network.delivered
            if not counts.is_total
        )
        sent_totals = sum(
            counts.is_total for _, _, counts in network.delivered
        )
        return network.sent, sent_totals, max(per_collector.values())

    sent, sent_totals, most = play(scenario, sizes)
    zones = len(sizes)
    # For a request: two before and after it is placed, and two later on.
    assert sent - sent_totals <= 4 * 1.8 * size * seconds + zones
    assert most <= collecting.MAX_SYNCS_PER_S * seconds + (
        collecting.BURST_SYNCS
    )
    rounds = seconds / totals.REMOTE_INTERVAL_S + 1
    assert sent_totals <= zones * (zones - 1) * rounds


def test_idle_instances_send_nothing():
    """Deployments without engines paid for messages."""

    async def scenario(network):
        numbers = network.instances["a-1"].start()
        await asyncio.sleep(1.0)
        network.instances["a-1"].end(numbers)
        await asyncio.sleep(FORGOTTEN_S)
        before = network.sent
        await asyncio.sleep(60.0)
        return network.sent - before

    assert play(scenario) == 0


def test_speeds_reach_all_zones_without_the_own_ones():
    """An instance learnt of an engine's speed only from its own requests."""

    async def scenario(network):
        for each in network.instances.values():
            each.start(1)
        network.instances["a-0"].speeds.own = {"e1@7": (0.4, 2.0)}
        network.instances["a-1"].speeds.own = {"e1@7": (0.2, 2.0)}
        await asyncio.sleep(3.0)
        return {
            name: collecting.pool(each.speeds.told.values())
            for name, each in network.instances.items()
        }

    told = play(scenario)
    assert told.pop("a-0") == {"e1@7": (0.2, 2.0)}
    assert told.pop("a-1") == {"e1@7": (0.4, 2.0)}
    assert all(each == {"e1@7": (0.3, 4.0)} for each in told.values())


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"{",
        b'["x"]',
        b'["x", "a", 1, 1, {"e1@7": [-1, 0, 0]}]',
        b'["x", "a", 1, 1, {"e1@7": [99999999, 0, 0]}]',
        b'["x", "a", 1, 1, {"e1@7": [1, 0, 0]}, {"e1@7": [0.1, -4]}]',
        b'["x", "a", 1, 1, {"e1@7": [1, 0, 0]}, {"e1@7": [1e300, 4]}]',
        b'["x", "a", 1, 1, {%s}]'
        % b",".join(b'"e%d": [1, 0, 0]' % n for n in range(5000)),
    ],
)
def test_message_that_is_not_valid_is_ignored(raw):
    """A message of another build, or with nonsense, became a load."""

    async def scenario(network):
        each = network.instances["a-0"]
        replies = [each.sharing.receive(raw) for _ in range(50)]
        return replies, each.journal.names(), await network.known()

    replies, names, known = play(scenario)
    assert replies == [None] * 50
    assert names == ["engine_load_bad"]
    assert set(known.values()) == {0}


@pytest.mark.parametrize(
    "body",
    [
        None,
        [{}, True, -1.0, 0.0],
        [{}, True, 0.0, 1e9],
        [{"e1@7": [1, 0, -5]}, True, 0.0, 0.0],
    ],
)
def test_reply_that_is_not_valid_is_refused(body):
    """A reply of another build stopped an instance from reporting."""
    with pytest.raises(msgspec.ValidationError):
        messages.decode_reply(body)


def test_message_that_comes_late_is_ignored():
    """An older message that came late took back what a newer one told."""
    first = b'["x", "a", 1, 1, {"e1@7": [1, 0, 0]}]'
    second = b'["x", "a", 1, 2, {"e1@7": [2, 0, 0]}]'

    async def scenario(network):
        each = network.instances[ranked("a", network)[0]]
        for raw in (second, first):
            each.sharing.receive(raw)
        return (await network.known())[each.name]

    assert play(scenario) == 2
