"""Gossip protocol between entry instances.

Each instance exchanges a small message with a few peers every `PERIOD_S`,
and shortly after an urgent record changed.  A message carries the
records that changed since the receiver's last acknowledgement, and fields
that other plug-ins add.
"""

import asyncio
import contextlib
import random
import time

from aiohttp import web
from loguru import logger
import msgspec

from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.membership import members
from sycamoreshed.membership import messages
from sycamoreshed.membership import positions
from sycamoreshed.membership import topics
from sycamoreshed.membership import view

__all__ = ["Field", "Gossip"]

PERIOD_S = 2.0
# Cross-zone traffic is billed, so its period is longer; urgent changes do
# not wait for it.
CROSS_ZONE_PERIOD_S = 4.0
# Changes within this time are sent in one message.
BATCH_DELAY_S = 0.03
TIMEOUT_S = 1.0
# Time a peer is not chosen as a partner after repeated failures, unless a
# message from it arrives.
AVOID_S = 5.0
# Consecutive failed exchanges after which a peer is avoided and, in the own
# zone, suspected.
FAILURES_UNTIL_SUSPECT = 2
RETRY_DELAY_S = 0.5
RECONNECT_PERIOD_S = 3.0
# First period after the start, used while there are no partners; doubles
# with each attempt up to the period above and is not reset.  An instance that
# starts before its seeds receives nothing until one of them answers.  It
# waits for the configuration in force only up to a timeout, and would then
# become ready without it.
MIN_RECONNECT_PERIOD_S = 0.1


class Field:
    """A field that a plug-in adds to each message.

    Parameters
    ----------
    write : callable
        Takes the peer's name (empty if not known yet) and the time;
        returns JSON, or None to omit the field.
    read : callable
        Takes the value received, the peer's name and the time.
    """

    def __init__(self, *, write, read):
        self.write = write
        self.read = read


