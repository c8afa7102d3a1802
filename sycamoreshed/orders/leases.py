"""How a lease is taken, kept and lost: decisions without any waiting.

Each function takes what a candidate knows, a row of the table service or
the outcome of a write, and the present time, and returns what it knows
next.  `sycamoreshed.orders.keeper` does the reading and writing; the
tests drive the same functions through every order of events.
"""

from sycamoreshed.adapters import table as tables
from sycamoreshed.orders import records

__all__ = [
    "can_acquire",
    "is_valid",
    "observe",
    "on_conflict",
    "on_written",
    "propose",
    "propose_release",
]

# Unanswered writes remembered; more than a few mean that the store is
# away, and then the lease ends anyway.
MOST_SENT = 8


def is_valid(standing, now, terms):
    """Return whether an order may leave at monotonic time `now`.

    Examples
    --------
    >>> held = records.HeldLease(fence=1, until=6.0, version=1, config=0)
    >>> is_valid(records.LeaseState(held=held), 4.9, records.Terms())
    True
    >>> is_valid(records.LeaseState(held=held), 5.0, records.Terms())
    False
    """
    held = standing.held
    return held is not None and now < held.until - terms.margin


def observe(standing, row, now, terms):
    """Take in a row that was read, or returned with a conflict.

    Parameters
    ----------
    standing : LeaseState
    row : Row
    now : float
        Monotonic seconds, from after the answer.
    terms : Terms

    Returns
    -------
    LeaseState

    Notes
    -----
    Our own row is known by the id of the write and not by the holder's
    name.  If the answer to a renewal was lost, the version is one we
    have never seen, and a holder that went by versions would wait as a
    stranger behind itself; an instance restarted under its old name
    would take its predecessor's lease for its own and skip the wait.
    """
    value = row.value or {}
    own = _find(standing.sent, value.get("attempt"))
    floor = max(standing.floor, value.get("fence", 0))
    standing = standing._replace(floor=floor)
    if own is not None and not value["released"]:
        held = records.HeldLease(
            own.fence, own.at + terms.seconds, row.version, own.config
        )
        return standing._replace(held=held, seen=None, sent=())
    if standing.seen is None or standing.seen.version != row.version:
        standing = standing._replace(
            seen=records.SeenVersion(row.version, now)
        )
    if not _is_own(standing, row) and not is_valid(standing, now, terms):
        standing = standing._replace(held=None)
    return standing


def on_conflict(standing, row, attempt, now, terms):
    """Take in that a write was refused, and the row that it met.

    Parameters
    ----------
    standing : LeaseState
    row : Row
        Never stale: the store compared it with the write.
    attempt : str
    now : float
        Monotonic seconds, from after the answer.
    terms : Terms

    Returns
    -------
    LeaseState
        Without the lease, unless the row is an earlier write of ours.
    """
    kept = tuple(item for item in standing.sent if item.attempt != attempt)
    standing = observe(standing._replace(sent=kept), row, now, terms)
    if _is_own(standing, row):
        return standing
    return standing._replace(held=None)


def can_acquire(standing, row, now, terms):
    """Return whether a write to the row may be sent.

    Parameters
    ----------
    standing : LeaseState
        Which has observed `row`.
    row : Row
    now : float
    terms : Terms

    Returns
    -------
    bool

    Notes
    -----
    No clock is shared, so the wait is counted from when this candidate
    first saw the row's version: by then the holder had sent its write,
    and its lease ends no later than the candidate's count of it.  The
    longest order is waited out as well, because an engine that ignores
    the fencing number would take a late order of the old holder after
    one of the new.  A row that is absent is waited for like any other;
    it may have been lost under a holder.  The holder's terms count if
    they are longer, as they are while settings are being changed.
    """
    if _is_own(standing, row):
        return True
    value = row.value or {}
    if value.get("released", False):
        return True
    if standing.seen is None or standing.seen.version != row.version:
        return False
    seconds = max(terms.seconds, value.get("seconds", 0.0))
    longest = max(terms.longest, value.get("longest", 0.0))
    return now - standing.seen.at > seconds + longest


def propose(standing, row, now, terms, *, holder, attempt, config=0):
    """Prepare the write that takes or renews the lease.

    Parameters
    ----------
    standing : LeaseState
    row : Row
        As last known; the write holds only on its version.
    now : float
        Monotonic seconds before the write is sent.
    terms : Terms
    holder : str
        For people; decides nothing.
    attempt : str
        Unique id of this write.
    config : int
        Configuration version that orders will be given for.

    Returns
    -------
    tuple of LeaseState and (Write or None)
    """
    if not can_acquire(standing, row, now, terms):
        return standing, None
    value = row.value or {}
    if _is_own(standing, row):
        fence = standing.held.fence
        config = max(config, standing.held.config)
    else:
        fence = standing.floor + 1
        config = max(config, value.get("config", 0))
    # An engine has met a higher number than ours: the row was lost once
    # and began again.  Orders would be refused for ever without this.
    if fence < standing.floor:
        fence = standing.floor + 1
    sent = records.UnansweredWrite(attempt, now, fence, config)
    write = tables.Write(
        row.key, _value(sent, holder, terms, released=False), row.version
    )
    kept = (*standing.sent, sent)[-MOST_SENT:]
    return standing._replace(sent=kept), write


def on_written(standing, attempt, version, terms):
    """Take in that a write took effect.

    Parameters
    ----------
    standing : LeaseState
    attempt : str
    version : int
        New version of the row.
    terms : Terms

    Returns
    -------
    LeaseState
    """
    sent = _find(standing.sent, attempt)
    held = records.HeldLease(
        sent.fence, sent.at + terms.seconds, version, sent.config
    )
    floor = max(standing.floor, sent.fence)
    return records.LeaseState(held=held, seen=None, sent=(), floor=floor)


def propose_release(standing, key, terms, *, holder, attempt):
    """Prepare the write that gives the lease up.

    Returns
    -------
    tuple of LeaseState and (Write or None)
        The standing holds nothing any more, whatever becomes of the
        write: its answer may be lost.

    Notes
    -----
    The successor does not wait after reading this, so it may be sent
    only once every order of ours has ended.
    """
    held = standing.held
    after = records.LeaseState(floor=standing.floor)
    if held is None:
        return after, None
    sent = records.UnansweredWrite(attempt, 0.0, held.fence, held.config)
    value = _value(sent, holder, terms, released=True)
    return after, tables.Write(key, value, held.version)


def _is_own(standing, row):
    held = standing.held
    return held is not None and held.version == row.version


def _find(sent, attempt):
    return next((item for item in sent if item.attempt == attempt), None)


def _value(sent, holder, terms, *, released):
    return records.Value(
        holder=holder,
        attempt=sent.attempt,
        fence=sent.fence,
        config=sent.config,
        released=released,
        seconds=terms.seconds,
        longest=terms.longest,
    )
