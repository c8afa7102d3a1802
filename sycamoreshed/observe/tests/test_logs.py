"""The decision log, its rate limit and the lines of libraries."""

import contextlib
import json
import logging

import pytest

from sycamoreshed.observe import logs


@pytest.fixture
def lines(capsys):
    """Return a function that returns the lines logged since its last call."""
    logs.set_up("INFO")

    def new_lines():
        text = capsys.readouterr().err
        return [json.loads(line) for line in text.splitlines()]

    yield new_lines
    logging.getLogger().handlers.clear()
    with contextlib.suppress(ValueError):
        logs.logger.remove()


def test_line_names_kind_and_fields_of_decision(lines):
    log = logs.DecisionLog()
    log.write(1.0, "route", request="r", choice="a", why="near", candidates=3)
    (line,) = lines()
    line.pop("time")
    assert line == {
        "level": "INFO",
        "message": "decision",
        "decision": "route",
        "request": "r",
        "choice": "a",
        "why": "near",
        "candidates": 3,
    }


def test_decisions_above_rate_are_counted(lines):
    """Decisions are made faster than the maximum rate of lines.

    Without the limit, logging would take time that the requests need.
    """
    log = logs.DecisionLog(rate=5)
    for number in range(12):
        log.write(1.0 + number / 100, "route", number=number)
    assert [line["number"] for line in lines()] == list(range(5))
    assert log.dropped == 7
    log.write(2.0, "route", number=99)
    excess, last = lines()
    assert (excess["level"], excess["lines"]) == ("WARNING", 7)
    assert last["number"] == 99
    assert log.dropped == 7


def test_level_warning_leaves_out_decisions(lines):
    logs.set_up("WARNING")
    logs.DecisionLog().write(1.0, "route")
    assert lines() == []


def test_lines_of_libraries_are_json(lines):
    """A library logs a traceback of many lines that contains braces.

    Braces must not be taken for format fields.
    """
    log = logging.getLogger("aiohttp.server")
    log.info("left out")
    try:
        raise ValueError("{broken}")
    except ValueError:
        log.exception("Error handling %s", "{request}")
    (line,) = lines()
    assert (line["level"], line["library"]) == ("ERROR", "aiohttp.server")
    assert line["message"] == "Error handling {request}"
    assert "{broken}" in line["exception"]


def test_long_values_make_no_long_lines(lines):
    """A line repeated all that a caller had sent."""
    logs.logger.bind(path="/" + "p" * 16_000).warning("x" * 16_000)
    (line,) = lines()
    assert line["path"].startswith("/ppp")
    assert len(json.dumps(line)) < 1000
