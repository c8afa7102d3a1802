"""Detects crashes of endpoints, and records the requests in flight there."""

import asyncio
import itertools
import typing

from sycamoreshed.adapters import web
from sycamoreshed.findings import blame
from sycamoreshed.findings import fingerprints
from sycamoreshed.kernel import kernel

__all__ = ["CrashDetector", "Probe", "probe"]

# An endpoint that crashes under a request does so as it begins to answer it.
# Once it has sent data for this long, the request is not the cause.
BEGIN_S = 0.5
# A crashed endpoint's host refuses connections at once; one that does not
# answer within this time is cut off instead.
PROBE_TIMEOUT_S = 0.2


class Probe(typing.NamedTuple):
    """Whether a host refuses connections to an address, and what was seen."""

    is_refused: bool
    why: str


class _Call:
    def __init__(self, *, fingerprint, sent_at):
        self.fingerprint = fingerprint
        self.sent_at = sent_at
        self.first_data_at = None
        self.has_begun = False


class CrashDetector:
    """Watches over the requests that this instance has at endpoints.

    Parameters
    ----------
    records : CrashRecords
    publish : callable
        Tells other instances findings.
    clearing : Clearing
    find_endpoint : callable
        Takes the id of an endpoint, returns it or None.
    probe : callable
        Coroutine function of an address and a timeout in seconds; returns a
        `Probe`.
    reaches_others : callable
        Coroutine function of an endpoint; returns whether this instance
        reaches other endpoints.
    is_overloaded : callable
        Takes an endpoint and the time; returns whether it may have failed
        under the requests that it had to reject.
    spawn : callable
    journal : Journal
    clock, unix_ms : callable
        Return the monotonic time in seconds, and the Unix time in ms.
    """

    def __init__(
        self,
        *,
        records,
        publish,
        clearing,
        find_endpoint,
        probe,
        reaches_others,
        is_overloaded,
        spawn,
        journal,
        clock,
        unix_ms,
    ):
        self._records = records
        self._publish = publish
        self._clearing = clearing
        self._find_endpoint = find_endpoint
        self._send_probe = probe
        self._reaches_others = reaches_others
        self._is_overloaded = is_overloaded
        self._spawn = spawn
        self._journal = journal
        self._clock = clock
        self._unix_ms = unix_ms
        self._numbers = itertools.count()
        # By endpoint id, then by number of the call.
        self._in_flight = {}
        self._probes = {}

    def record_start(self, endpoint, fingerprint):
        """Record that a request is sent; return the number of the call."""
        number = next(self._numbers)
        call = _Call(fingerprint=fingerprint, sent_at=self._clock())
        self._in_flight.setdefault(endpoint.id, {})[number] = call
        return number

    def record_data(self, endpoint, number):
        """Record that a part of the answer to a call has arrived."""
        call = self._in_flight[endpoint.id][number]
        if call.has_begun:
            return
        now = self._clock()
        if call.first_data_at is None:
            call.first_data_at = now
        elif now - call.first_data_at >= BEGIN_S:
            call.has_begun = True
            self._record_sound(call.fingerprint)

    def record_end(self, endpoint, number):
        """Record the end of a call; of an unknown number, do nothing."""
        calls = self._in_flight.get(endpoint.id, {})
        calls.pop(number, None)
        if not calls:
            self._in_flight.pop(endpoint.id, None)

    def record_break(self, endpoint):
        """Find out whether an endpoint that broke off a call has crashed.

        Must be called before `record_end` of the call.
        """
        if endpoint.id in self._probes:
            return
        now = self._clock()
        suspects = [
            blame.Suspect(
                call.fingerprint, round(now - call.sent_at, 3), call.has_begun
            )
            for call in self._in_flight.get(endpoint.id, {}).values()
        ]
        self._probes[endpoint.id] = self._spawn(
            self._probe(endpoint, suspects), name="probe for a crash"
        )

    async def settle(self, endpoint):
        """Wait until it is known whether an endpoint has crashed."""
        probe = self._probes.get(endpoint.id)
        if probe is not None:
            await asyncio.wait([probe])

    def record_served(self, fingerprint, *, is_success):
        """Record that an endpoint has answered a request to its end.

        Parameters
        ----------
        fingerprint : str
        is_success : bool
            Whether the endpoint has run it, and not rejected its content.
        """
        self._publish(
            *self._records.record_served(
                fingerprint, now=self._clock(), unix_ms=self._unix_ms()
            )
        )
        if is_success:
            self._record_sound(fingerprint)

    def is_rejected(self, fingerprint, now):
        """Return whether a request must not be sent to any endpoint."""
        return self._records.is_rejected(fingerprint, now)

    def try_probe(self, fingerprint, now):
        """Return whether to send a request with a rejected part as a probe."""
        probes = self._records.record_probe(
            fingerprint,
            now=now,
            unix_ms=self._unix_ms(),
            delay_s=self._clearing.delay_s,
        )
        self._publish(*probes)
        return bool(probes)

    def is_suspect(self, fingerprint, now):
        """Return whether a request may have crashed an endpoint."""
        return self._records.blamed(fingerprint, now) > 0

    def retry_after_s(self, fingerprint, now):
        """Return the seconds for which a request will be rejected.

        Makes the rejection known to all instances, for that time.
        """
        self._publish(
            *self._records.record_rejection(
                fingerprint, now=now, unix_ms=self._unix_ms()
            )
        )
        return self._records.retry_after_s(fingerprint, now)

    def _record_sound(self, fingerprint):
        now = self._clock()
        self._records.record_sound(fingerprint, now)
        if self._records.has_rejection(fingerprint, now):
            self._clearing.wake()

    async def _probe(self, endpoint, suspects):
        try:
            result = await self._send_probe(endpoint.address, PROBE_TIMEOUT_S)
            # A cut may refuse connections as well as a crash.
            if result.is_refused and not await self._reaches_others(endpoint):
                result = Probe(False, "no other endpoint is reached")
            if result.is_refused:
                self._record_crash(endpoint, suspects)
            else:
                self._journal.write(
                    "endpoint_up", endpoint=endpoint.id, why=result.why
                )
        finally:
            del self._probes[endpoint.id]

    def _record_crash(self, endpoint, suspects):
        listed = self._find_endpoint(endpoint.id)
        if listed is None or listed.is_draining:
            # It was to end; what it ended under is no cause.
            return
        is_overload = self._is_overloaded(endpoint, self._clock())
        if is_overload:
            # Of the requests that it ran, none as a whole is the cause.
            suspects = [
                each
                for each in suspects
                if fingerprints.parts_of(each.fingerprint)
            ]
        self._journal.write(
            "endpoint_crashed",
            endpoint=endpoint.id,
            suspects=[each.fingerprint for each in suspects],
        )
        if not suspects:
            return
        self._publish(
            self._records.record_crash(
                endpoint,
                suspects,
                now=self._clock(),
                unix_ms=self._unix_ms(),
                is_overload=is_overload,
            )
        )


async def probe(address, timeout_s):
    """Open a connection to an address; return a `Probe`."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError as err:
        return Probe(True, web.describe(err))
    except (TimeoutError, OSError) as err:
        return Probe(False, web.describe(err))
    writer.close()
    return Probe(False, "accepts connections")


@kernel.plugin(
    "crashes",
    needs=(
        "catalog",
        "clearing",
        "crash_records",
        "crash_summaries",
        "findings",
        "journal",
        "link_checker",
        "overload_records",
    ),
)
async def crashes(core):
    """Provide the `CrashDetector`."""
    yield CrashDetector(
        records=core.part("crash_records"),
        publish=core.part("findings").publish,
        clearing=core.part("clearing"),
        find_endpoint=core.part("catalog").endpoint,
        probe=probe,
        reaches_others=core.part("link_checker").reaches_others,
        is_overloaded=core.part("overload_records").is_overloaded,
        spawn=core.spawn,
        journal=core.part("journal"),
        clock=core.clock,
        unix_ms=core.unix_ms,
    )
