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
from sycamoreshed.membership import members
from sycamoreshed.membership import messages
from sycamoreshed.membership import records
from sycamoreshed.membership import topics

__all__ = ["Field", "Gossip", "Link"]

PERIOD_S = 2.0
# Changes within this time travel in one message.
GATHER_S = 0.03
TIMEOUT_S = 1.0
# An instance that did not answer is left out of the choice for a while.
AVOID_S = 5.0
FAILURES = 2
RETRY_S = 0.5
SEEK_S = 3.0
# Members long out of reach are forgotten, or replaced instances would
# fill the memory; long, since regions lose each other for an hour.
FORGET_S = 6 * 3600.0


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


class Link:
    """What is known of one process of a peer.

    Attributes
    ----------
    boot : int
        Names the process.
    got : int
        Position up to which its records were received.
    acked : int
        Position up to which it has received ours.
    """

    def __init__(self, *, boot):
        self.boot = boot
        self.got = 0
        self.acked = 0


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
        self._records = records.Records()
        self._fields = {}
        self._listeners = {}
        self._listed = set()
        self._links = {}
        self._seeds = set(settings.peers) - {settings.advertise}
        self._avoid = {}
        self._failed = {}
        self._suspected = {}
        self._gone = {}
        self._beats = {settings.zone: 0}
        self._heard = {}
        self._tasks = {}
        self._wakes = {}
        self._state = members.State.LIVE
        self._generation = boot
        self._tell_self()
        self.hang("beat", write=self._write_beats, read=self._read_beats)

    @property
    def own(self):
        """The own `Member` entry."""
        return self._member(self._settings.instance)

    @property
    def leaving(self):
        """Whether this instance has told that it leaves."""
        return self._state == members.State.LEAVING

    @property
    def has_seeds(self):
        """Whether any other instance is known, by address at least."""
        return bool(self._seeds or self._listed)

    def address_of(self, name):
        """Return the control address of an instance, or None."""
        member = self._member(name)
        return None if member is None else member.address

    def hang(self, name, *, write, read):
        """Hang a field on all messages; see `Field`."""
        self._fields[name] = Field(write=write, read=read)

    def put(self, topic, key, value, *, via=None):
        """Merge a record and spread it; return whether it was new."""
        changed = self._records.merge(topic, key, value, via=via)
        if changed:
            for func, own in self._listeners.get(topic, ()):
                if own or via is not None:
                    func(key, self._records.get(topic, key), self._clock())
        if changed and topics.TOPICS.get(topic).urgent:
            self.wake()
        return changed

    def get(self, topic, key):
        """Return a record's value or None."""
        return self._records.get(topic, key)

    def entries(self, topic):
        """Return a topic's values by key."""
        return self._records.entries(topic)

    def drop(self, topic, key):
        """Forget a record here, such as one of a withdrawn endpoint."""
        self._records.drop(topic, key)

    def wake(self):
        """Exchange messages at once: there is news."""
        for event in self._wakes.values():
            event.set()

    def on_record(self, topic, func, *, own=False):
        """Call a function with key, value and time of each change.

        Parameters
        ----------
        topic : str
        func : callable
        own : bool
            Whether for records put here too, not just those that come.
        """
        self._listeners.setdefault(topic, []).append((func, own))

    def set_listed(self, addresses):
        """Learn control addresses from the platform's list, as of now."""
        self._listed = set(addresses) - {self._settings.advertise}

    def leave(self):
        """Tell that this instance is leaving; it stays so."""
        self._state = members.State.LEAVING
        self._tell_self()
        self.wake()

    def known(self):
        """Return all members ever heard of and not forgotten."""
        entries = self._records.entries(members.TOPIC)
        return [
            members.Member(*value, name=name)
            for name, value in entries.items()
        ]

    def alive(self, now):
        """Return the live members, the own one among them."""
        return members.alive(
            self.known(),
            suspected=self._suspected,
            beats=self._heard,
            own_zone=self._settings.zone,
            now=now,
        )

    def near_count(self, now):
        """Return how many instances of the own zone are alive."""
        zone = self._settings.zone
        return sum(item.zone == zone for item in self.alive(now))

    def lost_zones(self, now):
        """Return the zones that were heard of once and are silent now."""
        return {
            zone
            for zone, heard in self._heard.items()
            if zone != self._settings.zone and now - heard > members.ZONE_S
        }

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
        sought = -SEEK_S
        while True:
            now = self._clock()
            self._beats[self._settings.zone] += 1
            self._forget(now)
            self._keep_tasks(now)
            if now - sought >= SEEK_S:
                sought = now
                await self._seek(now)
            await asyncio.sleep(PERIOD_S / 2 * random.uniform(0.9, 1.1))

    async def stop(self):
        """End the tasks of all partners."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def _tell_self(self):
        settings = self._settings
        value = [
            self._generation,
            int(self._state),
            settings.advertise,
            settings.zone,
            settings.region,
        ]
        self._records.merge(members.TOPIC, settings.instance, value)

    def _member(self, name):
        value = self._records.get(members.TOPIC, name)
        return None if value is None else members.Member(*value, name=name)

    def _message(self, name, zone):
        link = self._links.get(name)
        delta = self._records.since(
            link.acked if link else 0,
            same_zone=zone in (None, self._settings.zone),
            to=(name, link.boot) if link else None,
        )
        now = self._clock()
        message = messages.Message(
            name=self._settings.instance,
            boot=self._boot,
            zone=self._settings.zone,
            base=delta.base,
            last=delta.last,
            ack=link.got if link else 0,
            of=link.boot if link else 0,
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
        link = self._links.get(name)
        if link is None or link.boot != message["boot"]:
            link = self._links[name] = Link(boot=message["boot"])
        for topic, key, value in message.get("records", ()):
            self._take_record(topic, key, value, (name, link.boot), now)
        # A delta that begins after what came before has a gap: then the
        # old position is told again, and the sender begins from there.
        if message["base"] <= link.got:
            link.got = max(link.got, message["last"])
        if message["of"] == self._boot:
            link.acked = max(link.acked, message["ack"])
        self._avoid.pop(name, None)
        self._failed.pop(name, None)
        for key, value in message.get("fields", {}).items():
            field = self._fields.get(key)
            if field is not None:
                field.read(value, name, now)

    def _take_record(self, topic, key, value, via, now):
        if topic not in topics.TOPICS.names():
            # A newer release may tell what this one does not know.
            return
        is_member = topic == members.TOPIC
        if is_member and key == self._settings.instance:
            self._object(value)
            return
        first = self._records.get(topic, key) is None
        if not self.put(topic, key, value, via=via) or not is_member:
            return
        if value[1] == members.State.SUSPECT:
            # Suspected before we heard of it: it had its time to object.
            since = now - members.SUSPECT_S if first else now
            self._suspected[key] = since
        else:
            self._suspected.pop(key, None)
            self._avoid.pop(key, None)

    def _object(self, value):
        """Raise the own generation over what is wrongly said of us."""
        held = self._records.get(members.TOPIC, self._settings.instance)
        if value[0] < held[0] or value == held:
            return
        self._generation = value[0] + 1
        self._tell_self()
        self.wake()

    def _write_beats(self, _name, _now):
        return self._beats

    def _read_beats(self, value, _name, now):
        for zone, beat in value.items():
            if beat > self._beats.get(zone, -1):
                self._beats[zone] = beat
                self._heard[zone] = now

    def _keep_tasks(self, now):
        wanted = self._partners(now)
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

    def _partners(self, now):
        own = self.own
        avoid = {name for name, until in self._avoid.items() if until > now}
        near = [item for item in self.alive(now) if item.zone == own.zone]
        far = [
            item
            for item in self.known()
            if item.zone != own.zone and item.state == members.State.LIVE
        ]
        return members.partners(own, near, far, avoid=avoid)

    async def _talk(self, name):
        wake = self._wakes[name]
        while True:
            wake.clear()
            member = self._member(name)
            answered = member is not None and await self._exchange(
                member.address, name, member.zone
            )
            if not answered:
                self._note_failure(name)
                await asyncio.sleep(RETRY_S)
                continue
            period = PERIOD_S * random.uniform(0.9, 1.1)
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
        member = self._member(name)
        if member is None or member.zone != self._settings.zone:
            # Between zones it may be the link that failed.
            return
        if member.state == members.State.LIVE:
            logger.bind(instance=name).info("suspected")
            value = list(member[:5])
            value[1] = int(members.State.SUSPECT)
            self._suspected[name] = now
            self.put(members.TOPIC, name, value)

    async def _seek(self, now):
        """Ask one that is out of reach, so that cuts heal by themselves.

        Notes
        -----
        Two halves of a zone that lost each other hold each other for
        dead; if neither asked again, they would stay apart for ever.
        """
        alive = {item.name for item in self.alive(now)}
        known = self.known()
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

    def _forget(self, now):
        alive = {item.name for item in self.alive(now)}
        for name in alive:
            self._gone.pop(name, None)
        for item in self.known():
            if item.name in alive:
                continue
            since = self._gone.setdefault(item.name, now)
            if now - since > FORGET_S:
                self._records.drop(members.TOPIC, item.name)
                self._links.pop(item.name, None)
                del self._gone[item.name]


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
