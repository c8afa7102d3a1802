"""What becomes of exceptions that handlers raise."""

import types

from aiohttp import web
import pytest

from sycamoreshed.entry import guard
from sycamoreshed.observe import logs


async def outcome(closing, error, capsys):
    """Return status and log lines of a handler that raises."""
    logs.set_up("INFO")
    transport = types.SimpleNamespace(is_closing=lambda: closing)
    http = types.SimpleNamespace(transport=transport, path="/v1")

    async def handler(_http):
        raise error

    answer = await guard.guarded(http, handler)
    return answer.status, capsys.readouterr().err.count("\n")


@pytest.mark.parametrize(
    "closing, error, status, lines",
    [
        # A caller hangs up while its answer is written.
        (True, ConnectionResetError(), guard.CLOSED, 0),
        # A connection of our own breaks; the caller waits.
        (False, ConnectionResetError(), 500, 1),
        (False, KeyError("x"), 500, 1),
        (False, web.HTTPNotFound(), 404, 0),
    ],
)
async def test_faults_of_ours_are_logged(
    closing, error, status, lines, capsys
):
    """Hangers-up must not fill the log, nor hide faults of ours."""
    assert await outcome(closing, error, capsys) == (status, lines)
