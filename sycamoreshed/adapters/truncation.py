"""Ends connections within a response, so that callers notice it."""

import socket
import struct

import aiohttp

__all__ = ["truncate"]

# Enabled, with no time to send what is left: closing resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def truncate(http):
    """Close the connection of a request whose response is not complete.

    A body in chunks or with a length is seen to be truncated.  One that ends
    with its connection, as callers of HTTP/1.0 get it, is so only if the
    connection is reset.

    Parameters
    ----------
    http : aiohttp.web.BaseRequest
    """
    transport = http.transport
    if transport is None:
        return
    sock = transport.get_extra_info("socket")
    if http.version < aiohttp.HttpVersion11 and sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()
