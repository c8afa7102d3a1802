"""A crash detector that finds nothing out by itself, for tests."""

__all__ = ["Crashes"]


class Crashes:
    """A crash detector that knows what a test tells it.

    Attributes
    ----------
    suspects, rejected : set of str
        Fingerprints.
    broken : list of str
        Ids of endpoints that broke off a request.
    served : list of str
        Fingerprints of requests that were served.
    """

    def __init__(self):
        self.suspects = set()
        self.rejected = set()
        self.broken = []
        self.served = []

    def record_start(self, _endpoint, _fingerprint):
        """Return a number for the call."""
        return 0

    def record_data(self, _endpoint, _number):
        """Do nothing."""

    def record_end(self, _endpoint, _number):
        """Do nothing."""

    def record_break(self, endpoint):
        """Record that an endpoint broke off a call."""
        self.broken.append(endpoint.id)

    def record_served(self, fingerprint, *, is_success):
        """Record that a request was served."""
        self.served.append(fingerprint)

    async def settle(self, _endpoint):
        """Do nothing: nothing has to be found out."""

    def try_probe(self, _fingerprint, _now):
        """Return that none is sent."""
        return False

    def is_suspect(self, fingerprint, _now):
        """Return whether the test named it as a suspect."""
        return fingerprint in self.suspects

    def is_rejected(self, fingerprint, _now):
        """Return whether the test named it as rejected."""
        return fingerprint in self.rejected

    def retry_after_s(self, _fingerprint, _now):
        """Return an hour."""
        return 3600.0
