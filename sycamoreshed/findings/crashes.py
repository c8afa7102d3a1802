"""What all instances know of requests that crash endpoints."""

import typing

import msgspec

from sycamoreshed.findings import blame
from sycamoreshed.findings import fingerprints
from sycamoreshed.findings import partblame
from sycamoreshed.findings import topics
from sycamoreshed.kernel import kernel

__all__ = ["CRASHES", "REJECTIONS", "SERVED", "CrashRecords"]

# Crashes that a request is blamed for before they are summarised: endpoints
# crash by themselves as well.
SUMMARISE_AFTER = 2
# Bounds the size of a finding; those that were sent last are kept.
MAX_SUSPECTS = 64
# After which a verdict is reached again, without the findings that expired.
MAX_VERDICT_AGE_S = 30.0
# Value of a rejection that holds no longer.
WITHDRAWN = "withdrawn"
# Parts of which this instance knows when an endpoint last answered a request.
MAX_SOUND_PARTS = 4096
# Seconds after the rejection of a part, or after the previous probe, until a
# request with the part is sent nevertheless.
PROBE_INTERVALS_S = (2.0, 60.0, 600.0)
# Crashes that a part is suspected of before instances tell that endpoints
# answer requests which have it.
AT_RISK_AFTER = 2


class CrashValue(typing.TypedDict):
    """Value of a finding of topic "crash", of one instance.

    ``endpoint`` names the endpoint and its start; ``suspects`` are the
    requests that the instance had in flight there.  If the endpoint may have
    failed for overload, they are ``overload_suspects`` instead: parts of
    their prompts may be the cause, but no request that was merely there.
    """

    endpoint: str
    suspects: list[blame.Suspect]
    overload_suspects: typing.NotRequired[list[blame.Suspect]]


class CrashSummary(typing.TypedDict):
    """Value of a finding of topic "crash_summary".

    ``suspects`` are requests, without the parts of their prompts: what clears
    a part does not outlast the instances.
    """

    suspects: list[blame.Suspect]


# Long enough to recognize a request that comes once in a few minutes.
CRASHES = topics.register(
    topics.Topic("crash", 600.0, 1024, value_type=CrashValue)
)
SERVED = topics.register(topics.Topic("served", 600.0, 2048, value_type=None))
# Parts of prompts of requests that endpoints answered after a crash.
SOUND = topics.register(topics.Topic("sound", 600.0, 2048, value_type=None))
# Requests that were sent to find out whether a rejected part is the cause.
PROBES = topics.register(topics.Topic("probe", 3600.0, 1024, value_type=int))
REJECTIONS = topics.register(
    topics.Topic(
        "rejection", 3600.0, 1024, is_durable=True, value_type=str | None
    )
)
# Crashes of which a request may be the cause, one finding for each endpoint;
# they outlast all instances.
SUMMARIES = topics.register(
    topics.Topic(
        "crash_summary",
        600.0,
        256,
        is_durable=True,
        value_type=CrashSummary,
    )
)