class Gossip:
    """Exchanges messages with peers and merges the records they send.

    Parameters
    ----------
    settings : Settings
    session : aiohttp.ClientSession
    metrics : Metrics
    clock : callable
    boot : int
        Wall clock at the start of this process, in milliseconds;
        identifies the process.
    """

    def __init__(self, *, settings, session, metrics, clock, boot):
        self._settings = settings
        self._session = session
        self._bytes = metrics.control_bytes.labels("gossip")
        self._clock = clock
        self._boot = boot
        self._view = view.View(settings=settings, generation=boot)
        self._fields = {}
        self._listed = set()
        self._positions = positions.PeerPositions(boot=boot)
        self._seeds = set(settings.peers) - {settings.advertise}
        self._avoid_until = {}
        self._failures = {}
        self._tasks = {}
        self._wake_events = {}
        self.add_field(
            "beat", write=self._write_heartbeats, read=self._read_heartbeats
        )

    @property
    def has_seeds(self):
        """Whether an address of another instance is configured or listed."""
        return bool(self._seeds or self._listed)

    @property
    def view(self):
        """The `View` of live instances and all records."""
        return self._view

    def address_of(self, name):
        """Return the control address of an instance, or None."""
        member = self._view.member(name)
        return None if member is None else member.address

    def add_field(self, name, *, write, read):
        """Add a field to all messages; see `Field`."""
        self._fields[name] = Field(write=write, read=read)

    def put(self, topic, key, value):
        """Merge a record to be gossiped; return whether it changed."""
        changed = self._view.put(topic, key, value, self._clock())
        if changed and topics.TOPICS.get(topic).urgent:
            self.wake()
        return changed

    def get(self, topic, key):
        """Return a record's value or None."""
        return self._view.get(topic, key)

    def entries(self, topic):
        """Return a topic's values by key; callers must not modify it."""
        return self._view.entries(topic)

    def on_record(self, topic, func, *, own=False):
        """Register a callback for changes; see `View.on_record`."""
        self._view.on_record(topic, func, own=own)

    def wake(self):
        """Start an exchange with each partner after `BATCH_DELAY_S`."""
        for event in self._wake_events.values():
            event.set()

    def set_listed(self, addresses):
        """Replace the control addresses taken from the platform's list."""
        self._listed = set(addresses) - {self._settings.advertise}

    def leave(self):
        """Announce that this instance is leaving; this is final."""
        self._view.leave()
        self.wake()

    async def receive(self, request):
        """Handle a peer's message and answer with the own one."""
        raw = await request.read()
        try:
            message = messages.decode(raw)
        except msgspec.MsgspecError as err:
            raise web.HTTPBadRequest(text=str(err)) from None
        self._process(message, self._clock())
        reply = messages.encode(
            self._message(message["name"], message["zone"])
        )
        size = len(raw) + len(reply)
        self._bytes.inc(
            size
            + messages.REQUEST_HEADER_BYTES
            + messages.RESPONSE_HEADER_BYTES
        )
        return web.Response(body=reply)

    async def run(self):
        """Keep one task per partner; retry unreachable instances."""
        reconnect_at = self._clock()
        discovery_period_s = MIN_RECONNECT_PERIOD_S
        while True:
            now = self._clock()
            self._view.increment_heartbeat()
            for name in self._view.expire(now):
                self._positions.forget(name)
            self._update_tasks(now)
            if now >= reconnect_at:
                await self._reconnect(now)
                # An instance that answered can be a partner from now on.
                self._update_tasks(self._clock())
                wait_s = (
                    RECONNECT_PERIOD_S if self._tasks else discovery_period_s
                )
                reconnect_at = self._clock() + wait_s * random.uniform(
                    0.9, 1.1
                )
                discovery_period_s = min(
                    RECONNECT_PERIOD_S, 2 * discovery_period_s
                )
            wait_s = PERIOD_S / 2 * random.uniform(0.9, 1.1)
            remaining_s = max(0.0, reconnect_at - self._clock())
            await asyncio.sleep(min(wait_s, remaining_s))

    async def stop(self):
        """Cancel the tasks of all partners."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def _message(self, name, zone):
        position = self._positions.get(name)
        delta = self._view.since(
            position.acked,
            same_zone=zone in (None, self._settings.zone),
            to=(name, position.boot),
        )
        now = self._clock()
        message = messages.Message(
            name=self._settings.instance,
            boot=self._boot,
            zone=self._settings.zone,
            base=delta.base,
            last=delta.last,
            ack=position.received,
            of=position.boot,
        )
        if delta.records:
            message["records"] = delta.records
        fields = {
            key: field.write(name, now) for key, field in self._fields.items()
        }
        message["fields"] = {
            key: value for key, value in fields.items() if value is not None
        }
        return message

    def _process(self, message, now):
        name = message["name"]
        sender = self._positions.update(message)
        is_urgent = [
            self._view.receive(topic, key, value, sender, now)
            for topic, key, value in message.get("records", ())
        ]
        if any(is_urgent):
            self.wake()
        self._avoid_until.pop(name, None)
        self._failures.pop(name, None)
        for key, value in message.get("fields", {}).items():
            field = self._fields.get(key)
            if field is not None:
                field.read(value, name, now)

    def _write_heartbeats(self, _name, _now):
        return self._view.heartbeats

    def _read_heartbeats(self, value, _name, now):
        self._view.merge_heartbeats(value, now)

    def _update_tasks(self, now):
        avoid = {
            name
            for name, expires_at in self._avoid_until.items()
            if expires_at > now
        }
        partners = self._view.partners(now, avoid=avoid)
        for name in list(self._tasks):
            if name not in partners or self._tasks[name].done():
                self._tasks.pop(name).cancel()
                del self._wake_events[name]
        for name in partners:
            if name not in self._tasks:
                self._wake_events[name] = asyncio.Event()
                self._tasks[name] = asyncio.create_task(
                    self._exchange_loop(name), name=f"peer {name}"
                )

    async def _exchange_loop(self, name):
        wake = self._wake_events[name]
        while True:
            wake.clear()
            member = self._view.member(name)
            succeeded = member is not None and await self._exchange(
                member.address, name, member.zone
            )
            if not succeeded:
                self._record_failure(name)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            is_same_zone = member.zone == self._settings.zone
            period_s = PERIOD_S if is_same_zone else CROSS_ZONE_PERIOD_S
            period_s *= random.uniform(0.9, 1.1)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(wake.wait(), period_s)
                await asyncio.sleep(BATCH_DELAY_S)

    async def _exchange(self, address, name, zone):
        raw = messages.encode(self._message(name, zone))
        result = await messages.post(
            self._session, address, raw, timeout=TIMEOUT_S
        )
        if isinstance(result, kinds.Failure):
            return False
        reply, size = result
        self._bytes.inc(size)
        self._process(reply, self._clock())
        return True

    def _record_failure(self, name):
        now = self._clock()
        count = self._failures.get(name, 0) + 1
        self._failures[name] = count
        if count < FAILURES_UNTIL_SUSPECT:
            return
        self._avoid_until[name] = now + AVOID_S
        if self._view.suspect(name, now):
            logger.bind(instance=name).info("suspected")
            self.wake()

    async def _reconnect(self, now):
        """Contact a random unreachable member or unknown address.

        Notes
        -----
        This is how an instance joins and how partitions heal.  After a
        partition within a zone each half considers the other dead; if
        neither tried again, they would stay apart for ever.
        """
        alive = {item.name for item in self._view.alive(now)}
        known = self._view.known()
        unreachable = [
            item
            for item in known
            if item.name not in alive and item.state != members.State.LEAVING
        ]
        unreachable = [
            (item.address, item.name, item.zone) for item in unreachable
        ]
        addresses = {item.address for item in known}
        seeds = self._seeds | self._listed
        unreachable += [(seed, "", None) for seed in seeds - addresses]
        if unreachable:
            await self._exchange(*random.choice(unreachable))


async def _leave_on_stop(core, part):
    await core.stopping.wait()
    part.leave()


@kernel.plugin("gossip", needs=("metrics", "web"))
async def gossip(core):
    """Provide the gossip exchange with peers."""
    part = Gossip(
        settings=core.settings,
        session=core.part("web"),
        metrics=core.part("metrics"),
        clock=core.clock,
        boot=int(time.time() * 1000),
    )
    core.control.add_routes([web.post(messages.PATH, part.receive)])
    core.keep_running(part.run, name="gossip")
    core.spawn(_leave_on_stop(core, part), name="leave")
    yield part
    await part.stop()
