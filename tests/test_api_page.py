"""The page for callers agrees with the program."""

import pathlib
import re

import pytest

from sycamoreshed.entry import callers
from sycamoreshed.entry import parsing
from sycamoreshed.errors import kinds
from sycamoreshed.observe import metrics

PAGE = pathlib.Path(__file__).parents[1] / "docs" / "API.md"
TEXT = PAGE.read_text()


def row_of(kind):
    """Return the table row of a kind of answer."""
    answer = kinds.ANSWERS[kind]
    sent = kinds.answer_for(kinds.Failure(kind, "", sent=True)).outcome
    retry = "" if answer.retry_after is None else f"{answer.retry_after:g}"
    cells = (kind, answer.status, answer.title, answer.outcome, sent, retry)
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def test_table_of_kinds_is_the_programs():
    rows = re.findall(r"^\| [a-z-]+ \| \d{3} \| .*$", TEXT, re.M)
    assert rows == [row_of(kind) for kind in kinds.Kind]


@pytest.mark.parametrize(
    "name",
    [
        *(f"`{outcome}`" for outcome in kinds.Outcome),
        *(f"`{name}`" for name in parsing.Body.__annotations__),
        f"`{parsing.TEAM_HEADER}`",
        f"`{parsing.KEY_HEADER}`",
        f"`{parsing.REPEAT_HEADER}`",
        f"`{parsing.DEADLINE_HEADER}`",
        f"`{parsing.PRIORITY_HEADER}`",
        f"at most {parsing.MAX_DEADLINE_MS:.0f}",
        f"| {callers.BODY_TIMEOUT_S:.0f} s |",
        f"first {metrics.MAX_TEAM_LABELS} teams",
    ],
)
def test_page_names(name):
    assert name in TEXT


def test_every_metric_of_the_page_is_there():
    text = metrics.Metrics().render().decode()
    named = set(re.findall(r"`(sycamoreshed_\w+)`", TEXT))
    assert len(named) > 5
    assert named <= set(re.findall(r"^# HELP (\w+)", text, re.M))
