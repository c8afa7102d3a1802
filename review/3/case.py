"""Engines spoil a few events of streams, and go on."""

import asyncio
import itertools
import pathlib
import random

import aiohttp

from review.kit import cases
from review.kit import deployments
from review.kit import engines
from review.kit import requesters

CALM_S = 2.0
# Those of `dossie-festival`.
ROUTE = {
    "resumable": False,
    "max_attempts": 1,
    "timeout_ms": 6000,
    "target_latency_ms": 1300,
    "itl_target_ms": 400,
}
DEADLINE_S = 6.0
ENGINES = 5
SPOILING_ENGINES = 3
EVENTS = 6
EVENT_GAP_S = 0.01
STREAMS = 200
# One in so many answers of some engines.
SPOILT_EVERY = 25
FIRST_SPOILT = 24
SPOILT_EVENT = 3
# Wrong bytes: a run of one digit in the place of an event's number.
WRONG = "9" * 5000


class SpoilingEngine(engines.Engine):
    """An engine that sends wrong bytes within some of its answers."""

    spoils = False

    def event(self, number):
        """Return an event, which may be spoilt."""
        is_spoilt = len(self.runs) % SPOILT_EVERY == FIRST_SPOILT
        if number != SPOILT_EVENT or not self.spoils or not is_spoilt:
            return super().event(number)
        self._record.write(f"engine {self.name} spoils event {number}")
        return f"id: {WRONG}\ndata: {self.version} {number}\n\n"


async def send(address, head, record):
    """Send one request; return what is wrong with the answer, or None.

    Reads the bytes of the answer without an HTTP library.
    """
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    fields = "".join(f"{name}: {head[name]}\r\n" for name in head)
    request = f"POST {deployments.PREFIX}12 HTTP/1.1\r\n{fields}"
    body = b"prompt of " + head["X-Sycamoreshed-Request-Id"].encode()
    writer.write(f"{request}Content-Length: {len(body)}\r\n\r\n".encode())
    writer.write(body)
    try:
        async with asyncio.timeout(DEADLINE_S + 2.0):
            raw = await reader.readuntil(b"\r\n\r\n")
            lines = raw.decode().lower().split("\r\n")
            if "transfer-encoding: chunked" not in lines:
                record.write(f"{lines[0]!r}")
                return None
            return await _read_chunks(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        # Closed within the answer, which the requester notices.
        return None
    finally:
        writer.transport.abort()


async def _read_chunks(reader):
    while True:
        line = await reader.readuntil(b"\r\n")
        try:
            size = int(line, 16)
        except ValueError:
            rest = await reader.read(300)
            return f"{line + rest!r} where a chunk is due"
        await reader.readexactly(size + len(b"\r\n"))
        if not size:
            return None


async def play(folder, record):
    """Play the case; return whether the rule was broken."""
    deployment = deployments.Deployment(folder)
    running = []
    numbers = itertools.count()
    async with aiohttp.ClientSession() as session:
        try:
            await deployment.start()
            deployment.store.put(
                "op", "config", deployments.configuration(**ROUTE)
            )
            zones = itertools.cycle(deployments.REGIONS)
            for number in range(ENGINES):
                engine = SpoilingEngine(
                    store=deployment.store,
                    name=f"i-{number}",
                    record=record,
                    service=deployments.SERVICE,
                    zone=next(zones),
                    events=EVENTS,
                    gap_s=EVENT_GAP_S,
                )
                engine.spoils = cases.HAS_TROUBLE and number < SPOILING_ENGINES
                running.append(engine)
                await engine.start()
            await deployment.wait_known(session)
            await asyncio.sleep(CALM_S)
            callers = requesters.Requesters(
                deployment=deployment,
                session=session,
                record=record,
                deadline_s=DEADLINE_S,
            )

            async def run():
                request = f"s-{next(numbers):03}"
                name = random.choice(list(deployment.zones))
                record.write(f"{request} sent to {name}")
                wrong = await send(
                    deployment.running[name].public,
                    callers.head(request, DEADLINE_S),
                    record,
                )
                if wrong is not None:
                    record.write(f"{request} got {wrong}")
                return wrong is not None

            results = []
            for _ in range(STREAMS):
                results.append(await run())
        finally:
            for engine in running:
                await engine.stop()
            await deployment.stop()
    record.write(
        f"{sum(results)} of {len(results)} answers hold bytes that are no "
        "answer in the protocol; 0 are allowed"
    )
    return any(results)


if __name__ == "__main__":
    cases.run(play, pathlib.Path(__file__).resolve().parent)
