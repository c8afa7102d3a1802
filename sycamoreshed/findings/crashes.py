"""What all instances know of requests that crash endpoints."""

import typing

import msgspec

from sycamoreshed.findings import blame
from sycamoreshed.findings import topics
from sycamoreshed.kernel import kernel

__all__ = ["REJECTIONS", "CrashRecords"]

# Long enough to recognize a request that comes once in a few minutes.
CRASHES = topics.register(topics.Topic("crash", 600.0, 512))
SERVED = topics.register(topics.Topic("served", 600.0, 2048))
REJECTIONS = topics.register(
    topics.Topic("rejection", 3600.0, 1024, is_durable=True)
)
# Bounds the size of a finding; those that were sent last are kept.
MAX_SUSPECTS = 64
# After which a verdict is reached again, without the findings that expired.
MAX_VERDICT_AGE_S = 30.0


class CrashValue(typing.TypedDict):
    """Value of a finding of topic "crash", of one instance.

    ``endpoint`` names the endpoint and its start; ``suspects`` are the
    requests that the instance had in flight there.
    """

    endpoint: str
    suspects: list[blame.Suspect]


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
        self._is_outdated = False
        self._judged_at = float("-inf")
        for topic in (CRASHES, SERVED, REJECTIONS):
            board.listen(topic.name, self._mark_outdated)

    def record_crash(self, endpoint, suspects, *, now, unix_ms):
        """Record the crash of an endpoint; return the new `Finding`.

        Parameters
        ----------
        endpoint : Endpoint
        suspects : sequence of Suspect
            This instance's requests in flight there, in the order in which
            they were sent.
        now : float
        unix_ms : int
        """
        name = f"{endpoint.id}@{endpoint.started_at_ms}"
        value = CrashValue(
            endpoint=name, suspects=list(suspects)[-MAX_SUSPECTS:]
        )
        return self._board.add(
            CRASHES.name,
            f"{name}/{self._instance}",
            value,
            now=now,
            unix_ms=unix_ms,
        )

    def record_served(self, fingerprint, *, now, unix_ms):
        """Record that a request was served; return the new `Finding`.

        Returns
        -------
        Finding or None
            None if the request is not suspected of anything.
        """
        if not self.blamed(fingerprint, now):
            return None
        return self._board.add(
            SERVED.name, fingerprint, None, now=now, unix_ms=unix_ms
        )

    def record_rejection(self, fingerprint, *, now, unix_ms):
        """Make a rejection durable; return the new `Finding`.

        Returns
        -------
        Finding or None
            None if it is durable already, or not to be rejected.
        """
        known = self._board.find(REJECTIONS.name, fingerprint, now)
        if known is not None or not self.is_rejected(fingerprint, now):
            return None
        self._journal.write("request_rejected", fingerprint=fingerprint)
        return self._board.add(
            REJECTIONS.name, fingerprint, None, now=now, unix_ms=unix_ms
        )

    def blamed(self, fingerprint, now):
        """Return the number of crashes that a request is blamed for."""
        return self._current_verdict(now).blamed.get(fingerprint, 0)

    def is_rejected(self, fingerprint, now):
        """Return whether a request must not be sent to any endpoint."""
        return fingerprint in self._current_verdict(now).rejected

    def retry_after_s(self, fingerprint, now):
        """Return the seconds for which a request will be rejected."""
        entry = self._board.find(REJECTIONS.name, fingerprint, now)
        made_at = now if entry is None else entry.at
        return made_at + REJECTIONS.ttl_s - now

    def _mark_outdated(self):
        self._is_outdated = True

    def _current_verdict(self, now):
        # Findings expire without a change of the board.
        if self._is_outdated or now - self._judged_at >= MAX_VERDICT_AGE_S:
            self._is_outdated = False
            self._judged_at = now
            self._verdict = self._judge(now)
        return self._verdict

    def _judge(self, now):
        crashed_at = {}
        suspects = {}
        for entry in self._board.entries(CRASHES.name, now).values():
            try:
                value = msgspec.convert(entry.value, CrashValue)
            except msgspec.ValidationError as err:
                self._journal.write(
                    "finding_bad", topic=CRASHES.name, why=str(err)
                )
                continue
            name = value["endpoint"]
            crashed_at[name] = min(entry.at, crashed_at.get(name, entry.at))
            suspects.setdefault(name, []).extend(value["suspects"])
        served = self._board.entries(SERVED.name, now)
        return blame.judge(
            [
                blame.Crash(crashed_at[name], tuple(each))
                for name, each in suspects.items()
            ],
            {key: entry.at for key, entry in served.items()},
            self._board.entries(REJECTIONS.name, now),
        )


@kernel.plugin("crash_records", needs=("board", "journal"))
async def crash_records(core):
    """Provide the records of crashes."""
    yield CrashRecords(
        board=core.part("board"),
        instance=core.settings.instance,
        journal=core.part("journal"),
    )
