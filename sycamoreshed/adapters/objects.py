"""Client of the platform's object store, which holds JSON by name."""

import urllib.parse

from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel

__all__ = ["Objects"]


class Objects:
    """Client of the object store."""

    def __init__(self, *, session, address, timeout):
        self._session = session
        self._address = address
        self._timeout = timeout

    async def get(self, name):
        """Return an object, None if there is none, or Failure."""
        reply = await self._fetch("GET", name)
        if isinstance(reply, kinds.Failure):
            return reply
        if reply.status == 404:
            return None
        return reply.body if reply.status == 200 else _rejection_failure(reply)

    async def put(self, name, value):
        """Store an object.

        Returns
        -------
        True or Failure
            A failure with ``sent`` true means that the object may have been
            stored.
        """
        reply = await self._fetch("PUT", name, body=value)
        if isinstance(reply, kinds.Failure):
            return reply
        return True if reply.status == 200 else _rejection_failure(reply)

    async def delete(self, name):
        """Delete an object.

        Returns
        -------
        bool or Failure
            False if there was none.
        """
        reply = await self._fetch("DELETE", name)
        if isinstance(reply, kinds.Failure):
            return reply
        if reply.status == 404:
            return False
        return True if reply.status == 200 else _rejection_failure(reply)

    async def _fetch(self, method, name, *, body=None):
        reply = await web.fetch(
            self._session,
            method,
            self._address,
            "/objects/" + urllib.parse.quote(name, safe=""),
            timeout=self._timeout,
            body=body,
        )
        if isinstance(reply, kinds.Failure):
            return reply._replace(kind=kinds.Kind.STORE_AWAY)
        if reply.status >= 500:
            return kinds.Failure(
                kinds.Kind.STORE_AWAY, f"status {reply.status}", sent=True
            )
        return reply


def _rejection_failure(reply):
    return kinds.Failure(
        kinds.Kind.STORE_AWAY, f"status {reply.status}", sent=False
    )


@kernel.plugin("objects", needs=("web",))
async def objects(core):
    """Provide the client of the object store."""
    yield Objects(
        session=core.part("web"),
        address=core.settings.objects,
        timeout=4 * core.settings.store_timeout_s,
    )
