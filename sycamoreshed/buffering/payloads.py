"""Bodies that are sent as fast as the peer reads them."""

from aiohttp import payload

__all__ = ["SLICE_BYTES", "SlicedPayload"]

# Bodies up to this size are sent at once.
SLICE_BYTES = 128 * 1024


class SlicedPayload(payload.BytesPayload):
    """A body that is sent in slices.

    Sent at once, it would be copied into the connection's buffer, where the
    copy stays until the peer has read it.
    """

    async def write_with_length(self, writer, content_length):
        """Write the body; wait for the peer after each slice."""
        view = memoryview(self._value)[:content_length]
        for start in range(0, len(view), SLICE_BYTES):
            await writer.write(view[start : start + SLICE_BYTES])
            await writer.drain()
