import asyncio
import types

import pytest

from sycamoreshed.gateway import listeners


def make_core(*, is_loaded, failing=(), is_stopping=False):
    """Return a kernel as far as readiness needs it."""
    core = types.SimpleNamespace(
        part=lambda _name: types.SimpleNamespace(is_ready=is_loaded),
        stopping=asyncio.Event(),
        clock=lambda: 0.0,
        tasks=types.SimpleNamespace(failing=lambda _now: set(failing)),
    )
    if is_stopping:
        core.stopping.set()
    return core


@pytest.mark.parametrize(
    "state, status",
    [
        ({"is_loaded": True}, 200),
        ({"is_loaded": False}, 503),
        ({"is_loaded": True, "is_stopping": True}, 503),
        ({"is_loaded": True, "failing": ["follow settings"]}, 503),
    ],
)
async def test_callers_are_sent_to_instances_that_work_only(state, status):
    """An instance without one of its tasks would serve by an old state."""
    check_readiness = listeners._readiness(make_core(**state))
    assert (await check_readiness(None)).status == status
