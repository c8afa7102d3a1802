"""Sends calls to endpoints through another instance.

An instance that is cut off from all endpoints still has its callers.  Another
instance sends their requests on, once: it never passes a call to a third one,
and sends nothing that this instance could not have sent itself.
"""

import random

import msgspec
import multidict

from sycamoreshed.errors import kinds
from sycamoreshed.findings import avoidance
from sycamoreshed.forwarding import client as clients
from sycamoreshed.kernel import kernel
from sycamoreshed.links import wire

__all__ = ["PATH", "IndirectSender"]

PATH = "/control/calls"
# Instances that are asked in turn to send a call.
MAX_ATTEMPTS = 3
# Refusals of stopping instances do not count as attempts, up to this number:
# during a series of stops the next instance may refuse the call as well.
MAX_STOPPING = 12
# If so many different instances in a row cannot send a call, none is asked for
# a while: all may be cut off, or all endpoints down.
MAX_REFUSALS = 6
PAUSE_S = 0.5
# Seconds for the body of a refusal, which follows its head at once.
REFUSAL_TIMEOUT_S = 0.5
# Cost of the way between two instances or endpoints: in the same zone, region,
# or in different regions.
WAY_COSTS = (0, 1, 20)
# Of an instance without this path, which is of another version.
_UNKNOWN_PATH_STATUSES = (404, 405)


