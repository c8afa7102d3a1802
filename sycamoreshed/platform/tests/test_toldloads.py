"""Tests of the wire format of the load that endpoints tell."""

import multidict
import pytest

from sycamoreshed.platform import toldloads

HEADER = "X-Sycamoreshed-Instance-Load"


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,0,8", (3, 0, 8, 1.0)),
        ("3,0,8,100", (3, 0, 8, 1.0)),
        (" 3, 12 ,8, 40", (3, 12, 8, 0.4)),
    ],
)
def test_three_figures_and_four(text, load):
    headers = multidict.CIMultiDict({HEADER.lower(): text})
    assert toldloads.told_load(headers) == load


@pytest.mark.parametrize(
    "text",
    [
        "",
        "3",
        "3,0",
        "3,0,8,100,5",
        "3,,8",
        "-3,0,8",
        "3,0,0",
        "3.5,0,8",
        "nan,0,8",
        "inf,0,8",
        "1e3,0,8",
        "٣,0,8",
        "3,0,8,0",
        "3,0,8,-100",
        "3,0,8,nan",
        "3,0,8,10001",
        "3,0,1000001",
        "9" * 5000 + ",0,8",
    ],
)
def test_nonsense_is_told_from_no_load(text):
    """Guards against an endpoint whose figures would draw or repel calls."""
    assert toldloads.told_load({HEADER: text}) is None
    assert toldloads.tells_load({HEADER: text})
    assert not toldloads.tells_load({})
