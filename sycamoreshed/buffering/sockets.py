"""The buffers that the system has for sockets."""

import fcntl
import socket
import struct
import termios

__all__ = ["BUFFER_BYTES", "queued_bytes", "set_sizes"]

# Of each direction, if this instance's memory is limited.
BUFFER_BYTES = 64 * 1024


def set_sizes(sock, size, options=(socket.SO_SNDBUF, socket.SO_RCVBUF)):
    """Set the sizes of a socket's buffers; None leaves them as they are."""
    if size is None:
        return
    for option in options:
        sock.setsockopt(socket.SOL_SOCKET, option, size)


def queued_bytes(transport):
    """Return the bytes in a socket that its peer has not taken.

    Notes
    -----
    A socket takes new bytes only after a good part of its buffer is free, so
    a peer that reads slowly but steadily would seem to read nothing for
    seconds if these were not counted.

    Raises
    ------
    OSError
        If the system does not tell.
    """
    descriptor = transport.get_extra_info("socket").fileno()
    raw = fcntl.ioctl(descriptor, termios.TIOCOUTQ, struct.pack("i", 0))
    return struct.unpack("i", raw)[0]
