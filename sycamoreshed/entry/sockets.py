"""Bind the daemon's addresses before it opens any connection."""

import socket

from sycamoreshed import exceptions
from sycamoreshed.kernel import kernel

__all__ = ["bind", "split_address"]

# Settings that hold an address; each daemon has only some of them.
LISTENERS = ("control", "public", "ready")


def split_address(address):
    """Return host and port of an ``IP:port`` address.

    Examples
    --------
    >>> split_address("[::1]:80")
    ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def bind(address, *, path):
    """Return a socket bound to an address.

    Parameters
    ----------
    address : str
    path : str
        Path of the address in the settings, for the error.

    Raises
    ------
    CheckError
        If the address cannot be bound.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind((host, port))
    except OSError as err:
        bound.close()
        raise exceptions.CheckError(
            source="settings",
            path=path,
            expected=f"expected an address to listen on ({err.strerror})",
        ) from None
    return bound


@kernel.plugin("sockets")
async def sockets(core):
    """Provide the bound sockets by the name of their setting.

    Notes
    -----
    Outgoing connections use the same IP address and a port that the
    system chooses.  If opened before the sockets are bound, such a
    connection may occupy the daemon's own port, and the daemon does not
    start.
    """
    bound = {}
    try:
        for name in LISTENERS:
            address = getattr(core.settings, name, None)
            if address is None:
                continue
            bound[name] = bind(address, path=f"$.{name}")
        yield bound
    finally:
        for sock in bound.values():
            sock.close()
