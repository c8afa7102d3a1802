"""Stand-ins for pooled endpoints, such as encoders, and plain services."""

import asyncio
import collections
import time

from aiohttp import web

from standins import registry

__all__ = ["PlainService", "Pool", "identity"]


def identity(body):
    """Return the three fields that match an answer to its call."""
    return {name: body[name] for name in ("request", "stage", "attempt")}


class Pool:
    """Answers a call with its payload and the name of the stage.

    Parameters
    ----------
    faults : Faults
    slots : int
        Maximum concurrent calls; others wait.
    seconds : float
        Duration of one call.
    """

    def __init__(self, *, faults, slots, seconds):
        self._faults = faults
        self._slots = asyncio.Semaphore(slots)
        self._call_s = seconds
        self._last_answer = None
        self.served = 0
        self.cancelled = set()

    def routes(self):
        """Return the routes of the endpoint."""
        return [
            web.post("/call", self.call),
            web.post("/cancel", self.cancel),
            web.get("/load", self.load),
            web.get("/counts", self.counts),
        ]

    async def call(self, http):
        """Serve one call."""
        body = await http.json()
        async with self._slots:
            seconds = self._duration_of(body["payload"])
            await asyncio.sleep(seconds * self._faults.slow)
        self.served += 1
        answer = {**identity(body), "output": self.output(body)}
        answer, self._last_answer = self._apply_identity_faults(answer), answer
        return web.json_response(answer)

    def output(self, body):
        """Return the output of a call."""
        return {"stage": body["stage"], "of": body["payload"]}

    async def cancel(self, http):
        """Record a cancelled attempt."""
        body = await http.json()
        self.cancelled.add(body["attempt"])
        return web.json_response({"cancelled": True})

    async def load(self, _http):
        """Report the load."""
        return web.json_response({"served": self.served})

    async def counts(self, _http):
        """Report the calls served and cancelled, for tests."""
        return web.json_response(
            {"served": self.served, "cancelled": len(self.cancelled)}
        )

    def _duration_of(self, payload):
        # Lets a caller set the duration of a call, so that it can subtract
        # it from the measured latency.
        if isinstance(payload, dict) and "take_s" in payload:
            return payload["take_s"]
        return self._call_s

    def _apply_identity_faults(self, answer):
        if self._faults.occurs(self._faults.spec.get("other_attempt", 0.0)):
            return {**answer, "attempt": "given up"}
        share = self._faults.spec.get("swap", 0.0)
        if self._last_answer is not None and self._faults.occurs(share):
            return self._last_answer
        return answer


class PlainService(Pool):
    """Counts executions by idempotency key; the outcome can be looked up."""

    def __init__(self, *, faults, slots, seconds):
        super().__init__(faults=faults, slots=slots, seconds=seconds)
        self._runs = collections.Counter()
        self._outputs = {}
        self._log = []

    def routes(self):
        """Return the routes of the endpoint."""
        return [
            *super().routes(),
            web.post("/lookup", self.look_up),
            web.get("/runs", self.runs),
            web.get("/log", self.log),
        ]

    def output(self, body):
        """Execute the call and return its output."""
        key = body.get("key")
        if key is None:
            return super().output(body)
        self._runs[key] += 1
        run = {name: body[name] for name in ("key", "request", "attempt")}
        self._log.append({**run, "at": time.time()})
        output = {"recorded": key, "run": self._runs[key]}
        self._outputs[key] = output
        return output

    async def look_up(self, http):
        """Answer with the outcome recorded for a key."""
        body = await http.json()
        key = body["key"]
        if key not in self._runs:
            return web.json_response({"state": "never"})
        return web.json_response(
            {"state": "ran", "output": self._outputs[key]}
        )

    async def runs(self, _http):
        """Report the number of executions of each key."""
        return web.json_response(self._runs)

    async def log(self, _http):
        """Report each execution: its key, request, attempt and time."""
        return web.json_response(self._log)


@registry.KINDS.register("pool")
def pool(spec, faults):
    """Create one endpoint of a pool."""
    return Pool(
        faults=faults,
        slots=spec.get("slots", 8),
        seconds=spec.get("seconds", 0.002),
    )


@registry.KINDS.register("plain")
def plain(spec, faults):
    """Create one endpoint of a plain service."""
    return PlainService(
        faults=faults,
        slots=spec.get("slots", 8),
        seconds=spec.get("seconds", 0.002),
    )
