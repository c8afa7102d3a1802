"""Checks the links to endpoints when connections fail."""

import asyncio
import itertools
import random

from sycamoreshed.adapters import web
from sycamoreshed.kernel import kernel
from sycamoreshed.kernel import timeouts
from sycamoreshed.links import reachability as decisions

__all__ = ["LinkChecker"]

# Endpoints of a check; each is in another zone and service than the others if
# there are such.
MAX_ENDPOINTS = 3
# A round trip between regions takes a fraction of it.
TIMEOUT_S = 0.3
POLL_S = 0.05


class LinkChecker:
    """Opens connections to a few endpoints, and closes them again.

    Parameters
    ----------
    reachability : Reachability
    endpoints : callable
        Returns all endpoints that should accept connections.
    connect : callable
        Coroutine function of an address and a timeout in seconds; raises
        `OSError` or `TimeoutError` if no connection is established.
    on_links_back : callable
        Called without arguments when a cut has ended.
    clock : callable
    rng : random.Random, optional
    """

    def __init__(
        self,
        *,
        reachability,
        endpoints,
        connect,
        on_links_back,
        clock,
        rng=None,
    ):
        self._reachability = reachability
        self._endpoints = endpoints
        self._connect = connect
        self._on_links_back = on_links_back
        self._clock = clock
        self._rng = rng or random.Random()

    async def run(self):
        """Check the links whenever it is due, until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            if self._reachability.is_check_due(self._clock()):
                await self._check()

    async def reaches_others(self, endpoint):
        """Return whether this instance reaches other endpoints.

        Returns
        -------
        bool
            True as well if there is no other endpoint to try.
        """
        if self._reachability.is_cut_off:
            return False
        results = await self._try(self._select({endpoint.id}))
        return not results or any(each.is_connected for each in results)

    async def _check(self):
        started_at = self._clock()
        was_cut_off = self._reachability.is_cut_off
        unreached = set(self._reachability.unreached(started_at))
        # Those not tried yet tell most; without such, the others do.
        selected = self._select(unreached) or self._select(())
        results = await self._try(selected)
        self._reachability.record_check(
            results, started_at=started_at, now=self._clock()
        )
        if was_cut_off and not self._reachability.is_cut_off:
            self._on_links_back()

    def _select(self, excluded):
        """Return a few endpoints, of different zones and services."""
        candidates = [
            each for each in self._endpoints() if each.id not in excluded
        ]
        self._rng.shuffle(candidates)
        selected = []
        for is_new in (_has_new_zone_and_service, _has_new_zone, _is_any):
            for each in candidates:
                if len(selected) == MAX_ENDPOINTS:
                    return selected
                if each not in selected and is_new(each, selected):
                    selected.append(each)
        return selected

    async def _try(self, endpoints):
        return await asyncio.gather(*map(self._try_one, endpoints))

    async def _try_one(self, endpoint):
        try:
            await self._connect(endpoint.address, TIMEOUT_S)
        except (TimeoutError, OSError) as err:
            return decisions.CheckResult(endpoint.id, False, web.describe(err))
        return decisions.CheckResult(endpoint.id, True)


def _has_new_zone_and_service(endpoint, selected):
    return _has_new_zone(endpoint, selected) and all(
        each.service != endpoint.service for each in selected
    )


def _has_new_zone(endpoint, selected):
    return all(each.zone != endpoint.zone for each in selected)


def _is_any(_endpoint, _selected):
    return True


async def connect(address, timeout_s):
    """Open a connection to an address and close it.

    Raises
    ------
    OSError or TimeoutError
        If it is not established in time.
    """
    host, _, port = address.rpartition(":")
    async with timeouts.time_limit(timeout_s):
        _, writer = await asyncio.open_connection(host, int(port))
    writer.close()


def _all_endpoints(catalog, now):
    """Return the endpoints of all services that may get new work."""
    configuration = catalog.configuration
    services = configuration.services if configuration else ()
    return list(
        itertools.chain.from_iterable(
            catalog.endpoints(name, now) for name in services
        )
    )


@kernel.plugin("link_checker", needs=("catalog", "health", "reachability"))
async def link_checker(core):
    """Check the links to endpoints while the daemon runs."""
    checker = LinkChecker(
        reachability=core.part("reachability"),
        endpoints=lambda: _all_endpoints(core.part("catalog"), core.clock()),
        connect=connect,
        on_links_back=core.part("health").forget_unreachable,
        clock=core.clock,
    )
    core.keep_running(checker.run, name="check links to endpoints")
    yield checker
