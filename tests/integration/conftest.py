"""What the tests of the forwarding daemon share."""

import pytest

from standins import platformstore
from testkit import wiredata


@pytest.fixture
async def store():
    """Run a store with a configuration."""
    result = platformstore.PlatformStore()
    await result.start()
    result.put("op", "config", wiredata.configuration())
    yield result
    await result.stop()
