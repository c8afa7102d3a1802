"""Sizes of the buffers that the system has for sockets."""

import socket

__all__ = ["BUFFER_BYTES", "set_sizes"]

# Of each direction, if this instance's memory is limited.
BUFFER_BYTES = 64 * 1024


def set_sizes(sock, size, options=(socket.SO_SNDBUF, socket.SO_RCVBUF)):
    """Set the sizes of a socket's buffers; None leaves them as they are."""
    if size is None:
        return
    for option in options:
        sock.setsockopt(socket.SOL_SOCKET, option, size)
