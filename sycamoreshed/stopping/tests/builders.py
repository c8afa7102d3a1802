"""Builders of requests and of what a stopping instance knows of them."""

import types

from sycamoreshed.catalog import types as records
from sycamoreshed.platform import calls
from sycamoreshed.platform import names
from sycamoreshed.stopping import deadline
from sycamoreshed.stopping import durations
from testkit import journals

__all__ = ["Clock", "make_deadline", "measure", "request", "route"]


class Clock:
    """A clock that tests set."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        """Return the time."""
        return self.now


def make_deadline(clock=None):
    """Return a `StopDeadline` that knows nothing."""
    return deadline.StopDeadline(
        known=durations.Durations(),
        journal=journals.Journal(),
        clock=clock or Clock(),
    )


def route(name="r", **changes):
    """Return a route whose answers usually take a second."""
    return records.Route(
        name,
        "h",
        "/",
        (("desk", 1.0),),
        **{"target_s": 1.0, "timeout_s": 60.0, **changes},
    )


def request(on=None, *, started_at=0.0, tokens=0, last_event_id=None):
    """Return what counts of a request whose caller waits for a minute."""
    fields = {names.REQUEST_ID: "r-1"}
    head = calls.parse_head(fields)._replace(
        max_output_tokens=tokens, last_event_id=last_event_id
    )
    return types.SimpleNamespace(
        id="r-1",
        route=on or route(),
        service="desk",
        head=head,
        shared_tokens=0,
        started_at=started_at,
        deadline=started_at + 60.0,
    )


def measure(stopping, measured, seconds, *, first_event_s=None):
    """Record a request that has one attempt, and so long lasts."""
    began_at = measured.started_at
    measurement = stopping.measure(measured)
    measurement.begin_attempt(began_at)
    if first_event_s is not None:
        measurement.record_first_event(began_at + first_event_s)
    measurement.end(began_at + seconds, is_whole=True)
