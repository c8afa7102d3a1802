"""Runs tests listed in KNOWN-RED.txt as strict expected failures.

Each line is ``test | what was seen | issue``.  A listed test that passes
fails the run, so that a line is taken out as soon as its fault is mended.
"""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
MOST = 3


def read_known_red(text):
    """Return what was seen, by test, from the text of the file.

    Raises
    ------
    ValueError
        If a line is not complete or there are too many.
    """
    known = {}
    for line in text.splitlines():
        if not line.strip():
            continue
        test, seen, issue = (part.strip() for part in line.split("|"))
        known[test] = f"{seen} (issue {issue})"
    if len(known) > MOST:
        raise ValueError(f"more than {MOST} known failures")
    return known


def pytest_collection_modifyitems(items):
    """Mark the listed tests."""
    if not KNOWN_RED.exists():
        return
    known = read_known_red(KNOWN_RED.read_text())
    for item in items:
        if item.nodeid in known:
            reason = known[item.nodeid]
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests."""
    if KNOWN_RED.exists():
        terminalreporter.section("known failures")
        terminalreporter.write(KNOWN_RED.read_text())
