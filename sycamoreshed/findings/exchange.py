"""Tells other instances what this one has found, and learns what they have.

A finding goes to one instance of each zone, selected by rendezvous hashing,
which tells the others of its zone.  So a finding costs one message between
zones for each zone, whatever their size, and reaches every instance that can
be reached within a round trip or two, with or without the platform's store.

Messages may be lost, and instances start or are cut off for a while.  So each
instance compares its findings with those of a random other one at intervals.
Where a zone cannot be reached, and for durable topics, a finding is written to
the store as well; see `sycamoreshed.findings.stored`.
"""

import asyncio
import functools
import random
import typing

import msgspec

from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.findings import avoidance
from sycamoreshed.findings import board
from sycamoreshed.findings import topics
from sycamoreshed.kernel import kernel
from sycamoreshed.membership import rendezvous

__all__ = ["COMPARE_PATH", "PATH", "Comparison", "Exchange", "Message"]

PATH = "/control/findings"
COMPARE_PATH = "/control/findings/compare"
# Findings are gathered for this long: when an endpoint crashes, all instances
# with requests there report it at the same moment.
GATHER_S = 0.02
# For other instances to answer.
TIMEOUT_S = 0.5
# Instances of a zone that are tried in turn.
MAX_ATTEMPTS = 3
# Interval between comparisons; shorter until the first one succeeded.
COMPARE_INTERVAL_S = 3.0
FIRST_COMPARE_INTERVAL_S = 0.2
_SUCCESSES = (200, 204)


class Message(typing.NamedTuple):
    """Findings that an instance sends to another one.

    Parameters
    ----------
    findings : list of Finding
    is_relayed : bool
        Whether the sender has them from another instance of the zone.
        Otherwise the receiver has to tell the others of its zone.
    """

    findings: list[board.Finding]
    is_relayed: bool


class Comparison(typing.NamedTuple):
    """Answer to an instance that sent the digest of its findings.

    Parameters
    ----------
    findings : list of Finding or None
        All findings of the receiver; None if the digests are equal.
    """

    findings: list[board.Finding] | None


