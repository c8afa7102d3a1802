"""One process that hosts many stand-ins, each on its own port.

``python -m standins.host`` reads a JSON list of specifications from
standard input, prints one JSON object of addresses by name, and serves
until it is told to stop.
"""

import asyncio
import json
import os
import signal
import sys

os.environ["UV_USE_IO_URING"] = "0"

from aiohttp import web  # noqa: E402
import uvloop  # noqa: E402

from standins import engine  # noqa: E402,F401
from standins import faults  # noqa: E402
from standins import instances  # noqa: E402,F401
from standins import objects  # noqa: E402,F401
from standins import registry  # noqa: E402
from standins import services  # noqa: E402,F401
from standins import table  # noqa: E402,F401
from standins import weights  # noqa: E402,F401

__all__ = ["main", "start"]

HOST = "127.0.0.1"
MAX_BODY = 1 << 26


async def start(spec):
    """Start one stand-in.

    Parameters
    ----------
    spec : dict
        ``kind``, ``name`` and what the kind takes; ``port`` if it has to
        be a certain one.

    Returns
    -------
    str
        Its address.
    """
    fault = faults.Faults(seed=spec.get("seed", 0))
    part = registry.KINDS.get(spec["kind"])(spec, fault)
    app = web.Application(
        middlewares=[fault.middleware()], client_max_size=MAX_BODY
    )
    app.add_routes(part.routes())
    app.add_routes([web.post("/faults", fault.set)])
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
        # Engines that are told so load through a weight store before them.
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
    uvloop.run(_main())


if __name__ == "__main__":
    main()
