"""An event journal that records events in memory, for tests."""

from sycamoreshed.observe import events

__all__ = ["Journal"]


class Journal:
    """Records events; rejects unregistered names and fields."""

    def __init__(self):
        self.lines = []

    def write(self, name, **fields):
        """Record one event."""
        registered = [
            each.strip() for each in events.EVENTS[name].fields.split(",")
        ]
        unknown = set(fields) - set(registered)
        if unknown:
            raise AssertionError(f"{name} has no fields {sorted(unknown)}")
        self.lines.append((name, fields))

    def names(self):
        """Return the names of all events so far."""
        return [name for name, _ in self.lines]