class CrashRecords:
    """Requests that are suspected of crashing endpoints, or known to.

    Parameters
    ----------
    board : Board
    instance : str
    journal : Journal
    """

    def __init__(self, *, board, instance, journal):
        self._board = board
        self._instance = instance
        self._journal = journal
        self._verdict = blame.Verdict({}, set())
        self._part_verdict = partblame.PartVerdict({}, set())
        self._is_outdated = False
        self._judged_at = float("-inf")
        # Decoded findings by key, with their stamps.
        self._decoded = {}
        self._sound_at = {}
        # Crashes that no rejected part explains, by endpoint.
        self._unexplained = {}
        for topic in (CRASHES, SERVED, SOUND, SUMMARIES, REJECTIONS):
            board.listen(topic.name, self._mark_outdated)

    def record_crash(
        self, endpoint, suspects, *, now, unix_ms, is_overload=False
    ):
        """Record the crash of an endpoint; return the new `Finding`.

        Parameters
        ----------
        endpoint : Endpoint
        suspects : sequence of Suspect
            This instance's requests in flight there, in the order in which
            they were sent.
        now : float
        unix_ms : int
        is_overload : bool
            Whether the endpoint may have failed for overload.
        """
        name = endpoint.boot
        key = f"{name}/{self._instance}"
        # Calls may notice one crash a while after each other.
        known = self._board.find(CRASHES.name, key, now)
        value, age_s = CrashValue(endpoint=name, suspects=[]), 0.0
        if known is not None:
            value, age_s = dict(known.value), now - known.at
        field = "overload_suspects" if is_overload else "suspects"
        earlier = value.get(field, [])
        value[field] = [*earlier, *suspects][-MAX_SUSPECTS:]
        return self._board.add(
            CRASHES.name, key, value, now=now, unix_ms=unix_ms, age_s=age_s
        )

    def record_served(self, fingerprint, *, now, unix_ms):
        """Record that a request was served; return new findings.

        Returns
        -------
        list of Finding
            Empty if the request is not suspected of anything.
        """
        request = fingerprints.request_of(fingerprint)
        made = []
        if self.blamed(fingerprint, now):
            made.append(
                self._board.add(
                    SERVED.name, request, None, now=now, unix_ms=unix_ms
                )
            )
        made += self._withdraw([request], now=now, unix_ms=unix_ms)
        return made

    def record_sound(self, fingerprint, now):
        """Record that an endpoint answers a request without a crash."""
        for part in fingerprints.parts_of(fingerprint):
            # Keeps the order of the dict that of the latest answers.
            self._sound_at.pop(part, None)
            self._sound_at[part] = now
        while len(self._sound_at) > MAX_SOUND_PARTS:
            del self._sound_at[next(iter(self._sound_at))]

    def suspected_parts(self, now):
        """Return the keys of parts that may soon be rejected."""
        self._current_verdict(now)
        return {
            part
            for part, count in self._part_verdict.blamed.items()
            if count >= AT_RISK_AFTER
        }

    def rejected_parts(self, now):
        """Return the keys of parts that are rejected."""
        self._current_verdict(now)
        return self._part_verdict.rejected | {
            key
            for key in self._board.entries(REJECTIONS.name, now)
            if fingerprints.is_part(key)
            and self._rejection(key, now) is not None
        }

    def has_rejection(self, fingerprint, now):
        """Return whether a part of a request has been rejected."""
        return any(
            self._rejection(part, now) is not None
            for part in fingerprints.parts_of(fingerprint)
        )

    def record_probe(self, fingerprint, *, now, unix_ms, delay_s):
        """Record that a rejected request is sent as a probe, if one is due.

        An answer shows that its part was rejected without reason.

        Parameters
        ----------
        fingerprint : str
        now : float
        unix_ms : int
        delay_s : callable
            Takes the key of a part; returns how much later than at the
            earliest this instance sends a probe.

        Returns
        -------
        list of Finding
            Empty if the request must not be sent.
        """
        causes = self._causes(fingerprint, now)
        if not self._is_likely_answered(fingerprint, causes):
            return []
        made = []
        for key in causes:
            sent = self._board.find(PROBES.name, key, now)
            count = 0 if sent is None else sent.value
            since = self._rejection(key, now) if sent is None else sent
            if (
                not fingerprints.is_part(key)
                or since is None
                or count >= len(PROBE_INTERVALS_S)
                or now < since.at + PROBE_INTERVALS_S[count] + delay_s(key)
            ):
                return []
            made.append((key, count + 1))
        for key, count in made:
            self._journal.write("part_probed", part=key, count=count)
        return [
            self._board.add(PROBES.name, key, count, now=now, unix_ms=unix_ms)
            for key, count in made
        ]

    def clear_parts(self, parts, *, now, unix_ms):
        """Record which parts endpoints have answered; return new findings.

        Parameters
        ----------
        parts : iterable of str
            Keys of parts.
        now : float
        unix_ms : int
        """
        made = []
        for part in sorted(parts):
            sound_at = self._sound_at.get(part)
            known = self._board.find(SOUND.name, part, now)
            if sound_at is None or (known and sound_at <= known.at):
                continue
            rejection = self._rejection(part, now)
            if rejection is not None and sound_at <= rejection.at:
                continue
            self._journal.write(
                "part_cleared", part=part, age_s=round(now - sound_at, 3)
            )
            made.append(
                self._board.add(
                    SOUND.name,
                    part,
                    None,
                    now=now,
                    unix_ms=unix_ms,
                    age_s=now - sound_at,
                )
            )
            made += self._withdraw([part], now=now, unix_ms=unix_ms)
        return made

    def record_rejection(self, fingerprint, *, now, unix_ms):
        """Make rejections durable; return the new findings.

        Returns
        -------
        list of Finding
            Empty if they are durable already, or there are none.
        """
        made = []
        for key in self._causes(fingerprint, now):
            if self._rejection(key, now) is not None:
                continue
            self._journal.write("request_rejected", fingerprint=key)
            made.append(
                self._board.add(
                    REJECTIONS.name, key, None, now=now, unix_ms=unix_ms
                )
            )
        return made

    def summarise(self, *, now, unix_ms, is_responsible):
        """Return new findings that hold crashes for the store.

        Parameters
        ----------
        now : float
        unix_ms : int
        is_responsible : callable
            Returns whether this instance summarises the crash of an endpoint
            with a name.

        Returns
        -------
        list of Finding
        """
        verdict = self._current_verdict(now)
        served_at = self._answered_at(SERVED, now)
        made = []
        for name, crash in self._unexplained.items():
            suspects = blame.unserved(crash, served_at).values()
            is_suspicious = any(
                each.fingerprint in verdict.rejected
                or verdict.blamed.get(each.fingerprint, 0) >= SUMMARISE_AFTER
                for each in suspects
            )
            if not is_suspicious or not is_responsible(name):
                continue
            # Those that crash what runs them have been sent last.
            first = sorted(suspects, key=lambda e: (e.has_begun, e.age_s))
            value = CrashSummary(suspects=[list(e) for e in first])
            value["suspects"] = value["suspects"][:MAX_SUSPECTS]
            known = self._board.find(SUMMARIES.name, name, now)
            if known is None or known.value != value:
                made.append(
                    self._board.add(
                        SUMMARIES.name,
                        name,
                        value,
                        now=now,
                        unix_ms=unix_ms,
                        age_s=now - crash.at,
                    )
                )
        return made

    def blamed(self, fingerprint, now):
        """Return the number of crashes that a request is blamed for."""
        blamed = self._current_verdict(now).blamed
        return blamed.get(fingerprints.request_of(fingerprint), 0)

    def is_rejected(self, fingerprint, now):
        """Return whether a request must not be sent to any endpoint."""
        return bool(self._causes(fingerprint, now))

    def retry_after_s(self, fingerprint, now):
        """Return the seconds for which a request will be rejected."""
        made_at = [now]
        for key in self._causes(fingerprint, now):
            rejection = self._rejection(key, now)
            made_at.append(now if rejection is None else rejection.at)
        return min(made_at) + REJECTIONS.ttl_s - now

    def _is_likely_answered(self, fingerprint, causes):
        """Return whether a request would be answered but for its rejection.

        Another part that is suspected because of fewer requests may be what
        crashes endpoints instead.
        """
        requests = self._part_verdict.requests
        fewest = min((requests.get(key, 0) for key in causes), default=0)
        return all(
            requests.get(part, fewest) >= fewest
            for part in fingerprints.parts_of(fingerprint)
        )

    def _causes(self, fingerprint, now):
        """Return the keys because of which a request is rejected."""
        rejected = self._current_verdict(now).rejected
        request = fingerprints.request_of(fingerprint)
        causes = [request] if request in rejected else []
        rejected_parts = self._part_verdict.rejected
        if rejected_parts:
            causes += [
                part
                for part in fingerprints.parts_of(fingerprint)
                if part in rejected_parts
            ]
        return causes

    def _rejection(self, key, now):
        """Return the `Entry` of a rejection that holds, or None."""
        entry = self._board.find(REJECTIONS.name, key, now)
        if entry is None or entry.value == WITHDRAWN:
            return None
        return entry

    def _withdraw(self, keys, *, now, unix_ms):
        """Withdraw rejections; return the new findings."""
        made = []
        for key in keys:
            if self._rejection(key, now) is None:
                continue
            self._journal.write("rejection_withdrawn", fingerprint=key)
            made.append(
                self._board.add(
                    REJECTIONS.name, key, WITHDRAWN, now=now, unix_ms=unix_ms
                )
            )
        return made

    def _mark_outdated(self):
        self._is_outdated = True

    def _current_verdict(self, now):
        # Findings expire without a change of the board.
        if (
            self._is_outdated
            or now - self._judged_at >= MAX_VERDICT_AGE_S
            or now >= self._part_verdict.due_at
        ):
            self._is_outdated = False
            self._judged_at = now
            self._judge(now)
        return self._verdict

    def _judge(self, now):
        by_endpoint = self._crashes(now)
        crashes = list(by_endpoint.values())
        known = {
            key
            for key in self._board.entries(REJECTIONS.name, now)
            if self._rejection(key, now) is not None
        }
        self._part_verdict = partblame.judge(
            crashes, self._answered_at(SOUND, now), known, now
        )
        explained, others = _split(crashes, self._part_verdict.rejected)
        # A request beside one with a rejected part may have been blamed
        # before the part was.
        cleared = _requests(explained) - _requests(others)
        self._unexplained = {
            name: _of_requests(each)
            for name, each in by_endpoint.items()
            if each in others and not each.is_overload
        }
        self._verdict = blame.judge(
            [
                *self._unexplained.values(),
                *self._summarised(by_endpoint, now),
            ],
            self._answered_at(SERVED, now),
            known - cleared,
        )

    def _answered_at(self, topic, now):
        """Return when what has a key was last answered, by key."""
        answered_at = {
            key: entry.at
            for key, entry in self._board.entries(topic.name, now).items()
        }
        # Operators withdraw rejections too, and the store may tell of a
        # withdrawal before an instance tells of the answer.
        for key, entry in self._board.entries(REJECTIONS.name, now).items():
            if entry.value == WITHDRAWN:
                answered_at[key] = max(
                    entry.at, answered_at.get(key, entry.at)
                )
        return answered_at

    def _crashes(self, now):
        """Return a `Crash` with all its suspects for each endpoint's name."""
        crashed_at = {}
        suspects = {}
        overloaded = set()
        entries = self._board.entries(CRASHES.name, now)
        self._decoded = {
            key: self._decode(key, entry) for key, entry in entries.items()
        }
        for key, entry in entries.items():
            value = self._decoded[key][1]
            if value is None:
                continue
            name = value["endpoint"]
            crashed_at[name] = min(entry.at, crashed_at.get(name, entry.at))
            suspects.setdefault(name, []).extend(value["suspects"])
            if "overload_suspects" in value:
                suspects[name] += value["overload_suspects"]
                overloaded.add(name)
        return {
            name: blame.Crash(
                crashed_at[name], tuple(each), name in overloaded
            )
            for name, each in suspects.items()
        }

    def _summarised(self, known, now):
        """Return crashes of which only summaries are left."""
        crashes = []
        for name, entry in self._board.entries(SUMMARIES.name, now).items():
            if name in known:
                continue
            try:
                value = msgspec.convert(entry.value, CrashSummary)
            except msgspec.ValidationError as err:
                self._journal.write(
                    "finding_bad", topic=SUMMARIES.name, why=str(err)
                )
                continue
            crashes.append(blame.Crash(entry.at, tuple(value["suspects"])))
        return crashes

    def _decode(self, key, entry):
        """Return the stamp and the `CrashValue` of a finding, or None."""
        known = self._decoded.get(key)
        if known is not None and known[0] == entry.stamp:
            return known
        try:
            return entry.stamp, msgspec.convert(entry.value, CrashValue)
        except msgspec.ValidationError as err:
            self._journal.write(
                "finding_bad", topic=CRASHES.name, why=str(err)
            )
            return entry.stamp, None


def _split(crashes, rejected_parts):
    """Return the crashes that rejected parts explain, and the others."""
    explained, others = [], []
    for crash in crashes:
        is_explained = any(
            part in rejected_parts
            for suspect in crash.suspects
            for part in fingerprints.parts_of(suspect.fingerprint)
        )
        (explained if is_explained else others).append(crash)
    return explained, others


def _requests(crashes):
    """Return the keys of the requests that are suspects of crashes."""
    return {
        fingerprints.request_of(suspect.fingerprint)
        for crash in crashes
        for suspect in crash.suspects
    }


def _of_requests(crash):
    """Return a crash whose suspects are told apart by request alone."""
    return crash._replace(
        suspects=tuple(
            each._replace(
                fingerprint=fingerprints.request_of(each.fingerprint)
            )
            for each in crash.suspects
        )
    )


@kernel.plugin("crash_records", needs=("board", "journal"))
async def crash_records(core):
    """Provide the records of crashes."""
    yield CrashRecords(
        board=core.part("board"),
        instance=core.settings.instance,
        journal=core.part("journal"),
    )
