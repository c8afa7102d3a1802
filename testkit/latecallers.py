"""Callers that send requests to instances that stop.

``python -m testkit.latecallers --seeds 1..20`` plays many of them and prints
what came of the requests.
"""

import asyncio
import collections
import contextlib
import itertools
import math
import pathlib
import random
import tempfile
import time
import typing

import cyclopts

from standins import platformstore
from testkit import gateways
from testkit import plannedengines
from testkit import wiredata

__all__ = [
    "HISTORIES",
    "KINDS",
    "Plan",
    "Report",
    "SCENARIOS",
    "Sent",
    "play",
    "report",
    "violations",
]

# Of the trial whose times are scaled to other grace periods.
GRACE_S = 8.0
WINDOW_S = 3.4
# The load balancer sends no new connections later than this after SIGTERM.
BALANCED_S = 3.0
TARGET_S = 1.7
TIMEOUT_S = 15.0
MEDIAN_S = 2.6
LONGEST_S = 6.5
SHORT_MEDIAN_S = 0.4
SIGMA = 0.5
TOKENS_PER_S = 40
CONNECT_TIMEOUT_S = 5.0
READ_BYTES = 16384
READ_PAUSE_S = 0.05
BODY_BYTES = 20000
# What is sent so soon after SIGTERM, and is not long, can be served.
EARLY_S = 0.5
AGAIN = "-again"
BODY_PARTS = 10
# Requests that cross the end of a process may be lost with it.
CROSSING_S = 0.1
LAG_POLL_S = 0.02

KINDS = {
    "safe": {"route_kind": "safe"},
    "unsafe": {"route_kind": "unsafe"},
    "stream": {"route_kind": "streaming"},
    "resumable": {"route_kind": "streaming", "resumable": True},
}
# Number of requests before the stop, and the median of their durations.
HISTORIES = {
    "nothing": (0, 0.0),
    "40 short": (40, SHORT_MEDIAN_S),
    "2 short": (2, SHORT_MEDIAN_S),
    "2 long": (2, MEDIAN_S),
    "40 long": (40, MEDIAN_S),
}


class Plan(typing.NamedTuple):
    """What is played.

    Parameters
    ----------
    seed : int
    kind : str
        One of `KINDS`.
    history : str
        One of `HISTORIES`.
    is_open : bool
        Whether connections are opened before the stop.
    has_usage : bool
        Whether requests tell their length.
    grace_s : float
    callers : int
    faults : sequence of str
        Each affects every fourth request.
    upload_s : float
        How long every other body takes to arrive; inf if it never ends.
    answer_bytes : int
        Additional ones, which callers read slowly.
    stages : bool
    refusing : int
        Endpoints that refuse connections.
    engine_slots : int
        Requests that an engine runs at the same time; 0 for a service
        without a limit.
    is_store_away : bool
        Whether the store answers no more from the first SIGTERM on.
    signals : int
        Further SIGTERMs.
    instances : int
        How many instances stop in turn; callers go on to the next one once.
    lead_s : float
        How long before the stop callers begin to send.
    """

    seed: int
    kind: str = "safe"
    history: str = "nothing"
    is_open: bool = False
    has_usage: bool = False
    grace_s: float = GRACE_S
    callers: int = 68
    faults: tuple = ()
    upload_s: float = 0.0
    answer_bytes: int = 0
    stages: bool = False
    refusing: int = 0
    engine_slots: int = 0
    is_store_away: bool = False
    signals: int = 0
    instances: int = 1
    lead_s: float = 0.0

    @property
    def scale(self):
        """Share of the times of the trial."""
        return self.grace_s / GRACE_S

    @property
    def is_stream(self):
        """Whether answers are streams."""
        return KINDS[self.kind]["route_kind"] == "streaming"

    def __str__(self):
        changed = [
            f"{name}={value}"
            for name, value in self._asdict().items()
            if value != self._field_defaults.get(name)
            or name in ("kind", "history")
        ]
        return " ".join(changed)


