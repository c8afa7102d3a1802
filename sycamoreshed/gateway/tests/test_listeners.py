import asyncio
import types

import pytest

from sycamoreshed.catalog import types as catalog_types
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


def test_long_head_is_read_while_no_configuration_is_known():
    """Callers were told that it is too large, and did not come again."""
    catalog = types.SimpleNamespace(configuration=None)
    unknown = listeners._caller_limits(catalog)
    limits = catalog_types.Limits(header_bytes=20_000)
    catalog.configuration = types.SimpleNamespace(limits=limits)
    known = listeners._caller_limits(catalog)
    assert known.header_bytes == 20_000 < unknown.header_bytes
