"""Finds calls whose answers are lost, by later calls that were answered.

An endpoint that processes one call at a time answers them in order.  Once it
has answered a call, the answer to an earlier one does not come any more, and
the pieces of that one can be processed again before its timeout.
"""

import asyncio

__all__ = ["OpenCalls"]

# An answer that is on its way may be overtaken by the next one, which comes on
# another connection.
GRACE_S = 0.2


class OpenCall:
    """A call that has not been answered.

    Attributes
    ----------
    lost : asyncio.Future
        Gets a result once the answer is known to be lost.
    """

    def __init__(self):
        self.lost = asyncio.get_running_loop().create_future()


class OpenCalls:
    """The calls in progress at each endpoint, in the order of sending."""

    def __init__(self):
        self._calls = {}

    def start(self, endpoint):
        """Record that a call is sent; return its `OpenCall`."""
        call = OpenCall()
        self._calls.setdefault(endpoint.id, []).append(call)
        return call

    def end(self, endpoint, call, *, is_answered):
        """Record the end of a call.

        Parameters
        ----------
        endpoint : Endpoint
        call : OpenCall
        is_answered : bool
            Whether the endpoint has answered it, so that the answers to
            calls before it are lost unless they come within `GRACE_S`.
        """
        calls = self._calls[endpoint.id]
        position = calls.index(call)
        if is_answered and position:
            asyncio.get_running_loop().call_later(
                GRACE_S, _give_up, calls[:position]
            )
        calls.remove(call)
        if not calls:
            del self._calls[endpoint.id]


def _give_up(calls):
    for each in calls:
        if not each.lost.done():
            each.lost.set_result(None)
