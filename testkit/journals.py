"""A journal that keeps what is written to it, for tests."""

from sycamoreshed.observe import events

__all__ = ["Journal"]


class Journal:
    """Keeps events; refuses names and fields that are not registered."""

    def __init__(self):
        self.lines = []

    def write(self, name, **fields):
        """Keep one event."""
        known = [
            each.strip() for each in events.EVENTS[name].fields.split(",")
        ]
        unknown = set(fields) - set(known)
        if unknown:
            raise AssertionError(f"{name} has no fields {sorted(unknown)}")
        self.lines.append((name, fields))

    def names(self):
        """Return the names of all events so far."""
        return [name for name, _ in self.lines]
