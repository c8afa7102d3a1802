"""Rules of acquiring, renewing and losing a lease, as pure functions.

Each function takes the state of a candidate, a row of the table service
or the outcome of a write, and the current time, and returns the next
state.  `sycamoreshed.orders.leaseclient` reads and writes the row; the
tests run the same functions through every order of events.
"""

from sycamoreshed.adapters import positions
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

# Limit on the unanswered writes that are remembered.  More than a few mean
# that the store is unavailable, and then the lease expires anyway.
MAX_UNANSWERED = 8
# Bits of a fencing number below those of the store's era; 13 bits remain for
# the era in a number that a double holds exactly.
FENCE_VERSION_BITS = 40


def is_valid(state, now, terms):
    """Return whether an order may be sent at monotonic time `now`.

    Examples
    --------
    >>> lease = records.HeldLease(
    ...     fence=1, expires_at=6.0, version=1, config=0
    ... )
    >>> is_valid(records.LeaseState(lease=lease), 4.9, records.Terms())
    True
    >>> is_valid(records.LeaseState(lease=lease), 5.0, records.Terms())
    False
    """
    lease = state.lease
    return lease is not None and now < lease.expires_at - terms.margin_s


def observe(state, row, now, terms):
    """Update the state from a row, read or returned with a conflict.

    Parameters
    ----------
    state : LeaseState
    row : Row
    now : float
        Monotonic seconds, taken after the response arrived.
    terms : Terms

    Returns
    -------
    LeaseState

    Notes
    -----
    An own write without a response is recognized by its id.  The version
    does not suffice: if the response to a renewal was lost, the holder
    has never seen the new version and would wait for its own lease to
    expire.  The holder's name does not suffice either: an instance
    restarted under the same name would treat the lease of its predecessor
    as its own and skip the wait.  Nor does the id of a write over a row of
    an earlier era: it may have replaced the lease of another holder, whose
    row had the same version by chance.
    """
    value = row.value or {}
    own = _find(state.unanswered, value.get("attempt"))
    if own is not None and own.era != _era(row):
        own = None
    max_fence = max(state.max_fence, value.get("fence", 0))
    state = state._replace(max_fence=max_fence)
    if own is not None and not value["released"]:
        lease = records.HeldLease(
            own.fence, own.sent_at + terms.duration_s, row.version, own.config
        )
        return state._replace(lease=lease, seen=None, unanswered=())
    if state.seen is None or state.seen.version != row.version:
        state = state._replace(seen=records.SeenVersion(row.version, now))
    if not _is_own(state, row) and not is_valid(state, now, terms):
        state = state._replace(lease=None)
    return state


def on_conflict(state, row, attempt, now, terms):
    """Update the state after a write that was refused with a conflict.

    Parameters
    ----------
    state : LeaseState
    row : Row
        Current row, never stale: the store compared it with the write.
    attempt : str
    now : float
        Monotonic seconds, taken after the response arrived.
    terms : Terms

    Returns
    -------
    LeaseState
        Without the lease, unless the row is an earlier own write.
    """
    remaining = tuple(
        item for item in state.unanswered if item.attempt != attempt
    )
    state = observe(state._replace(unanswered=remaining), row, now, terms)
    if _is_own(state, row):
        return state
    return state._replace(lease=None)


def can_acquire(state, row, now, terms):
    """Return whether the lease may be acquired or renewed now.

    Parameters
    ----------
    state : LeaseState
        State after `observe` of `row`.
    row : Row
    now : float
    terms : Terms

    Returns
    -------
    bool

    Notes
    -----
    Instances share no clock, so the wait starts when this candidate
    first saw the row's version.  The holder had sent its write by then,
    so its lease expires no later than the candidate computes.  The
    maximum duration of an order is added, because an engine that ignores
    the fencing number would accept a late order of the old holder after
    one of the new holder.  The wait applies to an absent row as well; the
    store may have lost it while the lease was held.  The holder's terms
    apply if they are longer, as can happen while settings are changed.

    After the store came back from an older copy, a row that was released
    may have been acquired since the copy was made.
    """
    if _is_own(state, row):
        return True
    value = row.value or {}
    if value.get("released", False) and value.get("era", 0) == _era(row):
        return True
    if state.seen is None or state.seen.version != row.version:
        return False
    duration_s = max(terms.duration_s, value.get("seconds", 0.0))
    max_order_s = max(terms.max_order_s, value.get("longest", 0.0))
    return now - state.seen.seen_at > duration_s + max_order_s