class Exchange:
    """Exchanges findings with other instances.

    Parameters
    ----------
    board : Board
    own, zone : str
        Name and zone of this instance.
    peers : PeerDirectory
    send : callable
        Coroutine function of a control address, a path and a body; returns
        a `Reply` or a `Failure`.
    save : callable
        Writes findings to the store.
    spawn : callable
    journal : Journal
    clock : callable
    rng : random.Random, optional
    """

    def __init__(
        self,
        *,
        board,
        own,
        zone,
        peers,
        send,
        save,
        spawn,
        journal,
        clock,
        rng=None,
    ):
        self._board = board
        self._own = own
        self._zone = zone
        self._peers = peers
        self._send = send
        self._save = save
        self._spawn = spawn
        self._journal = journal
        self._clock = clock
        self._rng = rng or random.Random()
        self._avoidance = avoidance.Avoidance()
        self._to_zones = []
        self._to_members = []
        self._wake = asyncio.Event()

    def publish(self, *findings):
        """Tell all instances findings of this instance, which may be None."""
        made = [each for each in findings if each is not None]
        durable = [each for each in made if topics.find(each.topic).is_durable]
        if durable:
            self._save(durable)
        if made:
            self._to_zones += made
            self._wake.set()

    def receive(self, message):
        """Accept findings of another instance."""
        findings = list(filter(self._is_sound, message.findings))
        new = self._board.merge(findings, self._clock())
        if not message.is_relayed:
            # Also what is not new here, as others may not have it.
            self._to_members += findings
            self._wake.set()
        if new:
            self._journal.write(
                "findings_received",
                topics=sorted({each.topic for each in new}),
                count=len(new),
            )

    def _is_sound(self, finding):
        try:
            topics.check(finding.topic, finding.value, finding.stamp)
        except msgspec.ValidationError as err:
            self._journal.write(
                "finding_bad", topic=finding.topic, why=str(err)
            )
            return False
        return True

    def compare(self, digest):
        """Return the `Comparison` for an instance with a digest."""
        now = self._clock()
        if digest == self._board.digest(now):
            return Comparison(None)
        return Comparison(self._board.findings(now))

    async def run_sending(self):
        """Send findings until cancelled."""
        while True:
            await self._wake.wait()
            await asyncio.sleep(GATHER_S)
            self._wake.clear()
            own, self._to_zones = self._to_zones, []
            received, self._to_members = self._to_members, []
            for zone in sorted(self._peers.zones() if own else ()):
                self._spawn(self._tell_zone(zone, own), name="send findings")
            if received:
                self._spawn(
                    self._tell_members(received), name="relay findings"
                )

    async def run_comparing(self):
        """Compare findings with other instances until cancelled."""
        interval_s = FIRST_COMPARE_INTERVAL_S
        while True:
            await asyncio.sleep(interval_s * self._rng.uniform(0.75, 1.25))
            control = self._peers.random_other(self._clock(), self._rng)
            if control is None:
                continue
            if await self._compare_with(control):
                interval_s = COMPARE_INTERVAL_S

    async def _compare_with(self, control):
        digest = self._board.digest(self._clock())
        reply = await self._request(control, COMPARE_PATH, digest, Comparison)
        if isinstance(reply, kinds.Failure):
            return False
        if reply.findings:
            self.receive(Message(reply.findings, is_relayed=True))
        return True

    async def _tell_zone(self, zone, findings):
        """Tell one instance of a zone, which tells the others there."""
        for _ in range(MAX_ATTEMPTS):
            now = self._clock()
            members = self._avoidance.available(
                self._peers.of_zone(zone, now), now
            )
            if not members:
                break
            (name,) = rendezvous.top(f"findings {zone}", members, 1)
            if name == self._own:
                await self._tell_members(findings)
                return
            message = Message(findings, is_relayed=False)
            reply = await self._request(members[name], PATH, message)
            if not isinstance(reply, kinds.Failure):
                return
        self._save(findings)

    async def _tell_members(self, findings):
        """Tell all other instances of the own zone."""
        members = self._peers.of_zone(self._zone, self._clock())
        members.pop(self._own, None)
        message = Message(findings, is_relayed=True)
        await asyncio.gather(
            *(
                self._request(control, PATH, message)
                for control in members.values()
            )
        )

    async def _request(self, control, path, body, reply_type=None):
        """Return the decoded reply of an instance, or a `Failure`."""
        reply = await self._send(control, path, body)
        if isinstance(reply, kinds.Failure):
            self._avoidance.add(control, self._clock())
            return self._lost(control, reply)
        self._peers.record_success(control)
        if reply.status not in _SUCCESSES:
            return self._lost(
                control,
                kinds.Failure(
                    kinds.Kind.REFUSED, f"instance answered {reply.status}"
                ),
            )
        if reply_type is None:
            return reply.body
        try:
            return msgspec.convert(reply.body, reply_type)
        except msgspec.ValidationError as err:
            return self._lost(
                control, kinds.Failure(kinds.Kind.REFUSED, str(err))
            )

    def _lost(self, control, failure):
        self._journal.write("findings_lost", peer=control, why=failure.reason)
        return failure


async def _send(core, control, path, body):
    return await web.fetch(
        core.part("web"), "POST", control, path, timeout=TIMEOUT_S, body=body
    )


@kernel.plugin("board")
async def shared_board(_core):
    """Provide the findings."""
    yield board.Board()


@kernel.plugin(
    "findings", needs=("board", "journal", "peers", "stored_findings", "web")
)
async def findings(core):
    """Exchange findings with other instances while the daemon runs."""
    exchange = Exchange(
        board=core.part("board"),
        own=core.settings.instance,
        zone=core.settings.zone,
        peers=core.part("peers"),
        send=functools.partial(_send, core),
        save=core.part("stored_findings").save,
        spawn=core.spawn,
        journal=core.part("journal"),
        clock=core.clock,
    )
    core.keep_running(exchange.run_sending, name="gather findings")
    core.keep_running(exchange.run_comparing, name="compare findings")
    yield exchange
