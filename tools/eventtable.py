"""Generates the table of log events in ``docs/OPERATIONS.md``.

``python -m tools.eventtable`` updates it; a test fails if it is out of date.
"""

import pathlib

from sycamoreshed.observe import events

__all__ = ["PAGE", "main", "render", "section"]

PAGE = pathlib.Path(__file__).parents[1] / "docs" / "OPERATIONS.md"
BEGIN = "<!-- events: made by python -m tools.eventtable -->\n"
END = "<!-- end of events -->\n"


def render():
    """Return the table as Markdown."""
    lines = ["| event | class | fields | written when |", "|---|---|---|---|"]
    for name, event in events.EVENTS.items():
        event_class = event.event_class.name.lower()
        lines.append(
            f"| `{name}` | {event_class} | {event.fields} | {event.when} |"
        )
    return "\n".join(lines) + "\n"


def section(page):
    """Return the slice of a page's text that holds the table."""
    start = page.index(BEGIN) + len(BEGIN)
    return slice(start, page.index(END))


def main():
    """Replace the table in the page by a current one."""
    page = PAGE.read_text()
    table = section(page)
    PAGE.write_text(page[: table.start] + render() + page[table.stop :])


if __name__ == "__main__":
    main()
