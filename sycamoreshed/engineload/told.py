"""The load that endpoints told in their latest answers."""

import typing

from sycamoreshed.kernel import kernel

__all__ = ["ToldLoads"]

# Age up to which the told requests are used.
LOAD_TTL_S = 1.0
# Age up to which the told slowdown is used for single requests; it changes
# many times a second.
SLOWDOWN_TTL_S = 0.5
MAX_ENDPOINTS = 1024


class _Told(typing.NamedTuple):
    load: typing.Any
    at: float


class ToldLoads:
    """Loads of endpoints as they told, each until it is old.

    Parameters
    ----------
    journal : Journal, optional
    is_enabled : bool
        Whether anything is recorded.

    Examples
    --------
    >>> from sycamoreshed.catalog import types
    >>> from sycamoreshed.platform import toldloads
    >>> desk = types.Endpoint("d1", "desk", "d1:80", "north-a", 6)
    >>> told = ToldLoads()
    >>> told.record(desk, toldloads.ToldLoad(5, 1, 6, 2.5), 10.0)
    >>> told.load(desk, 10.2).running, told.slowdown(desk, 10.2)
    (5, 2.5)
    >>> told.load(desk, 11.0), told.slowdown(desk, 10.6)
    (None, 1.0)
    """

    def __init__(self, *, journal=None, is_enabled=True):
        self._journal = journal
        self._is_enabled = is_enabled
        # Both by boot, in the order of their latest change.
        self._loads = {}
        self._unreadable = {}

    def record(self, endpoint, told, now):
        """Record what an answer of an endpoint told.

        Parameters
        ----------
        endpoint : Endpoint
        told : ToldLoad or None
            None if it could not be read.
        now : float
        """
        if not self._is_enabled:
            return
        boot = endpoint.boot
        if told is not None:
            _put(self._loads, boot, _Told(told, now))
        elif boot not in self._unreadable:
            _put(self._unreadable, boot, True)
            if self._journal is not None:
                self._journal.write("told_load_bad", endpoint=endpoint.id)

    def load(self, endpoint, now, *, max_age_s=LOAD_TTL_S):
        """Return the `ToldLoad` of an endpoint, or None if none is young."""
        # Most deployments have no endpoints that tell their load.
        known = self._loads and self._loads.get(endpoint.boot)
        if not known or now - known.at >= max_age_s:
            return None
        return known.load

    def slowdown(self, endpoint, now, *, max_age_s=SLOWDOWN_TTL_S):
        """Return the told slowdown of an endpoint, 1 if none is young."""
        load = self.load(endpoint, now, max_age_s=max_age_s)
        return 1.0 if load is None else load.slowdown


def _put(table, key, value):
    """Set a value; the one that was set longest ago may have to go."""
    table.pop(key, None)
    if len(table) >= MAX_ENDPOINTS:
        del table[next(iter(table))]
    table[key] = value


@kernel.plugin("told_loads", needs=("journal",))
async def told_loads(core):
    """Provide the `ToldLoads`."""
    yield ToldLoads(
        journal=core.part("journal"), is_enabled=core.settings.learn_speeds
    )
