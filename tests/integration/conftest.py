"""Shared fixtures for the tests of the forwarding daemon."""

import pytest

from standins import platformstore
from testkit import wiredata


@pytest.fixture
async def store():
    """Run a store that holds a configuration."""
    result = platformstore.PlatformStore()
    await result.start()
    result.put("op", "config", wiredata.configuration())
    yield result
    await result.stop()
