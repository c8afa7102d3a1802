"""The listening sockets of a forwarding daemon, and its graceful stop."""

import asyncio
import functools
import socket

from aiohttp import web

from sycamoreshed.buffering import budget
from sycamoreshed.buffering import sockets as buffering
from sycamoreshed.catalog import types
from sycamoreshed.entry import connections
from sycamoreshed.entry import limitedserver
from sycamoreshed.gateway import error_responses
from sycamoreshed.gateway import handler
from sycamoreshed.intake import allowance as allowances
from sycamoreshed.intake import pacing
from sycamoreshed.kernel import kernel
from sycamoreshed.stopping import telling

__all__ = ["drain"]

# Must exceed the idle limit of every configuration: callers reuse connections
# up to that limit, and a request can be lost on one that is closed earlier.
KEEPALIVE_S = 120.0
# For the head of a request of another instance.
PEER_HEAD_S = 5.0
# The load balancer has one connection open at a time.
MAX_READINESS_CONNECTIONS = 16
# Of the request line, and of all header fields of another instance.
PEER_HEADER_BYTES = 32768
# The same of callers, while no configuration is known.
UNKNOWN_HEADER_BYTES = 65536
# The load balancer checks readiness once a second and reacts to two failed
# checks, so new connections arrive for up to three seconds after SIGTERM, of
# which a busy process may take note late.
NEW_CONNECTIONS_S = 2.9
ACCEPT_S = 3.2
# Upper bounds of both, as shares of the grace period.
NEW_CONNECTIONS_SHARE = 0.375
ACCEPT_SHARE = 0.5
# Bytes that are read ahead of a caller's body, if this instance's memory is
# limited.
READ_AHEAD_BYTES = 32 * 1024
# Part of the grace period that is reserved for writing the last responses.
WRITE_MARGIN_S = 0.6
# What has not ended by then is given up, with a response if it has none yet.
# Closing connections takes time as well.
GIVE_UP_MARGIN_S = 0.4
# Time to write the responses to what was given up.
LAST_WRITES_S = 0.1
# For handlers that still run when the listeners close.  The HTTP library would
# wait for them without a limit if it were zero.
CLOSE_S = 0.02
POLL_S = 0.02


@kernel.plugin(
    "listeners",
    needs=(
        "allowance",
        "buffers",
        "catalog",
        "duration_exchange",
        "gateway_metrics",
        "handler",
        "inner",
        "socket_buffers",
        "sockets",
        "journal",
    ),
)
async def listeners(core):
    """Provide the servers on the listening sockets."""
    sockets = core.part("sockets")
    max_descriptors = connections.max_descriptors(
        core.settings.max_descriptors
    )
    shares = connections.descriptor_shares(max_descriptors)
    fitting = allowances.max_connections(
        allowances.memory_bytes(core.settings.memory_mb)
    )
    # Connections inherit them.
    buffer_bytes = core.part("socket_buffers")
    buffering.set_sizes(sockets["public"], buffer_bytes)
    for name in ("control", "ready"):
        # Instances send each other tables, which may be long.
        buffering.set_sizes(sockets[name], buffer_bytes, [socket.SO_RCVBUF])
    options = {}
    if core.settings.memory_mb is not None:
        options["read_bufsize"] = READ_AHEAD_BYTES

    journal = core.part("journal")
    pacer = pacing.Pacer()

    def make_server(name, max_connections, limits, make_bodies=None):
        return functools.partial(
            limitedserver.LimitedServer,
            max_connections=min(max_connections, fitting),
            limits=limits,
            allowance=core.part("allowance"),
            pacer=pacer,
            make_bodies=make_bodies,
            make_refusal=_refusal,
            report_refused=lambda counts: journal.write(
                "requests_refused", listener=name, counts=counts
            ),
            report_full=functools.partial(
                journal.write, "connections_full", listener=name
            ),
            clock=core.clock,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            auto_decompress=False,
            **options,
        )

    of_callers = functools.partial(_caller_limits, core.part("catalog"))
    runners = {
        "control": limitedserver.LimitedAppRunner(
            core.control,
            make_server=make_server(
                "control",
                shares.instances,
                _peer_limits,
                make_bodies=functools.partial(
                    budget.BodyHold, budget=core.part("buffers")
                ),
            ),
            shutdown_timeout=CLOSE_S,
        ),
        "public": web.ServerRunner(
            make_server("public", shares.callers, of_callers)(
                core.part("handler")
            ),
            shutdown_timeout=CLOSE_S,
        ),
        "ready": web.ServerRunner(
            make_server("ready", MAX_READINESS_CONNECTIONS, of_callers)(
                _readiness(core)
            ),
            shutdown_timeout=CLOSE_S,
        ),
    }
    metrics = core.part("gateway_metrics")
    metrics.export_max_descriptors(lambda: max_descriptors)
    for name, runner in runners.items():
        await runner.setup()
        server = runner.server
        await web.SockSite(
            runner, sockets[name], backlog=shares.backlog
        ).start()
        core.keep_running(
            server.run_sweeping, name=f"close idle {name} connections"
        )
        metrics.export_connections(
            name, functools.partial(getattr, server, "open_count")
        )
    yield runners
    for runner in runners.values():
        await runner.cleanup()


