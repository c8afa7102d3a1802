"""Takes the daemon's addresses before anything else is started."""

import socket

from sycamoreshed import exceptions
from sycamoreshed.kernel import kernel

__all__ = ["bind", "split_address"]

# Names in the settings; a daemon has those that its settings name.
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
    """Return a socket that is bound to an address.

    Parameters
    ----------
    address : str
    path : str
        Where the address stands in the settings.

    Raises
    ------
    CheckError
        If the address cannot be had.
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
    """Provide the bound sockets by their name in the settings.

    Notes
    -----
    Connections to others leave from the same address, from a port that
    the system chooses.  Started before its sockets are bound, a daemon
    now and then found its own port taken by its own connection, and did
    not start.
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
        for each in bound.values():
            each.close()
