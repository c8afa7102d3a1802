"""Fixtures of the tests that run alone."""

from tests.integration.conftest import store  # noqa: F401
