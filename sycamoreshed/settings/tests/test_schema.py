"""Validation of a settings file."""

import json

import pytest

from sycamoreshed import exceptions
from sycamoreshed.settings import schema
from testkit import builders

PLATFORM = dict.fromkeys(("table", "objects", "instances"), "127.0.0.1:9")


def parse(**changes):
    """Return the settings of a document with some changes."""
    document = builders.settings_document(
        PLATFORM, public="127.0.0.1:9", control="127.0.0.1:9", **changes
    )
    return schema.parse(json.dumps(document).encode(), source="a.json")


def test_instance_that_is_not_killed_has_no_time_to_stop_in():
    assert parse().stop_s is None


def test_instance_may_be_killed_some_time_after_its_grace():
    least_s = 10.0 + schema.MIN_STOP_S
    assert parse(grace_s=10.0, stop_s=least_s).stop_s == least_s


def test_instance_is_not_killed_within_its_grace():
    """Requests that it still accepted would be cut off."""
    with pytest.raises(exceptions.CheckError, match=r"\$\.stop_s"):
        parse(grace_s=10.0, stop_s=10.0 + schema.MIN_STOP_S - 0.1)
