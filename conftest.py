"""Runs tests listed in KNOWN-RED.txt as strict expected failures.

Each line is ``test | what was seen | issue``.  A listed test that passes
fails the run, so that a line is taken out as soon as its fault is mended.
With ``| sometimes`` behind it, a fault that a few runs in many show, the test
may pass as well; it is listed until its cause is found.
"""

import pathlib
import typing

import pytest

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
SOMETIMES = "sometimes"


class Known(typing.NamedTuple):
    """A test that fails for a known reason, always or sometimes."""

    reason: str
    is_strict: bool = True


def read_known_red(text):
    """Return what was seen, by test, from the text of the file.

    Raises
    ------
    ValueError
        If a line is not complete, names no open issue by its number, or
        lists a test for the second time.
    """
    known = {}
    for line in text.splitlines():
        if not line.strip():
            continue
        test, seen, issue, *rest = (part.strip() for part in line.split("|"))
        if rest not in ([], [SOMETIMES]):
            raise ValueError(f"not understood: {rest}")
        if not seen or not issue.isdecimal():
            raise ValueError(f"{test}: what was seen, and an issue's number")
        if test in known:
            raise ValueError(f"{test} is listed twice")
        known[test] = Known(f"{seen} (issue {issue})", not rest)
    return known


def pytest_collection_modifyitems(items):
    """Mark the listed tests."""
    if not KNOWN_RED.exists():
        return
    known = read_known_red(KNOWN_RED.read_text())
    for item in items:
        if item.nodeid in known:
            held = known[item.nodeid]
            item.add_marker(
                pytest.mark.xfail(reason=held.reason, strict=held.is_strict)
            )


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests."""
    if KNOWN_RED.exists():
        terminalreporter.section("known failures")
        terminalreporter.write(KNOWN_RED.read_text())