def propose(state, row, now, terms, *, holder, attempt, config=0):
    """Prepare the write that acquires or renews the lease.

    Parameters
    ----------
    state : LeaseState
    row : Row
        Last known row; the write is conditional on its version.
    now : float
        Monotonic seconds before the write is sent.
    terms : Terms
    holder : str
        Name for people who read the row; no rule uses it.
    attempt : str
        Unique id of this write.
    config : int
        Configuration version that orders will be sent for.

    Returns
    -------
    tuple of LeaseState and (Write or None)
    """
    if not can_acquire(state, row, now, terms):
        return state, None
    value = row.value or {}
    if _is_own(state, row):
        fence = state.lease.fence
        config = max(config, state.lease.config)
    else:
        fence = max(state.max_fence, _fence_floor(row)) + 1
        config = max(config, value.get("config", 0))
    # An engine has received a higher fencing number, as after the store lost
    # the row and the numbers restarted.  It would refuse all orders with
    # lower numbers for good.
    if fence < state.max_fence:
        fence = state.max_fence + 1
    pending = records.UnansweredWrite(attempt, now, fence, config, _era(row))
    write = tables.Write(
        row.key, _value(pending, holder, terms, released=False), row.version
    )
    unanswered = (*state.unanswered, pending)[-MAX_UNANSWERED:]
    return state._replace(unanswered=unanswered), write


def on_written(state, attempt, version, terms):
    """Update the state after a write that took effect.

    Parameters
    ----------
    state : LeaseState
    attempt : str
    version : int
        New version of the row.
    terms : Terms

    Returns
    -------
    LeaseState
    """
    pending = _find(state.unanswered, attempt)
    lease = records.HeldLease(
        pending.fence,
        pending.sent_at + terms.duration_s,
        version,
        pending.config,
    )
    max_fence = max(state.max_fence, pending.fence)
    return records.LeaseState(
        lease=lease, seen=None, unanswered=(), max_fence=max_fence
    )


def propose_release(state, key, terms, *, holder, attempt):
    """Prepare the write that releases the lease.

    Returns
    -------
    tuple of LeaseState and (Write or None)
        The state has no lease, whatever the outcome of the write, since
        its response may be lost.

    Notes
    -----
    The successor does not wait after it has read the released row, so
    the write may be sent only once all own orders have ended.
    """
    lease = state.lease
    released = records.LeaseState(max_fence=state.max_fence)
    if lease is None:
        return released, None
    pending = records.UnansweredWrite(
        attempt,
        0.0,
        lease.fence,
        lease.config,
        positions.unpack(lease.version).era,
    )
    value = _value(pending, holder, terms, released=True)
    return released, tables.Write(key, value, lease.version)


def _fence_floor(row):
    """Return what fencing numbers over later versions of a row exceed.

    The store may have lost the highest number, or a row that holds it may
    have been replaced by chance.
    """
    era, version = positions.unpack(row.version)
    return (era << FENCE_VERSION_BITS) + version if era else 0


def _era(row):
    return positions.unpack(row.version).era


def _is_own(state, row):
    lease = state.lease
    return lease is not None and lease.version == row.version


def _find(writes, attempt):
    return next((item for item in writes if item.attempt == attempt), None)


def _value(pending, holder, terms, *, released):
    return records.Value(
        holder=holder,
        attempt=pending.attempt,
        fence=pending.fence,
        config=pending.config,
        released=released,
        seconds=terms.duration_s,
        longest=terms.max_order_s,
        era=pending.era,
    )
