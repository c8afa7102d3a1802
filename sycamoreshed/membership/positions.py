"""Positions up to which two processes have each other's records."""

__all__ = ["PeerPosition", "PeerPositions"]


class PeerPosition:
    """Replication state of one process of a peer.

    Attributes
    ----------
    boot : int
        Identifies the process.
    received : int
        Position up to which its records were received here.
    acked : int
        Position up to which it acknowledged the records of this process.
    """

    def __init__(self, *, boot):
        self.boot = boot
        self.received = 0
        self.acked = 0


class PeerPositions:
    """A `PeerPosition` for each peer.

    Parameters
    ----------
    boot : int
        Identifies this process.
    """

    def __init__(self, *, boot):
        self._boot = boot
        self._positions = {}

    def get(self, name):
        """Return a peer's position; an unknown peer starts at zero."""
        return self._positions.get(name) or PeerPosition(boot=0)

    def update(self, message):
        """Update a peer's positions from a message.

        Returns
        -------
        tuple of str and int
            Identifies the process that sent it.

        Notes
        -----
        A delta whose base is beyond `received` leaves a gap: its records
        are merged, but `received` is not advanced, so the missing records
        are not acknowledged.
        """
        name = message["name"]
        position = self._positions.get(name)
        if position is None or position.boot != message["boot"]:
            position = self._positions[name] = PeerPosition(
                boot=message["boot"]
            )
        if message["base"] <= position.received:
            position.received = max(position.received, message["last"])
        if message["of"] == self._boot:
            position.acked = max(position.acked, message["ack"])
        return (name, position.boot)

    def forget(self, name):
        """Remove the positions of a peer."""
        self._positions.pop(name, None)
