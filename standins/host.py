"""Process that hosts many stand-ins, each on its own port.

``python -m standins.host`` reads a JSON list of specifications from
standard input, prints one JSON object of addresses by name, and serves
until it receives SIGTERM or SIGINT.
"""

import asyncio
import json
import signal
import sys

from aiohttp import web

from standins import engine  # noqa: F401
from standins import faults
from standins import instances  # noqa: F401
from standins import objects  # noqa: F401
from standins import registry
from standins import services  # noqa: F401
from standins import table  # noqa: F401
from standins import weights  # noqa: F401
from sycamoreshed.kernel import loops

__all__ = ["main", "start"]

HOST = "127.0.0.1"
MAX_BODY_BYTES = 1 << 26


async def start(spec):
    """Start one stand-in.

    Parameters
    ----------
    spec : dict
        ``kind``, ``name`` and the options of the kind; ``port`` for a
        fixed port.

    Returns
    -------
    str
        Its address.
    """
    injector = faults.Faults(seed=spec.get("seed", 0))
    service = registry.KINDS.get(spec["kind"])(spec, injector)
    app = web.Application(
        middlewares=[injector.middleware()], client_max_size=MAX_BODY_BYTES
    )
    app.add_routes(service.routes())
    app.add_routes([web.post("/faults", injector.set)])
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    site = web.TCPSite(runner, HOST, spec.get("port", 0))
    await site.start()
    port = runner.addresses[0][1]
    return f"{HOST}:{port}"


async def _main():
    specs = json.loads(sys.stdin.readline())
    addresses = {}
    for spec in specs:
        # An engine that names a weight store needs the store's address, so
        # the store comes earlier in the list.
        if "weights" in spec:
            spec["weights_address"] = addresses[spec["weights"]]
        addresses[spec["name"]] = await start(spec)
    print(json.dumps(addresses), flush=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


def main():
    """Run the host."""
    loops.run(_main())


if __name__ == "__main__":
    main()
