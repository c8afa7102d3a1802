"""Up to where two processes have each other's records."""

__all__ = ["Link", "Links"]


class Link:
    """What is known of one process of a peer.

    Attributes
    ----------
    boot : int
        Names the process.
    got : int
        Position up to which its records were received.
    acked : int
        Position up to which it has received ours.
    """

    def __init__(self, *, boot):
        self.boot = boot
        self.got = 0
        self.acked = 0


class Links:
    """A `Link` for each peer.

    Parameters
    ----------
    boot : int
        Names this process.
    """

    def __init__(self, *, boot):
        self._boot = boot
        self._links = {}

    def get(self, name):
        """Return a peer's link; a new one knows nothing."""
        return self._links.get(name) or Link(boot=0)

    def take(self, message):
        """Take in the positions a message tells.

        Returns
        -------
        tuple of str and int
            Names the process it came from.

        Notes
        -----
        A delta that begins after what came before has a gap: then the
        old position is told again, and the sender begins from there.
        """
        name = message["name"]
        link = self._links.get(name)
        if link is None or link.boot != message["boot"]:
            link = self._links[name] = Link(boot=message["boot"])
        if message["base"] <= link.got:
            link.got = max(link.got, message["last"])
        if message["of"] == self._boot:
            link.acked = max(link.acked, message["ack"])
        return (name, link.boot)

    def forget(self, name):
        """Forget a peer."""
        self._links.pop(name, None)
