"""Explains from the logs of instances how a request ended, and why.

Logs may be large and are read line by line: only the lines of the request
and the recorded state of each instance are kept.
"""

import collections
import typing

import msgspec

__all__ = [
    "InstanceState",
    "RequestTrace",
    "cause_of",
    "count_failures",
    "format_trace",
    "read_events",
    "trace_request",
]

# Events of a request that ended without a full answer of an endpoint; one
# request can have two of them.
FAILURE_EVENTS = ("failed", "broken", "caller_left")

# Printed cause of a `failed` event, by the kind of the failure.
CAUSES = {
    "not-ready": "the instance knew no configuration yet: neither the store "
    "nor another instance had told it one since its start",
    "draining": "the instance was stopping; another one serves at once",
    "unknown-key": "no team had the key in the configuration in force there",
    "unknown-path": "no route had the host and path in the configuration in "
    "force there",
    "hopeless": "its stages could not have been done in time: see the "
    "backlog of the zone, and which endpoints were out",
    "no-endpoint": "no endpoint of the service was known that it had not "
    "been sent to already",
    "no-region": "its route and its team allow no region in common, or none "
    "of this deployment; see the regions in 'admitted'",
    "stage-failed": "endpoints of a stage failed its pieces, and no attempt "
    "or budget was left",
    "late": "its time passed; if it was sent, nobody knows whether it ran",
    "refused": "the last endpoint it was sent to broke off or failed; if it "
    "was sent, nobody knows whether it ran",
    "stray-answer": "an endpoint answered for another request",
    "internal": "a fault of the program; see the line 'internal'",
    "too-large": "its body is larger than the configuration allows",
    "bad-request": "its head or body cannot be read",
}
BROKEN_CAUSE = (
    "the engine's answer ended before its end, and it could not go on "
    "elsewhere: the route does not allow it, or no attempt or budget was left"
)
CALLER_LEFT_CAUSE = (
    "the caller closed its connection before the answer was whole"
)


class InstanceState(typing.NamedTuple):
    """State of an instance at a point in time, as its log recorded it.

    Parameters
    ----------
    version : int or None
        Version of the configuration in force.
    version_since : float or None
        Unix time at which it came into force.
    lost_tables : dict of str to float
        Tables that the store did not answer for, with the Unix time of the
        last `store_lost` event.
    avoided : dict of str to str
        Endpoints with an `endpoint_out` event and no later `endpoint_back`,
        and why; the time of avoidance may be over.
    """

    version: int | None = None
    version_since: float | None = None
    lost_tables: dict = {}
    avoided: dict = {}


class RequestTrace(typing.NamedTuple):
    """Lines of a request by time, and the state of each instance.

    The state is the one before the instance's first line with the request's
    id in `request`; lines that only list it in `requests` do not count.
    """

    lines: list
    states: dict


def read_events(files):
    """Yield the decoded lines of open log files.

    A line is parsed from its first brace on, since a shell may put a prefix
    before it.  Lines without a JSON object that has an `event` are skipped.
    """
    decoder = msgspec.json.Decoder()
    for file in files:
        for line in file:
            start = line.find("{")
            if start < 0:
                continue
            try:
                event = decoder.decode(line[start:])
            except msgspec.DecodeError:
                continue
            if isinstance(event, dict) and "event" in event:
                yield event


def trace_request(lines, request):
    """Return the `RequestTrace` of a request.

    Parameters
    ----------
    lines : iterable of dict
        In order for each instance; instances may be interleaved.
    request : str
        Id of the request.
    """
    current = collections.defaultdict(InstanceState)
    matching = []
    states = {}
    for line in lines:
        name = line["at"]
        if line.get("request") == request:
            states.setdefault(name, current[name])
            matching.append(line)
        elif request in line.get("requests", ()):
            matching.append(line)
        else:
            current[name] = _apply_event(current[name], line)
    matching.sort(key=lambda line: line["t"])
    return RequestTrace(matching, states)


def _apply_event(state, line):
    event = line["event"]
    if event == "start":
        return InstanceState()
    if event == "configuration":
        return state._replace(version=line["version"], version_since=line["t"])
    if event == "store_lost":
        lost_tables = {**state.lost_tables, line["table"]: line["t"]}
        return state._replace(lost_tables=lost_tables)
    if event == "store_back":
        lost_tables = {
            k: v for k, v in state.lost_tables.items() if k != line["table"]
        }
        return state._replace(lost_tables=lost_tables)
    if event == "endpoint_out":
        return state._replace(
            avoided={**state.avoided, line["endpoint"]: line["why"]}
        )
    if event == "endpoint_back":
        avoided = {
            k: v for k, v in state.avoided.items() if k != line["endpoint"]
        }
        return state._replace(avoided=avoided)
    return state


def cause_of(line):
    """Return why a line's event ended a request, or None if it did not."""
    if line["event"] == "failed":
        return CAUSES.get(line["kind"], line["why"])
    return {"broken": BROKEN_CAUSE, "caller_left": CALLER_LEFT_CAUSE}.get(
        line["event"]
    )


def format_trace(trace):
    """Return the explanation of a `RequestTrace` as a list of lines."""
    if not trace.lines:
        return ["no line names this request"]
    first_at = trace.lines[0]["t"]
    text = []
    for name, state in sorted(trace.states.items()):
        text.append(_format_state(name, state, first_at))
    for line in trace.lines:
        fields = " ".join(
            f"{key}={value}"
            for key, value in line.items()
            if key not in ("t", "at", "event", "request", "requests")
        )
        elapsed_s = line["t"] - first_at
        text.append(
            f"+{elapsed_s:.3f} s {line['at']} {line['event']}: {fields}"
        )
    causes = [cause for cause in map(cause_of, trace.lines) if cause]
    if causes:
        text.append(f"cause: {causes[-1]}")
    elif trace.lines[-1]["event"] == "answered":
        text.append("it was answered")
    return text


def _format_state(name, state, now):
    if state.version is None:
        return f"{name} knew no configuration"
    parts = [
        f"configuration {state.version} for {now - state.version_since:.1f} s"
    ]
    for table, since in sorted(state.lost_tables.items()):
        parts.append(f"store lost for {table} for {now - since:.1f} s")
    for endpoint, why in sorted(state.avoided.items()):
        parts.append(f"{endpoint} avoided lately ({why})")
    return f"{name} believed: " + "; ".join(parts)


def count_failures(lines):
    """Count the events of requests without a full answer, by cause.

    Returns
    -------
    list of (str, int, str)
        Cause, number of events and the request id of the first one; the
        most frequent cause first.
    """
    counts = collections.Counter()
    examples = {}
    for line in lines:
        if line["event"] not in FAILURE_EVENTS:
            continue
        cause = cause_of(line)
        counts[cause] += 1
        examples.setdefault(cause, line.get("request"))
    return [
        (cause, count, examples[cause])
        for cause, count in counts.most_common()
    ]
