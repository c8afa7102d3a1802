"""Entry instances tell each other what changed.

Each instance exchanges a small message with a few peers every
`PERIOD_S`, and at once when something urgent changed.  A message carries
the records that changed since the receiver's last acknowledgement, and
fields that other plug-ins hang on.
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
from sycamoreshed.membership import links
from sycamoreshed.membership import members
from sycamoreshed.membership import messages
from sycamoreshed.membership import topics
from sycamoreshed.membership import view

__all__ = ["Field", "Gossip"]

PERIOD_S = 2.0
# Between zones traffic is paid for; news goes at once all the same.
FAR_PERIOD_S = 4.0
# Changes within this time travel in one message.
GATHER_S = 0.03
TIMEOUT_S = 1.0
# An instance that did not answer is left out of the choice for a while.
AVOID_S = 5.0
FAILURES = 2
RETRY_S = 0.5
SEEK_S = 3.0
# While nobody is known: doubles up to the above.  An instance that started
# before its seeds is told nothing until one of them answers, and would be
# ready without having heard of what is in force.
FIRST_SEEK_S = 0.1


class Field:
    """What a plug-in hangs on each message.

    Parameters
    ----------
    write : callable
        Takes the peer's name and zone (None if not known yet) and the
        time; returns JSON, or None for nothing.
    read : callable
        Takes what the peer wrote, the peer's name and the time.
    """

    def __init__(self, *, write, read):
        self.write = write
        self.read = read


class Gossip:
    """The exchange with peers.

    Parameters
    ----------
    settings : Settings
    session : aiohttp.ClientSession
    metrics : Metrics
    clock : callable
    boot : int
        Milliseconds of the wall clock at the start.
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
        self._links = links.Links(boot=boot)
        self._seeds = set(settings.peers) - {settings.advertise}
        self._avoid = {}
        self._failed = {}
        self._tasks = {}
        self._wakes = {}
        self.add_field("beat", write=self._write_beats, read=self._read_beats)

    @property
    def has_seeds(self):
        """Whether any other instance is known, by address at least."""
        return bool(self._seeds or self._listed)

    @property
    def view(self):
        """The `View`: who is alive, and all records."""
        return self._view

    def address_of(self, name):
        """Return the control address of an instance, or None."""
        member = self._view.member(name)
        return None if member is None else member.address

    def add_field(self, name, *, write, read):
        """Hang a field on all messages; see `Field`."""
        self._fields[name] = Field(write=write, read=read)

    def put(self, topic, key, value):
        """Merge a record and spread it; return whether it was new."""
        changed = self._view.put(topic, key, value, self._clock())
        if changed and topics.TOPICS.get(topic).urgent:
            self.wake()
        return changed

    def get(self, topic, key):
        """Return a record's value or None."""
        return self._view.get(topic, key)

    def entries(self, topic):
        """Return a topic's values by key; not to be changed."""
        return self._view.entries(topic)

    def on_record(self, topic, func, *, own=False):
        """Call a function at each change; see `View.on_record`."""
        self._view.on_record(topic, func, own=own)

    def wake(self):
        """Exchange messages at once: there is news."""
        for event in self._wakes.values():
            event.set()

    def set_listed(self, addresses):
        """Learn control addresses from the platform's list, as of now."""
        self._listed = set(addresses) - {self._settings.advertise}

    def leave(self):
        """Tell that this instance is leaving; it stays so."""
        self._view.leave()
        self.wake()

    async def receive(self, http):
        """Answer a peer's message with our own."""
        raw = await http.read()
        try:
            message = messages.decode(raw)
        except msgspec.MsgspecError as err:
            raise web.HTTPBadRequest(text=str(err)) from None
        self._take(message, self._clock())
        answer = messages.encode(
            self._message(message["name"], message["zone"])
        )
        size = len(raw) + len(answer)
        self._bytes.inc(size + messages.REQUEST_BYTES + messages.ANSWER_BYTES)
        return web.Response(body=answer)

    async def run(self):
        """Keep a task for each partner; seek those out of reach."""
        seek_at = self._clock()
        pause = FIRST_SEEK_S
        while True:
            now = self._clock()
            self._view.beat()
            for name in self._view.forget(now):
                self._links.forget(name)
            self._keep_tasks(now)
            if now >= seek_at:
                await self._seek(now)
                # Who answered is a partner from now on.
                self._keep_tasks(self._clock())
                wait = SEEK_S if self._tasks else pause
                seek_at = self._clock() + wait * random.uniform(0.9, 1.1)
                pause = min(SEEK_S, 2 * pause)
            wait = PERIOD_S / 2 * random.uniform(0.9, 1.1)
            left = max(0.0, seek_at - self._clock())
            await asyncio.sleep(min(wait, left))

    async def stop(self):
        """End the tasks of all partners."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def _message(self, name, zone):
        link = self._links.get(name)
        delta = self._view.since(
            link.acked,
            same_zone=zone in (None, self._settings.zone),
            to=(name, link.boot),
        )
        now = self._clock()
        message = messages.Message(
            name=self._settings.instance,
            boot=self._boot,
            zone=self._settings.zone,
            base=delta.base,
            last=delta.last,
            ack=link.got,
            of=link.boot,
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

    def _take(self, message, now):
        name = message["name"]
        via = self._links.take(message)
        news = [
            self._view.receive(topic, key, value, via, now)
            for topic, key, value in message.get("records", ())
        ]
        if any(news):
            self.wake()
        self._avoid.pop(name, None)
        self._failed.pop(name, None)
        for key, value in message.get("fields", {}).items():
            field = self._fields.get(key)
            if field is not None:
                field.read(value, name, now)

    def _write_beats(self, _name, _now):
        return self._view.beats

    def _read_beats(self, value, _name, now):
        self._view.merge_heartbeats(value, now)

    def _keep_tasks(self, now):
        avoid = {name for name, until in self._avoid.items() if until > now}
        wanted = self._view.partners(now, avoid=avoid)
        for name in list(self._tasks):
            if name not in wanted or self._tasks[name].done():
                self._tasks.pop(name).cancel()
                del self._wakes[name]
        for name in wanted:
            if name not in self._tasks:
                self._wakes[name] = asyncio.Event()
                self._tasks[name] = asyncio.create_task(
                    self._talk(name), name=f"peer {name}"
                )

    async def _talk(self, name):
        wake = self._wakes[name]
        while True:
            wake.clear()
            member = self._view.member(name)
            answered = member is not None and await self._exchange(
                member.address, name, member.zone
            )
            if not answered:
                self._note_failure(name)
                await asyncio.sleep(RETRY_S)
                continue
            is_near = member.zone == self._settings.zone
            period = PERIOD_S if is_near else FAR_PERIOD_S
            period *= random.uniform(0.9, 1.1)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(wake.wait(), period)
                await asyncio.sleep(GATHER_S)

    async def _exchange(self, address, name, zone):
        raw = messages.encode(self._message(name, zone))
        result = await messages.post(
            self._session, address, raw, timeout=TIMEOUT_S
        )
        if isinstance(result, kinds.Failure):
            return False
        answer, size = result
        self._bytes.inc(size)
        self._take(answer, self._clock())
        return True

    def _note_failure(self, name):
        now = self._clock()
        count = self._failed.get(name, 0) + 1
        self._failed[name] = count
        if count < FAILURES:
            return
        self._avoid[name] = now + AVOID_S
        if self._view.suspect(name, now):
            logger.bind(instance=name).info("suspected")
            self.wake()

    async def _seek(self, now):
        """Ask one that is out of reach, so that cuts heal by themselves.

        Notes
        -----
        Two halves of a zone that lost each other hold each other for
        dead; if neither asked again, they would stay apart for ever.
        """
        alive = {item.name for item in self._view.alive(now)}
        known = self._view.known()
        lost = [
            item
            for item in known
            if item.name not in alive and item.state != members.State.LEAVING
        ]
        lost = [(item.address, item.name, item.zone) for item in lost]
        addresses = {item.address for item in known}
        seeds = self._seeds | self._listed
        lost += [(seed, "", None) for seed in seeds - addresses]
        if lost:
            await self._exchange(*random.choice(lost))


async def _leave_on_stop(core, part):
    await core.stopping.wait()
    part.leave()


@kernel.plugin("gossip", needs=("metrics", "web"))
async def gossip(core):
    """Provide the exchange with peers."""
    part = Gossip(
        settings=core.settings,
        session=core.part("web"),
        metrics=core.part("metrics"),
        clock=core.clock,
        boot=int(time.time() * 1000),
    )
    core.control.add_routes([web.post(messages.PATH, part.receive)])
    core.spawn(part.run(), name="gossip")
    core.spawn(_leave_on_stop(core, part), name="leave")
    yield part
    await part.stop()
