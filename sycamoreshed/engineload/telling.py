"""Sends counts to other instances, and logs what is lost or not valid."""

import msgspec

from sycamoreshed.engineload import messages
from sycamoreshed.errors import kinds

__all__ = ["Holders", "Teller"]

# At most one line of each kind within this time.
LOG_INTERVAL_S = 1.0
# An instance that did not answer them all is not used again before they end.
MAX_TAKE_BACKS = 5
_SUCCESS = 200


class Holders:
    """Instances that count what they were told, or may: the answer was lost.

    Examples
    --------
    >>> holders = Holders(ttl_s=1.2)
    >>> holders.add("10.0.0.1:1", 5.0)
    >>> holders.add("10.0.0.2:1", 5.5)
    >>> holders.remove_others("10.0.0.2:1", 6.0)
    ['10.0.0.1:1']
    """

    def __init__(self, *, ttl_s):
        self._ttl_s = ttl_s
        self._told_at = {}

    def add(self, control, now):
        """Record that an instance is told counts."""
        self._told_at[control] = now

    def remove_others(self, control, now):
        """Return, once, those besides one that have not expired."""
        others = [
            each
            for each, told_at in self._told_at.items()
            if each != control and now - told_at < self._ttl_s
        ]
        self._told_at = {
            each: told_at
            for each, told_at in self._told_at.items()
            if each == control
        }
        return others


class Teller:
    """Tells other instances counts, in numbered messages.

    Parameters
    ----------
    own, zone : str
        Name and zone of this instance.
    boot : int
        Unix time in ms at which it started.
    send : callable
        Coroutine function of a control address, a `Counts` and a timeout in
        seconds; returns a `Reply` of the HTTP client or a `Failure`.
    peers : PeerDirectory
    journal : Journal
    metrics : GatewayMetrics
    clock : callable
    """

    def __init__(
        self, *, own, zone, boot, send, peers, journal, metrics, clock
    ):
        self._own = own
        self._zone = zone
        self._boot = boot
        self._send = send
        self._peers = peers
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        self._sequence = 0
        # By event: the time of the latest line, and those left out since.
        self._lines = {}

    async def tell(
        self, control, loads, *, timeout_s, speeds=None, is_total=False
    ):
        """Send counts to an instance.

        Returns
        -------
        Reply or Failure
        """
        self._sequence += 1
        counts = messages.Counts(
            sender=self._own,
            zone=self._zone,
            boot=self._boot,
            sequence=self._sequence,
            loads=loads,
            speeds=speeds,
            is_total=is_total,
        )
        answer = await self._send(control, counts, timeout_s)
        result = self._decode(control, answer)
        is_lost = isinstance(result, kinds.Failure)
        self._metrics.record_engine_load_message(
            "total" if is_total else "own", "lost" if is_lost else "taken"
        )
        if is_lost:
            self._log("engine_load_lost", peer=control, why=result.reason)
        return result

    async def take_back(self, control, *, timeout_s, is_total=False):
        """Tell an instance that it has nothing to count any more."""
        for _ in range(MAX_TAKE_BACKS):
            result = await self.tell(
                control, {}, timeout_s=timeout_s, is_total=is_total
            )
            if not isinstance(result, kinds.Failure):
                return

    def log_ignored(self, why):
        """Log that a message of another instance was ignored."""
        self._metrics.record_engine_load_message("received", "ignored")
        self._log("engine_load_bad", why=why)

    def _decode(self, control, answer):
        if isinstance(answer, kinds.Failure):
            return answer
        self._peers.record_success(control)
        if answer.status != _SUCCESS:
            return kinds.Failure(
                kinds.Kind.REFUSED, f"instance answered {answer.status}"
            )
        try:
            return messages.decode_reply(answer.body)
        except msgspec.ValidationError as err:
            return kinds.Failure(kinds.Kind.REFUSED, str(err))

    def _log(self, event, **fields):
        now = self._clock()
        logged_at, left_out = self._lines.get(event, (float("-inf"), 0))
        if now - logged_at < LOG_INTERVAL_S:
            self._lines[event] = (logged_at, left_out + 1)
            return
        self._lines[event] = (now, 0)
        self._journal.write(event, left_out=left_out, **fields)
