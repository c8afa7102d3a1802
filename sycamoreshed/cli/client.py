"""Client of the control address of an instance, for the commands."""

import asyncio
import enum
import json
import sys
import typing

import cyclopts

from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.settings import schema

__all__ = [
    "EXIT_CODES_HELP",
    "AsJson",
    "Control",
    "Exit",
    "fetch",
    "print_body",
    "send_and_print",
]

TIMEOUT_S = 10.0

Control = typing.Annotated[
    str, cyclopts.Parameter(help="Control address (IP:port) of an instance.")
]
AsJson = typing.Annotated[
    bool, cyclopts.Parameter(name="--json", help="Print JSON.")
]


class Exit(enum.IntEnum):
    """Exit codes."""

    DONE = 0
    REFUSED = 1
    INVALID = 2
    UNKNOWN = 3
    UNREACHABLE = 4


EXIT_CODES_HELP = (
    "Exit codes: 0 done; 1 refused; 2 a file, a setting or an argument is "
    "not valid; 3 the outcome is unknown; 4 the instance cannot be reached."
)


def send_and_print(control, method, path, *, body=None, as_json=False):
    """Send one request, print its response and return the exit code.

    Without a response the code is `UNREACHABLE`, also if the request may
    have reached the instance.
    """
    schema.check_address(control, source="--control", path="$")
    reply = asyncio.run(fetch(control, method, path, body))
    if isinstance(reply, kinds.Failure):
        print(reply.reason, file=sys.stderr)
        return Exit.UNREACHABLE
    print_body(reply.body, as_json)
    if reply.status < 400:
        return Exit.DONE
    if reply.body.get("outcome") == kinds.Outcome.OUTCOME_UNKNOWN:
        return Exit.UNKNOWN
    return Exit.REFUSED


async def fetch(control, method, path, body=None):
    """Send one request; return its `Reply`, or a `Failure`."""
    async with web.open_session(web.Connector()) as session:
        return await web.fetch(
            session, method, control, path, timeout=TIMEOUT_S, body=body
        )


def print_body(body, as_json):
    """Print a response body, as JSON or as one line for each key."""
    if as_json:
        print(json.dumps(body))
        return
    for key, value in body.items():
        print(f"{key}: {value}")
