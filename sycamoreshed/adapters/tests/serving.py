"""A stand-in behind a proxy, in the process of the test."""

import contextlib

import aiohttp
from aiohttp import web

from standins import faults
from standins import host  # noqa: F401
from standins import registry
from testkit import proxy as proxies


@contextlib.asynccontextmanager
async def running(kind, **spec):
    """Run a stand-in; yield a session, the proxy and the stand-in's faults."""
    fault = faults.Faults()
    part = registry.KINDS.get(kind)(spec, fault)
    app = web.Application(middlewares=[fault.middleware()])
    app.add_routes(part.routes())
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    proxy = proxies.Proxy(target=f"127.0.0.1:{runner.addresses[0][1]}")
    await proxy.start()
    try:
        async with aiohttp.ClientSession() as session:
            yield session, proxy, fault
    finally:
        await proxy.stop()
        await runner.cleanup()
