import asyncio

import pytest

from sycamoreshed.catalog import types
from sycamoreshed.findings import board
from sycamoreshed.findings import crashes as crash_records
from sycamoreshed.forwarding import crashes
from testkit import journals

ENDPOINT = types.Endpoint("e", "desk", "127.0.0.1:9", "north-a", 4)


class Detector:
    """A detector, and the findings that it published."""

    def __init__(
        self,
        *,
        listed=ENDPOINT,
        refuses=True,
        reaches_others=True,
        is_overloaded=False,
    ):
        self.published = []
        self._refuses = refuses
        self._is_linked = reaches_others
        self.records = crash_records.CrashRecords(
            board=board.Board(), instance="i", journal=journals.Journal()
        )
        self.detector = crashes.CrashDetector(
            records=self.records,
            publish=lambda *findings: self.published.extend(findings),
            clearing=None,
            find_endpoint=lambda _id: listed,
            probe=self._probe,
            reaches_others=self._reaches_others,
            is_overloaded=lambda _endpoint, _now: is_overloaded,
            spawn=lambda call, name: asyncio.create_task(call, name=name),
            journal=journals.Journal(),
            clock=lambda: 5.0,
            unix_ms=lambda: 5000,
        )

    async def _probe(self, _address, _timeout_s):
        await asyncio.sleep(0)
        return crashes.Probe(self._refuses, "as the test says")

    async def _reaches_others(self, _endpoint):
        return self._is_linked

    async def break_off(self, *fingerprints):
        """Break off calls, of which the first one notices it first."""
        numbers = [
            self.detector.record_start(ENDPOINT, each) for each in fingerprints
        ]
        for number in numbers:
            self.detector.record_break(ENDPOINT)
            self.detector.record_end(ENDPOINT, number)
        await self.detector.settle(ENDPOINT)


async def test_all_requests_in_flight_are_suspects_of_one_crash():
    """Of two requests at an endpoint only one was suspected."""
    played = Detector()
    await played.break_off("a", "b")
    (finding,) = played.published
    assert [each.fingerprint for each in finding.value["suspects"]] == [
        "a",
        "b",
    ]
    assert played.detector.is_suspect("a", 5.0)


@pytest.mark.parametrize(
    "played",
    [
        {"refuses": False},
        {"reaches_others": False},
        {"is_overloaded": True},
        {"listed": None},
        {"listed": ENDPOINT._replace(is_draining=True)},
    ],
)
async def test_endpoint_that_did_not_crash_has_no_suspects(played):
    """Requests were suspected because of a lost answer, stop, cut or load."""
    made = Detector(**played)
    await made.break_off("a")
    assert not made.published
    assert not made.detector.is_suspect("a", 5.0)


async def test_rejection_is_published_once():
    """Each repetition of a rejected request was told to all instances."""
    played = Detector()
    for number in range(3):
        endpoint = ENDPOINT._replace(id=f"e{number}")
        call = played.detector.record_start(endpoint, "a")
        played.detector.record_break(endpoint)
        await played.detector.settle(endpoint)
        played.detector.record_end(endpoint, call)
    assert played.detector.is_rejected("a", 5.0)
    assert played.detector.retry_after_s("a", 5.0) > 60.0
    assert played.detector.retry_after_s("a", 5.0) > 60.0
    made = [each for each in played.published if each is not None]
    assert [each.topic for each in made] == 3 * ["crash"] + ["rejection"]


async def test_host_that_refuses_connections_has_no_endpoint():
    """A crashed endpoint counted as one that merely lost an answer."""
    server = await asyncio.start_server(lambda _r, w: w.close(), "127.0.0.1")
    port = server.sockets[0].getsockname()[1]
    assert not (await crashes.probe(f"127.0.0.1:{port}", 1.0)).is_refused
    server.close()
    await server.wait_closed()
    assert (await crashes.probe(f"127.0.0.1:{port}", 1.0)).is_refused