_FAULTS = plannedengines.Fault
_BREAKS = (_FAULTS.BREAK, _FAULTS.RESET)
SCENARIOS = {
    "trial": {},
    "stages": {"stages": True},
    "queue": {"engine_slots": 8},
    "break": {"faults": (_FAULTS.BREAK,)},
    "reset": {"faults": (_FAULTS.RESET,)},
    "not-run": {"faults": (_FAULTS.NOT_RUN,)},
    "all-faults": {
        "faults": (_FAULTS.RESET, _FAULTS.NOT_RUN),
        "refusing": 1,
    },
    "refused": {"refusing": 2},
    "slow-upload": {"upload_s": 2.0},
    "endless-upload": {"upload_s": math.inf},
    "slow-reader": {"answer_bytes": 400_000},
    "grace-1": {"grace_s": 1.0},
    "grace-2": {"grace_s": 2.0},
    "grace-4": {"grace_s": 4.0},
    "grace-30": {"grace_s": 30.0},
    "store-away": {"is_store_away": True},
    "second-signal": {"signals": 2},
    "three-instances": {"instances": 3},
    "in-flight": {"lead_s": 3.4, "callers": 136},
    "in-flight-stages": {"lead_s": 3.4, "callers": 136, "stages": True},
    "in-flight-break": {
        "lead_s": 3.4,
        "callers": 136,
        "faults": (_FAULTS.BREAK, _FAULTS.NOT_RUN),
    },
}


class Call(typing.NamedTuple):
    """A request that a caller is to send; times count from the first stop.

    Parameters
    ----------
    request : str
    at : float
    upload_s : float
    """

    request: str
    at: float
    upload_s: float = 0.0


class Sent(typing.NamedTuple):
    """What came of a request that was sent to an instance.

    Parameters
    ----------
    request : str
    instance : int
    whole_at : float or None
        Monotonic time when its last byte was sent.
    ended_at : float
    status : int or None
        None if the connection ended without a whole answer.
    is_begun : bool
        Whether the head of an answer came.
    is_connected : bool
    is_right : bool
        Whether a success has the body that the endpoint sent.
    """

    request: str
    instance: int
    whole_at: float | None
    ended_at: float
    status: int | None
    is_begun: bool = False
    is_connected: bool = True
    is_right: bool = True


class Stop(typing.NamedTuple):
    """How an instance stopped; monotonic times."""

    began_at: float
    ended_at: float
    status: int | None


class Play(typing.NamedTuple):
    """What was played.

    Parameters
    ----------
    plan : Plan
    sent : list of Sent
    stops : dict of int to Stop
        By the numbers of instances.
    answers, runs : dict
        See `plannedengines.Engines`.
    lag_s : float
        For how long the player itself stood still.
    """

    plan: Plan
    sent: list
    stops: dict
    answers: dict
    runs: dict
    lag_s: float = 0.0


_FORBIDDEN = (
    "late_cut",
    "unanswered",
    "wrong",
    "untrue_503",
    "twice",
    "killed",
    "bad_exits",
)


class Report(typing.NamedTuple):
    """Counts of what came of requests; see `report`."""

    late_cut: int = 0
    early_cut: int = 0
    rejected: int = 0
    in_time: int = 0
    served_in_time: int = 0
    early: int = 0
    served_early: int = 0
    served: int = 0
    failed: int = 0
    broken: int = 0
    unanswered: int = 0
    unread: int = 0
    wrong: int = 0
    untrue_503: int = 0
    twice: int = 0
    killed: int = 0
    bad_exits: int = 0


