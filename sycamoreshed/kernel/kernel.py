"""The kernel: starts plug-ins in dependency order, stops them in reverse.

A plug-in is an asynchronous context manager that takes the kernel and
yields its *part*, the object that other plug-ins use.  Each plug-in is
registered with the names of the parts it needs.
"""

import asyncio
import contextlib
import time
import typing

from aiohttp import web

from sycamoreshed import exceptions
from sycamoreshed.kernel import tasks

__all__ = ["Kernel", "Plugin", "plugin", "start_order"]

_plugins = {}


class Plugin(typing.NamedTuple):
    """A registered plug-in.

    Parameters
    ----------
    name : str
        Name of the plug-in and of the part it provides.
    needs : tuple of str
        Parts that must be started before it.
    start : callable
        Takes the kernel, returns an asynchronous context manager.
    """

    name: str
    needs: tuple
    start: typing.Callable


def plugin(name, *, needs=()):
    """Return a decorator that registers an async generator as a plug-in."""

    def decorate(func):
        if name in _plugins:
            raise exceptions.RegistryError(
                f"plug-in {name!r} is registered twice"
            )
        start = contextlib.asynccontextmanager(func)
        _plugins[name] = Plugin(name=name, needs=needs, start=start)
        return func

    return decorate


def start_order(plugins, plugin_names=None):
    """Return plug-ins sorted so that each comes after those it needs.

    Parameters
    ----------
    plugins : dict of str to Plugin
    plugin_names : iterable of str, optional
        Plug-ins to start, with all they need; default all.

    Returns
    -------
    list of Plugin

    Raises
    ------
    RegistryError
        If a needed plug-in is unknown or needs form a cycle.
    """
    order = []
    visited = set()
    visiting = set()

    def visit(name, required_by):
        if name in visited:
            return
        if name not in plugins:
            raise exceptions.RegistryError(
                f"{required_by} needs unknown plug-in {name!r}"
            )
        if name in visiting:
            raise exceptions.RegistryError(f"cycle of needs at {name!r}")
        visiting.add(name)
        for needed in plugins[name].needs:
            visit(needed, name)
        visited.add(name)
        order.append(plugins[name])

    for name in sorted(plugins if plugin_names is None else plugin_names):
        visit(name, "the kernel")
    return order


def _unix_ms():
    return time.time_ns() // 1_000_000


class Kernel:
    """Settings, clock, web apps and parts that a daemon's plug-ins share.

    Parameters
    ----------
    settings : Settings
        Checked settings of this daemon.
    clock : callable, optional
        Returns the monotonic time in seconds.
    unix_ms : callable, optional
        Returns the Unix time in ms.
    """

    def __init__(self, *, settings, clock=time.monotonic, unix_ms=_unix_ms):
        self._parts = {}
        self._stopping = asyncio.Event()
        self.settings = settings
        self.clock = clock
        self.unix_ms = unix_ms
        self.tasks = tasks.BackgroundTasks(clock=clock)
        self.public = web.Application(client_max_size=settings.max_body_bytes)
        self.control = web.Application(
            client_max_size=settings.max_control_bytes
        )

    @property
    def stopping(self):
        """Event that is set once a graceful shutdown has started."""
        return self._stopping

    def part(self, name):
        """Return the part that the plug-in `name` provides."""
        return self._parts[name]

    def add_middleware(self, middleware):
        """Apply a middleware to all handlers of both web apps."""
        self.public.middlewares.append(middleware)
        self.control.middlewares.append(middleware)

    def spawn(self, coro, *, name):
        """Run a coroutine as a task, cancelled after plug-ins have stopped."""
        return self.tasks.spawn(coro, name=name)

    def keep_running(self, start, *, name):
        """Run a coroutine function as a task, again after each failure."""
        return self.tasks.keep_running(start, name=name)

    async def run(self, *, main, plugin_names=None):
        """Start plug-ins, run `main`, then stop them.

        Parameters
        ----------
        main : coroutine function
            Takes the kernel; plug-ins are stopped when it returns.
        plugin_names : iterable of str, optional
            Plug-ins to start, with all they need; default all.
        """
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self.tasks.cancel)
            for entry in start_order(_plugins, plugin_names):
                part = await stack.enter_async_context(entry.start(self))
                self._parts[entry.name] = part
            await main(self)
