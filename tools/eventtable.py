"""Writes the table of log events into the operators' page.

``python -m tools.eventtable`` writes it; a test fails if it is stale.
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
    """Return where the table stands in a page's text, as a slice."""
    start = page.index(BEGIN) + len(BEGIN)
    return slice(start, page.index(END))


def main():
    """Write the table."""
    page = PAGE.read_text()
    place = section(page)
    PAGE.write_text(page[: place.start] + render() + page[place.stop :])


if __name__ == "__main__":
    main()