class IndirectSender:
    """Has other instances send calls to endpoints.

    Parameters
    ----------
    own, zone : str
        Name and zone of this instance.
    regions : dict of str to str
        Region of each zone.
    peers : PeerDirectory
    client : EndpointClient
    journal : Journal
    clock : callable
    rng : random.Random, optional
    """

    def __init__(
        self, *, own, zone, regions, peers, client, journal, clock, rng=None
    ):
        self._own = own
        self._zone = zone
        self._regions = regions
        self._peers = peers
        self._client = client
        self._journal = journal
        self._clock = clock
        self._rng = rng or random.Random()
        # Instances that cannot send calls, and those that gave no answer or
        # stop.  The latter are the last choice: they may merely wait for a
        # slow endpoint, and send what ends before they do.
        self._avoidance = avoidance.Avoidance()
        self._last_choice = avoidance.Avoidance()
        # Zones of which an instance could not send a call, and when.
        self._zone_failures = {}
        self._refusals = 0
        self._paused_until = float("-inf")

    async def send(self, endpoint, call, body, *, regions):
        """Send a call; return the head of the endpoint's answer.

        Parameters
        ----------
        endpoint : Endpoint
        call : Call
        body : bytes
        regions : frozenset of str or None
            Those whose instances may get the call; None for all.

        Returns
        -------
        aiohttp.ClientResponse, Failure or None
            The caller must close a response.  None if no instance could
            send the call.
        """
        started_at = self._clock()
        attempts = 0
        stopping = set()
        while attempts < MAX_ATTEMPTS and len(stopping) < MAX_STOPPING:
            now = self._clock()
            remaining_s = call.timeout_s - (now - started_at)
            selected = self._select(endpoint.zone, regions, now, stopping)
            if selected is None or remaining_s <= 0:
                return None
            zone, name, control = selected
            self._journal.write(
                "sent_indirectly",
                request=call.request,
                endpoint=endpoint.id,
                instance=name,
            )
            result = await self._send_through(
                control, call._replace(timeout_s=remaining_s), body
            )
            if _is_stopping(result):
                # The next call may be shorter.
                stopping.add(control)
                self._last_choice.add(control, self._clock())
                self._log_lost(name, result, call)
                continue
            attempts += 1
            if not _is_lost(result):
                self._refusals = 0
                self._zone_failures.pop(zone, None)
                if isinstance(result, kinds.Failure):
                    self._last_choice.add(control, self._clock())
                    self._zone_failures[zone] = self._clock()
                return _as_failure(result)
            self._record_lost(zone, name, control)
            self._log_lost(name, result, call)
        return None

    def _select(self, endpoint_zone, regions, now, stopping):
        """Return zone, name and address of an instance, or None."""
        if now < self._paused_until:
            return None
        zones = [
            each
            for each in self._peers.zones()
            if regions is None or self._regions.get(each) in regions
        ]
        zones.sort(
            key=lambda each: (
                self._zone_failures.get(each, float("-inf")),
                self._way_cost(self._zone, each)
                + self._way_cost(each, endpoint_zone),
                each,
            )
        )
        last_choice = None
        for zone in zones:
            members = self._peers.of_zone(zone, now)
            members.pop(self._own, None)
            members = {
                name: control
                for name, control in members.items()
                if control not in stopping
            }
            members = self._avoidance.available(members, now)
            preferred = self._last_choice.available(members, now)
            if preferred:
                return self._pick(zone, preferred)
            if members and last_choice is None:
                last_choice = zone, members
        return last_choice and self._pick(*last_choice)

    def _pick(self, zone, members):
        name = self._rng.choice(sorted(members))
        return zone, name, members[name]

    def _way_cost(self, zone, other):
        if zone == other:
            return WAY_COSTS[0]
        same = self._regions.get(zone) == self._regions.get(other)
        return WAY_COSTS[1 if same else 2]

    async def _send_through(self, control, call, body):
        """Return a response, a `Refusal` or a `Failure`."""
        response = await self._client.send(
            "POST",
            control,
            PATH,
            multidict.CIMultiDict(),
            wire.encode_call(call, body),
            timeout_s=call.timeout_s,
        )
        if isinstance(response, kinds.Failure):
            return response
        outcome = response.headers.get(wire.OUTCOME_HEADER)
        if outcome == wire.Outcome.ANSWERED:
            return response
        if outcome is None:
            response.close()
            return kinds.Failure(
                kinds.Kind.REFUSED,
                f"instance answered {response.status}",
                sent=response.status not in _UNKNOWN_PATH_STATUSES,
            )
        answer = await clients.read_full(response, timeout_s=REFUSAL_TIMEOUT_S)
        if isinstance(answer, kinds.Failure):
            return answer
        try:
            return wire.decode_refusal(answer.body)
        except msgspec.MsgspecError as err:
            return kinds.Failure(kinds.Kind.REFUSED, str(err), sent=True)

    def _record_lost(self, zone, name, control):
        now = self._clock()
        # Calls that were under way at the same time tell nothing new.
        is_new = bool(self._avoidance.available({name: control}, now))
        self._avoidance.add(control, now)
        self._zone_failures[zone] = now
        self._refusals += is_new
        if self._refusals >= MAX_REFUSALS:
            self._refusals = 0
            self._paused_until = now + PAUSE_S

    def _log_lost(self, name, result, call):
        self._journal.write(
            "indirect_lost",
            request=call.request,
            instance=name,
            why=result.reason,
        )


def _is_stopping(result):
    """Return whether an instance has not sent a call because it stops."""
    return _is_lost(result) and result.kind is kinds.Kind.DRAINING


def _is_lost(result):
    """Return whether another instance may send the call instead.

    The call has then certainly not reached the endpoint.
    """
    if isinstance(result, kinds.Failure):
        return not result.sent
    return isinstance(result, wire.Refusal) and result.try_others


def _as_failure(result):
    if isinstance(result, wire.Refusal):
        return kinds.Failure(result.kind, result.reason, sent=result.sent)
    return result


@kernel.plugin(
    "indirect_sender", needs=("endpoint_client", "journal", "peers")
)
async def indirect_sender(core):
    """Provide the `IndirectSender`."""
    yield IndirectSender(
        own=core.settings.instance,
        zone=core.settings.zone,
        regions=core.settings.zones,
        peers=core.part("peers"),
        client=core.part("endpoint_client"),
        journal=core.part("journal"),
        clock=core.clock,
    )
