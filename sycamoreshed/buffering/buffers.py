"""The buffers of a forwarding instance: their budget and their sizes."""

import socket

from sycamoreshed.buffering import budget
from sycamoreshed.buffering import sockets
from sycamoreshed.kernel import kernel

__all__ = ["buffers", "socket_buffers"]


@kernel.plugin("buffers", needs=("gateway_metrics",))
async def buffers(core):
    """Provide the `BufferBudget` of this instance."""
    part = budget.BufferBudget(
        max_bytes=budget.max_bytes(core.settings.memory_mb)
    )
    for content in budget.Content:
        core.part("gateway_metrics").export_held_bytes(
            content, lambda content=content: part.held(content)
        )
    yield part


@kernel.plugin("socket_buffers", needs=("journal",))
async def socket_buffers(core):
    """Provide the size of sockets' buffers, or None to leave them alone."""
    size = None if core.settings.memory_mb is None else sockets.BUFFER_BYTES
    with socket.socket() as probe:
        try:
            sockets.set_sizes(probe, size)
        except OSError as err:
            core.part("journal").write("socket_buffers_fixed", why=str(err))
            size = None
    yield size
