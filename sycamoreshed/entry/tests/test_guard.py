"""Answers and log lines for exceptions raised by handlers."""

import types

from aiohttp import web
import pytest

from sycamoreshed.entry import guard
from sycamoreshed.observe import logs


async def respond(closing, error, capsys):
    """Return the status and the number of log lines of a raising handler."""
    logs.set_up("INFO")
    transport = types.SimpleNamespace(is_closing=lambda: closing)
    http = types.SimpleNamespace(transport=transport, path="/v1")

    async def handler(_http):
        raise error

    answer = await guard.handle_errors(http, handler)
    return answer.status, capsys.readouterr().err.count("\n")


@pytest.mark.parametrize(
    "closing, error, status, lines",
    [
        # The caller disconnects while its answer is written.
        (True, ConnectionResetError(), guard.CLIENT_CLOSED_STATUS, 0),
        # A connection to another server breaks; the caller is waiting.
        (False, ConnectionResetError(), 500, 1),
        (False, KeyError("x"), 500, 1),
        (False, web.HTTPNotFound(), 404, 0),
    ],
)
async def test_only_internal_errors_are_logged(
    closing, error, status, lines, capsys
):
    """Disconnected callers must neither fill the log nor hide errors."""
    assert await respond(closing, error, capsys) == (status, lines)
