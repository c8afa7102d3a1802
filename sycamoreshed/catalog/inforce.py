"""The configuration in force: the newest one that this process knows."""

import msgspec

from sycamoreshed.catalog import routes

__all__ = ["ConfigurationInForce"]


class ConfigurationInForce:
    """Keeps the newest configuration, whatever its row in the store says.

    Parameters
    ----------
    decode : callable
        Decodes bytes to a `Configuration`; raises `msgspec.MsgspecError`.
    journal : Journal
    """

    def __init__(self, *, decode, journal):
        self._decode = decode
        self._journal = journal
        self._configuration = None
        self._raw = None
        self._routes = routes.RouteTable(routes=())
        self._is_unlisted = False

    @property
    def configuration(self):
        """The `Configuration`, or None."""
        return self._configuration

    @property
    def routes(self):
        """The `RouteTable` of the configuration."""
        return self._routes

    @property
    def unlisted(self):
        """Bytes of the configuration if its row is older, or None.

        The store may have come back from a copy with an older one.
        """
        return self._raw if self._is_unlisted else None

    def update(self, raw, store_version, source):
        """Take the configuration of the store's row if it is newer.

        Parameters
        ----------
        raw : bytes or None
            None without a row.
        store_version : int
        source : str
            Who told, for the journal.
        """
        listed = None
        if raw is not None:
            listed = self._decode_logged(raw, store_version)
        if listed is not None:
            self._put_in_force(listed, raw, store_version, source)
        current = self._configuration
        self._is_unlisted = current is not None and (
            listed is None or listed.version < current.version
        )

    def adopt(self, raw, store_version, source):
        """Take the one that another instance has; return whether newer."""
        decoded = self._decode_logged(raw, store_version)
        if decoded is None:
            return False
        if not self._put_in_force(decoded, raw, store_version, source):
            return False
        self._is_unlisted = True
        return True

    def _decode_logged(self, raw, store_version):
        """Return the configuration in a row, or None."""
        try:
            return self._decode(raw)
        except msgspec.MsgspecError as err:
            self._journal.write(
                "configuration_bad", store_version=store_version, why=str(err)
            )
            return None

    def _put_in_force(self, decoded, raw, store_version, source):
        """Put a configuration in force if it is newer; return whether so."""
        current = self._configuration
        if current is not None and decoded.version <= current.version:
            return False
        self._configuration = decoded
        self._raw = raw
        self._routes = routes.RouteTable(routes=decoded.routes)
        self._journal.write(
            "configuration",
            version=decoded.version,
            store_version=store_version,
            routes=len(decoded.routes),
            keys=len(decoded.teams),
            source=source,
        )
        return True