def report(played):
    """Return the `Report` of a play.

    Notes
    -----
    Cut is what an endpoint got and whose connection ended without a whole
    answer; it is broken if the only endpoint that got it ended it.
    Unanswered is the same of what no endpoint got, unless it was not read, or
    was sent shortly before the process ended.  In time are those of the first
    3 s, or their share of the grace period, whose answer would have ended
    within it.  Early ones are those of the first moments that are not long.
    """
    plan = played.plan
    early_s = BALANCED_S * min(1.0, plan.scale)
    counts = collections.Counter()
    for each in played.sent:
        stop = played.stops[each.instance]
        answer = played.answers[each.request]
        runs = played.runs.get(each.request, [])
        is_run = any(run.is_run for run in runs)
        counts["wrong"] += not each.is_right
        counts["untrue_503"] += each.status == 503 and is_run
        if plan.kind in ("unsafe", "stream"):
            counts["twice"] += sum(run.is_run for run in runs) > 1
        if each.whole_at is None:
            continue
        sent_s = each.whole_at - stop.began_at
        takes_s = answer.seconds + answer.stage_s
        is_in_time = (
            sent_s <= early_s
            and sent_s + takes_s <= plan.grace_s
            and not answer.fault
        )
        counts["in_time"] += is_in_time
        # Callers whose first attempt an instance has rejected come back.
        is_early = (
            is_in_time
            and not each.request.endswith(AGAIN)
            and sent_s <= EARLY_S * plan.scale
            and takes_s <= MEDIAN_S * plan.scale
        )
        counts["early"] += is_early
        if each.status == 200:
            counts["served"] += 1
            counts["served_early"] += is_early
            counts["served_in_time"] += is_in_time
        elif each.status == 503:
            counts["rejected"] += 1
        elif each.status is not None:
            counts["failed"] += 1
        elif runs and len(runs) == 1 and answer.fault in _BREAKS:
            counts["broken"] += 1
        elif runs:
            counts["late_cut" if sent_s > early_s else "early_cut"] += 1
        elif not each.is_connected:
            counts["unread"] += 1
        elif each.whole_at > stop.ended_at - CROSSING_S:
            counts["unread"] += 1
        else:
            counts["unanswered"] += 1
    for stop in played.stops.values():
        counts["killed"] += stop.status is None
        counts["bad_exits"] += stop.status not in (None, 0)
    return Report(**counts)


def violations(found):
    """Return the counts of a `Report` that must be zero, if they are not."""
    counts = {name: getattr(found, name) for name in _FORBIDDEN}
    counts["early ones not served"] = found.early - found.served_early
    return {name: count for name, count in counts.items() if count}


