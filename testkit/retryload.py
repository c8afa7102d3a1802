"""Load on endpoints that spoil requests, and counts of what arrives there."""

import asyncio
import collections
import contextlib
import itertools
import random
import time

import aiohttp

from standins import scripted
from testkit import arrivals
from testkit import wiredata

__all__ = ["ANSWERS", "Load", "Spoiler"]

NOT_RUN = {"X-Sycamoreshed-Not-Executed": "1"}
SEAL = {"X-Sycamoreshed-Response-Seal": "proof"}
# What an endpoint does with a request that it spoils.
ANSWERS = {
    "closed": (),
    "full": (scripted.answer(503, **NOT_RUN),),
    "misdirected": (scripted.answer(421, **NOT_RUN),),
}
TIMEOUT_S = 4.0


class Spoiler:
    """Endpoints that spoil a share of the requests that they read.

    Parameters
    ----------
    steps : tuple
        Script of an endpoint that spoils a request.
    share : float
        In which the spoilt requests are drawn with equal chances.
    seed : int

    Attributes
    ----------
    arrivals : list of (float, str)
        Monotonic times and ids of the requests.
    """

    def __init__(self, *, steps, share, seed=1):
        self._steps = steps
        self._share = share
        self._rng = random.Random(seed)
        self.arrivals = []

    def script(self, received):
        """Answer a request, and record its arrival."""
        request = received.headers.get("x-sycamoreshed-request-id")
        self.arrivals.append((time.monotonic(), request))
        if self._rng.random() < self._share:
            return self._steps
        return (scripted.answer(200, b"whole", **SEAL),)


class Load:
    """Requests at a steady rate to instances in turn.

    Parameters
    ----------
    instances : sequence of Gateway
    session : aiohttp.ClientSession
    rate : float
        Requests a second.
    url : str
        With a place for the address of an instance.

    Attributes
    ----------
    sent : list of float
        Monotonic times of the requests.
    statuses : collections.Counter
        Answers by status; None for those without an answer.
    """

    def __init__(self, *, instances, session, rate, url):
        self._instances = instances
        self._session = session
        self._pause_s = 1 / rate
        self._url = url
        self._numbers = itertools.count()
        self.sent = []
        self.statuses = collections.Counter()

    async def run(self, seconds):
        """Send requests for a time, and wait for their answers."""
        began_at = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for number in itertools.count():
                due = began_at + number * self._pause_s
                if due - began_at >= seconds:
                    return
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                tasks.create_task(self._send())

    async def _send(self):
        number = next(self._numbers)
        instance = self._instances[number % len(self._instances)]
        self.sent.append(time.monotonic())
        status = None
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self._session.get(
                self._url.format(instance.public),
                headers=wiredata.head(f"r-{number}"),
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
            ) as answer:
                await answer.read()
                status = answer.status
        self.statuses[status] += 1

    def worst_window(self, received, budget):
        """Return the `Window` with the most repeats beyond a budget."""
        return arrivals.worst_window(self.sent, received, budget)