def _caller_limits(catalog):
    """Return the limits of callers in the configuration in force."""
    configuration = catalog.configuration
    if configuration is None:
        # Callers are told so, rather than that their head is too large.
        limits = types.Limits(header_bytes=UNKNOWN_HEADER_BYTES)
    else:
        limits = configuration.limits
    return connections.Limits(
        idle_s=limits.idle_s,
        head_s=limits.head_s,
        header_bytes=limits.header_bytes,
    )


def _peer_limits():
    return connections.Limits(KEEPALIVE_S, PEER_HEAD_S, PEER_HEADER_BYTES)


def _refusal(failure):
    """Return the response to a request that no handler has."""
    return error_responses.error_response(
        failure, None, handler.MIN_RETRY_AFTER_S
    )


def _readiness(core):
    catalog = core.part("catalog")

    async def check_readiness(_http):
        is_ready = catalog.is_ready and not core.tasks.failing(core.clock())
        if is_ready and not core.stopping.is_set():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    return check_readiness


def _set_stop_deadline(core, started_at):
    """Set when this instance ends; return when it gives up what has not."""
    grace_s = core.settings.grace_s
    gives_up_at = started_at + max(0.0, grace_s - GIVE_UP_MARGIN_S)
    new_connections_s = min(NEW_CONNECTIONS_S, NEW_CONNECTIONS_SHARE * grace_s)
    core.part("stop_deadline").set(
        started_at + grace_s - WRITE_MARGIN_S,
        gives_up_at=gives_up_at,
        late_from=started_at + new_connections_s,
        learns_until=started_at + telling.TIMEOUT_S,
    )
    return gives_up_at


async def _learn(core):
    """Ask other instances how long requests last, and estimate by it."""
    await core.part("duration_exchange").ask(core.clock())
    core.part("stop_deadline").refresh()


async def drain(core):
    """Wait for the stop, then until no request is in flight.

    Notes
    -----
    Requests that likely end in time are accepted until the load balancer has
    noticed the stop; each response closes its connection.  The process exits
    within the grace period: SIGKILL would cut off what is still in flight
    anyway.
    """
    await core.stopping.wait()
    started_at = core.clock()
    requests = core.part("handler")
    journal = core.part("journal")
    journal.write("stop", in_flight=requests.in_flight)
    gives_up_at = _set_stop_deadline(core, started_at)
    core.spawn(_learn(core), name="ask durations")
    grace_s = core.settings.grace_s
    await asyncio.sleep(min(ACCEPT_S, ACCEPT_SHARE * grace_s))
    await requests.wait_until_read()
    requests.is_accepting = False
    control = core.part("inner")
    last_write_at = gives_up_at + LAST_WRITES_S
    # Responses are written after their handlers have returned.
    public = core.part("listeners")["public"].server
    while requests.in_flight + control.in_flight or public.is_busy:
        if core.clock() >= last_write_at:
            break
        await asyncio.sleep(POLL_S)
    # What other instances still ask for is refused rather than cut off.
    for site in list(core.part("listeners")["control"].sites):
        await site.stop()
    core.part("stop_deadline").set(core.clock())
    await asyncio.sleep(POLL_S)
    journal.write(
        "stopped",
        in_flight=requests.in_flight,
        took_s=round(core.clock() - started_at, 3),
    )