class _Player:
    def __init__(self, *, plan, instances, engines, store):
        self._plan = plan
        self._instances = instances
        self._engines = engines
        self._store = store
        self._rng = random.Random(plan.seed)
        self._opened = {}
        self.sent = []
        self.stops = {}
        self.lag_s = 0.0

    def _duration(self, median_s):
        seconds = self._rng.lognormvariate(math.log(median_s), SIGMA)
        return min(seconds, LONGEST_S) * self._plan.scale

    def _plan_answer(self, request, median_s, fault=None):
        plan = self._plan
        stage_s = self._duration(median_s) / 2 if plan.stages else 0.0
        seconds = self._duration(median_s)
        self._engines.answers[request] = plannedengines.Answer(
            seconds=seconds - stage_s if seconds > stage_s else seconds,
            is_stream=plan.is_stream,
            fault=fault,
            size=self._size(seconds),
            stage_s=stage_s,
        )

    def _size(self, seconds):
        if not self._plan.is_stream:
            return self._plan.answer_bytes
        events = plannedengines.Answer(seconds, True).events
        return self._plan.answer_bytes // events

    async def learn(self):
        """Send the requests that come before the stop."""
        count, median_s = HISTORIES[self._plan.history]
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                request = f"before-{number}"
                self._plan_answer(request, median_s)
                for instance in range(len(self._instances)):
                    call = Call(request, 0.0)
                    group.create_task(self._send(call, instance))

    async def run(self):
        """Stop the instances while callers send requests."""
        plan = self._plan
        window_s = plan.instances * WINDOW_S + plan.lead_s
        window_s *= plan.scale
        calls = [
            self._make_call(number, window_s * number / plan.callers)
            for number in range(plan.callers)
        ]
        if plan.is_open:
            for number, call in enumerate(calls):
                instance = number % plan.instances
                self._opened[call.request] = await self._connect(instance)
        began_at = time.monotonic()
        watching = asyncio.create_task(self._watch_lag())
        async with asyncio.TaskGroup() as group:
            for number in range(len(self._instances)):
                group.create_task(self._stop(number))
            for call in calls:
                group.create_task(self._call(call, began_at))
        watching.cancel()

    async def _watch_lag(self):
        while True:
            began_at = time.monotonic()
            await asyncio.sleep(LAG_POLL_S)
            lag_s = time.monotonic() - began_at - LAG_POLL_S
            self.lag_s = max(self.lag_s, lag_s)

    def _make_call(self, number, at):
        request = f"r-{number}"
        plan = self._plan
        fault = None
        if plan.faults and number % 4 == 0:
            fault = plan.faults[number // 4 % len(plan.faults)]
        self._plan_answer(request, MEDIAN_S, fault)
        upload_s = plan.upload_s * plan.scale if number % 2 else 0.0
        return Call(request, at, upload_s)

    async def _stop(self, number):
        plan = self._plan
        begins_s = plan.lead_s + number * WINDOW_S / 2
        await asyncio.sleep(begins_s * plan.scale)
        process = self._instances[number].process
        stopped_at = time.monotonic()
        process.terminate()
        if plan.is_store_away and not number:
            self._store.mood = platformstore.Mood(silent=True)
        signalling = asyncio.create_task(self._signal_again(process))
        status = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time()
                + plan.grace_s
                - (time.monotonic() - stopped_at)
            ):
                status = await process.wait()
        ended_at = time.monotonic()
        signalling.cancel()
        self.stops[number] = Stop(stopped_at, ended_at, status)
        await self._instances[number].kill()

    async def _signal_again(self, process):
        for _ in range(self._plan.signals):
            await asyncio.sleep(
                self._rng.uniform(0.0, 0.4 * self._plan.grace_s)
            )
            if process.returncode is None:
                process.terminate()

    async def _call(self, call, began_at):
        await asyncio.sleep(began_at + call.at - time.monotonic())
        count = len(self._instances)
        number = int(call.request.partition("-")[2])
        first = await self._send(call, number % count)
        if count == 1 or first.status != 503:
            return
        again = call._replace(request=call.request + AGAIN)
        answer = self._engines.answers[call.request]
        self._engines.answers[again.request] = answer
        await self._send(again, (number + 1) % count)

    async def _connect(self, instance):
        host, _, port = self._instances[instance].public.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await asyncio.open_connection(
                    host, int(port), limit=READ_BYTES
                )
        except (OSError, TimeoutError):
            return None

    async def _send(self, call, instance):
        connection = self._opened.pop(call.request, None)
        if connection is None:
            connection = await self._connect(instance)
        if connection is None:
            now = time.monotonic()
            sent = Sent(
                call.request, instance, now, now, None, is_connected=False
            )
        else:
            sent = await self._exchange(call, instance, *connection)
        self.sent.append(sent)
        return sent

    async def _exchange(self, call, instance, reader, writer):
        sending = asyncio.create_task(self._write(call, writer))
        raw = bytearray()
        try:
            await self._read(reader, raw)
        except OSError:
            # The connection was reset; what came is in `raw`.
            pass
        ended_at = time.monotonic()
        whole_at = None
        if sending.done() and not sending.cancelled():
            whole_at = sending.result()
        sending.cancel()
        writer.transport.abort()
        status, body = _parse(bytes(raw))
        answer = self._engines.answers[call.request]
        return Sent(
            call.request,
            instance,
            whole_at,
            ended_at,
            status,
            is_begun=b"\r\n\r\n" in raw,
            is_right=status != 200 or body == answer.body(call.request),
        )

    async def _write(self, call, writer):
        """Send a request; return when its last byte was sent, or None."""
        head = wiredata.head(
            call.request, deadline_ms=str(int(1000 * self._timeout_s))
        )
        head["Content-Length"] = str(BODY_BYTES if call.upload_s else 0)
        head["Connection"] = "close"
        if self._plan.stages:
            head["X-Sycamoreshed-Pieces"] = "1"
            head["X-Sycamoreshed-Piece-Key"] = "k"
        if self._plan.has_usage:
            seconds = self._engines.answers[call.request].seconds
            tokens = 1 + int(TOKENS_PER_S * seconds / self._plan.scale)
            head["X-Sycamoreshed-Token-Usage"] = f"100,{tokens}"
        lines = [f"{name}: {value}\r\n" for name, value in head.items()]
        text = "".join(["POST /lookup/1 HTTP/1.1\r\n", *lines, "\r\n"])
        try:
            writer.write(text.encode())
            await writer.drain()
            if call.upload_s == math.inf:
                writer.write(b"x")
                return None
            if call.upload_s:
                for _ in range(BODY_PARTS):
                    await asyncio.sleep(call.upload_s / BODY_PARTS)
                    writer.write(b"x" * (BODY_BYTES // BODY_PARTS))
                    await writer.drain()
        except OSError:
            return None
        return time.monotonic()

    @property
    def _timeout_s(self):
        return TIMEOUT_S * max(1.0, self._plan.scale)

    async def _read(self, reader, raw):
        while data := await reader.read(READ_BYTES):
            raw += data
            if self._plan.answer_bytes:
                await asyncio.sleep(READ_PAUSE_S)


def _parse(raw):
    """Return status and body of an answer, None if it is not whole."""
    head, is_begun, rest = raw.partition(b"\r\n\r\n")
    if not is_begun:
        return None, b""
    status = int(head.split(b" ")[1])
    fields = head.lower()
    if b"transfer-encoding: chunked" not in fields:
        size = int(fields.partition(b"content-length:")[2].split()[0])
        return (status if len(rest) >= size else None), rest[:size]
    body = bytearray()
    at = 0
    while True:
        end = rest.find(b"\r\n", at)
        if end < 0:
            return None, bytes(body)
        size = int(rest[at:end], 16)
        if not size:
            return status, bytes(body)
        if len(rest) < end + size + 4:
            return None, bytes(body)
        body += rest[end + 2 : end + 2 + size]
        at = end + size + 4


def configuration(plan):
    """Return the configuration of a play."""
    scale = plan.scale
    route = wiredata.route(
        timeout_ms=int(1000 * TIMEOUT_S * max(1.0, scale)),
        target_latency_ms=int(1000 * TARGET_S * scale),
        itl_target_ms=2000,
        **KINDS[plan.kind],
    )
    service = wiredata.service(max_connections=1000)
    services = [service]
    if plan.stages:
        route["stages"] = [
            {"service": "first", "after": [], "size_bytes": 8000}
        ]
        services.append(
            wiredata.piece_service(
                "first",
                slots=100,
                queue=100,
                batch=1,
                call_ms=1000 * MEDIAN_S / 2 * scale,
            )
        )
    if plan.engine_slots:
        service["engine"] = {
            "slots": plan.engine_slots,
            "kv_capacity": 900_000,
        }
    return wiredata.configuration(2, routes=[route], services=services)


async def play(plan, folder, *, program=gateways.PROGRAM):
    """Play a plan with real instances; return the `Play`.

    Parameters
    ----------
    plan : Plan
    folder : pathlib.Path
        For settings and logs.
    program : sequence of str, optional
        Command that runs an instance.
    """
    store = platformstore.PlatformStore()
    await store.start()
    store.put("op", "config", configuration(plan))
    documents = [
        {
            "instance": f"edge-{number}",
            "table": store.address,
            "grace_s": plan.grace_s,
        }
        for number in range(plan.instances)
    ]
    try:
        async with (
            plannedengines.Engines(
                store=store, stages=plan.stages, refusing=plan.refusing
            ) as engines,
            gateways.gateways(folder, documents, program=program) as instances,
        ):
            for instance in instances:
                await instance.wait_ready()
            player = _Player(
                plan=plan, instances=instances, engines=engines, store=store
            )
            await player.learn()
            player.sent.clear()
            await player.run()
            return Play(
                plan,
                player.sent,
                player.stops,
                engines.answers,
                engines.runs,
                player.lag_s,
            )
    finally:
        store.mood = platformstore.Mood()
        await store.stop()


app = cyclopts.App(name="latecallers", help=__doc__)


def _numbers(text):
    first, _, last = text.partition("..")
    return range(int(first), int(last or first) + 1)


def _plans(seeds, scenario, kind, history):
    for seed, name, each_kind, before in itertools.product(
        seeds, scenario, kind or KINDS, history
    ):
        plan = Plan(seed, each_kind, before, seed % 2 == 0, **SCENARIOS[name])
        yield name, plan
        if name == "trial" and plan.is_stream:
            yield name, plan._replace(has_usage=True)


async def _play_all(plans, jobs, tree, keep):
    program = gateways.PROGRAM
    if tree is not None:
        program = ("env", "-C", str(tree.resolve()), *program)
    slots = asyncio.Semaphore(jobs)
    results = []

    async def run(name, plan):
        async with slots:
            folder = pathlib.Path(tempfile.mkdtemp(dir=keep))
            played = await play(plan, folder, program=program)
            found = report(played)
            (folder / "sent.txt").write_text(_describe(played))
            bad = violations(found)
            print(
                f"{name}: {plan}: served {found.served} "
                f"({found.served_in_time} of {found.in_time} in time), "
                f"rejected {found.rejected}, cut {found.early_cut}, "
                f"failed {found.failed}, "
                f"{bad or 'nothing bad'} "
                f"[{folder.name}, lag {played.lag_s:.3f} s]",
                flush=True,
            )
            results.append((name, plan, found))

    async with asyncio.TaskGroup() as group:
        for name, plan in plans:
            group.create_task(run(name, plan))
    return results


def _describe(played):
    """Return a line for each request, with times since the stop."""
    lines = []
    for each in sorted(played.sent, key=lambda each: each.ended_at):
        began_at = played.stops[each.instance].began_at
        arrivals = [
            (run.endpoint, round(run.at - began_at, 3), run.is_run)
            for run in played.runs.get(each.request, ())
        ]
        whole_at = each.whole_at and round(each.whole_at - began_at, 3)
        lines.append(
            f"{each.request} instance={each.instance} whole={whole_at} "
            f"ended={each.ended_at - began_at:.3f} status={each.status} "
            f"begun={each.is_begun} right={each.is_right} "
            f"connected={each.is_connected} runs={arrivals} "
            f"{played.answers[each.request]}"
        )
    for number, stop in played.stops.items():
        took_s = stop.ended_at - stop.began_at
        lines.append(f"instance {number}: {stop.status} after {took_s:.3f} s")
    return "\n".join(lines)


def _print_table(results):
    rows = collections.defaultdict(list)
    for name, plan, found in results:
        key = (name, plan.history, plan.kind, plan.has_usage)
        rows[key].append(found)
    print("scenario | history | kind | plays |", " | ".join(Report._fields))
    for key, each in sorted(rows.items()):
        name, history, kind, has_usage = key
        sums = [sum(values) for values in zip(*each, strict=True)]
        kind += " with usage" if has_usage else ""
        cells = [name, history, kind, len(each), *sums]
        print(" | ".join(str(cell) for cell in cells))


@app.default
def main(
    *,
    seeds: str = "1..1",
    scenario: tuple[str, ...] = ("trial",),
    kind: tuple[str, ...] = (),
    history: tuple[str, ...] = tuple(HISTORIES),
    jobs: int = 4,
    tree: pathlib.Path | None = None,
    keep: pathlib.Path | None = None,
):
    """Play stops and print what came of the requests.

    Parameters
    ----------
    seeds
        Two numbers, as in 1..20, or one.
    scenario
        Of `SCENARIOS`; may be repeated, as kind and history.
    jobs
        Plays at the same time.
    tree
        Folder of the sources of the instances, if not the current one.
    keep
        Folder in which settings and logs are kept.
    """
    keep = (keep or pathlib.Path(tempfile.mkdtemp())).resolve()
    keep.mkdir(parents=True, exist_ok=True)
    plans = list(_plans(_numbers(seeds), scenario, kind, history))
    results = asyncio.run(_play_all(plans, jobs, tree, keep))
    _print_table(results)


if __name__ == "__main__":
    app()
