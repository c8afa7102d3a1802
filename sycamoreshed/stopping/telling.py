"""What other instances tell one that stops of how long requests last.

An instance that has just started, or has a route that it seldom serves, knows
little of it when it has to decide which requests end before it does.
"""

import asyncio
import math
import typing

from aiohttp import web
import msgspec

from sycamoreshed.adapters import decoding
from sycamoreshed.adapters import web as adapters
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.stopping import durations
from sycamoreshed.stopping import measuring

__all__ = ["PATH", "DurationExchange", "Told"]

PATH = "/control/durations"
# For an instance to answer.
TIMEOUT_S = 0.3
# Instances that are asked at the same time.
MAX_ASKED = 3
# Series that are told, those used last, and samples of each.
MAX_TOLD_SERIES = 256
MAX_TOLD_SAMPLES = 16
# Own samples of a series, from which on those of others do not count.
ENOUGH_SAMPLES = 16
MAX_VALUE = 86400.0


class Told(typing.NamedTuple):
    """Durations of one kind, as another instance tells them.

    Parameters
    ----------
    part : Part
    phase : Phase
    name : str
    values : list of float
        Of those that ended.
    """

    part: measuring.Part
    phase: measuring.Phase
    name: str
    values: list[float]


class DurationExchange:
    """Asks other instances for durations, and tells them its own.

    Parameters
    ----------
    known : Durations
    peers : PeerDirectory
    session : aiohttp.ClientSession
    journal : Journal
    """

    def __init__(self, *, known, peers, session, journal):
        self._durations = known
        self._peers = peers
        self._session = session
        self._journal = journal

    async def tell(self, _http):
        """Return the latest durations, for an instance that stops."""
        latest = list(self._durations.items())[-MAX_TOLD_SERIES:]
        told = [
            Told(*key, _latest_values(series))
            for key, series in latest
            if series.ended
        ]
        return web.Response(
            body=msgspec.json.encode(told), content_type="application/json"
        )

    async def ask(self, now):
        """Learn from other instances what this one does not know itself."""
        asked = self._peers.sample(now)[:MAX_ASKED]
        await asyncio.gather(*[self._ask(control) for control in asked])

    def record(self, told):
        """Add what another instance told where little is known.

        Returns
        -------
        int
            How many samples were added.
        """
        added = 0
        for each in told:
            key = measuring.Key(each.part, each.phase, each.name)
            series = self._durations.series(key)
            missing = max(0, ENOUGH_SAMPLES - len(series.ended))
            usable = [
                durations.Sample(value)
                for value in each.values
                if math.isfinite(value) and 0.0 <= value <= MAX_VALUE
            ][:missing]
            for sample in usable:
                series.add(sample)
            added += len(usable)
        return added

    async def _ask(self, control):
        reply = await adapters.fetch(
            self._session, "GET", control, PATH, timeout=TIMEOUT_S
        )
        why, count = None, 0
        if isinstance(reply, kinds.Failure):
            why = reply.reason
        elif reply.status != web.HTTPOk.status_code:
            # An instance of another version may not know the path.
            why = f"instance answered {reply.status}"
        else:
            try:
                told = msgspec.convert(reply.body, list[Told])
                count = self.record(told[:MAX_TOLD_SERIES])
            except msgspec.ValidationError as err:
                why = str(err)[: decoding.MAX_LOGGED]
        self._journal.write(
            "durations_told", peer=control, samples=count, why=why
        )


def _latest_values(series):
    latest = list(series.ended)[-MAX_TOLD_SAMPLES:]
    return [round(each.value, 6) for each in latest]


@kernel.plugin(
    "duration_exchange", needs=("durations", "journal", "peers", "web")
)
async def duration_exchange(core):
    """Provide the `DurationExchange`, and its path for other instances."""
    exchange = DurationExchange(
        known=core.part("durations"),
        peers=core.part("peers"),
        session=core.part("web"),
        journal=core.part("journal"),
    )
    core.control.router.add_get(PATH, exchange.tell)
    yield exchange
