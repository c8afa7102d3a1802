"""Sizes of the buffers that the system has for sockets."""

import socket

from sycamoreshed.kernel import kernel

__all__ = ["set_sizes"]

# Of each direction, if this instance's memory is limited.
BUFFER_BYTES = 64 * 1024


def set_sizes(sock, size):
    """Set the sizes of a socket's buffers; None leaves them as they are."""
    if size is None:
        return
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, size)


@kernel.plugin("socket_buffers", needs=("journal",))
async def socket_buffers(core):
    """Provide the size of sockets' buffers, or None to leave them alone."""
    size = None if core.settings.memory_mb is None else BUFFER_BYTES
    with socket.socket() as probe:
        try:
            set_sizes(probe, size)
        except OSError as err:
            core.part("journal").write("socket_buffers_fixed", why=str(err))
            size = None
    yield size
