"""Tells from the logs of instances what became of a request, and why.

Logs are read line by line and may be large: only the lines of the request
and the last thing each instance believed are kept.
"""

import collections
import typing

import msgspec

__all__ = ["Belief", "Story", "cause_of", "failures", "read", "tell", "trace"]

# Events that end a request without an endpoint's whole answer.
ENDS = ("failed", "broken", "caller_left")

# Why a request ended so, by the kind of its failure.
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
BROKEN = (
    "the engine's answer ended before its end, and it could not go on "
    "elsewhere: the route does not allow it, or no attempt or budget was left"
)
LEFT = "the caller closed its connection before the answer was whole"


class Belief(typing.NamedTuple):
    """What an instance believed at a moment.

    Parameters
    ----------
    version : int or None
        Of the configuration in force.
    since : float or None
        Unix time at which it came in force.
    lost : dict of str to float
        Tables that the store did not tell, and since when.
    out : dict of str to str
        Endpoints that were avoided, and why.
    """

    version: int | None = None
    since: float | None = None
    lost: dict = {}
    out: dict = {}


class Story(typing.NamedTuple):
    """The lines of a request in order, and beliefs at its first ones."""

    lines: list
    beliefs: dict


def read(files):
    """Yield the decoded lines of open log files.

    Lines that are no JSON, such as what a shell puts before them, are
    read from their first brace on or left out.
    """
    decoder = msgspec.json.Decoder()
    for each in files:
        for line in each:
            start = line.find("{")
            if start < 0:
                continue
            try:
                found = decoder.decode(line[start:])
            except msgspec.DecodeError:
                continue
            if isinstance(found, dict) and "event" in found:
                yield found


def trace(lines, request):
    """Return the `Story` of a request.

    Parameters
    ----------
    lines : iterable of dict
        Of each instance in order; instances may be mixed.
    request : str
    """
    beliefs = collections.defaultdict(Belief)
    found = []
    held = {}
    for line in lines:
        name = line["at"]
        if line.get("request") == request:
            held.setdefault(name, beliefs[name])
            found.append(line)
        elif request in line.get("requests", ()):
            found.append(line)
        else:
            beliefs[name] = _learn(beliefs[name], line)
    found.sort(key=lambda line: line["t"])
    return Story(found, held)


def _learn(belief, line):
    event = line["event"]
    if event == "start":
        return Belief()
    if event == "configuration":
        return belief._replace(version=line["version"], since=line["t"])
    if event == "store_lost":
        lost = {**belief.lost, line["table"]: line["t"]}
        return belief._replace(lost=lost)
    if event == "store_back":
        lost = {k: v for k, v in belief.lost.items() if k != line["table"]}
        return belief._replace(lost=lost)
    if event == "endpoint_out":
        return belief._replace(
            out={**belief.out, line["endpoint"]: line["why"]}
        )
    if event == "endpoint_back":
        out = {k: v for k, v in belief.out.items() if k != line["endpoint"]}
        return belief._replace(out=out)
    return belief


def cause_of(line):
    """Return in plain words why a line ended a request, or None."""
    if line["event"] == "failed":
        return CAUSES.get(line["kind"], line["why"])
    return {"broken": BROKEN, "caller_left": LEFT}.get(line["event"])


def tell(story):
    """Return the text that explains a `Story`, as a list of lines."""
    if not story.lines:
        return ["no line names this request"]
    first = story.lines[0]["t"]
    text = []
    for name, belief in sorted(story.beliefs.items()):
        text.append(_tell_belief(name, belief, first))
    for line in story.lines:
        fields = " ".join(
            f"{key}={value}"
            for key, value in line.items()
            if key not in ("t", "at", "event", "request", "requests")
        )
        after = line["t"] - first
        text.append(f"+{after:.3f} s {line['at']} {line['event']}: {fields}")
    causes = [each for each in map(cause_of, story.lines) if each]
    if causes:
        text.append(f"cause: {causes[-1]}")
    elif story.lines[-1]["event"] == "answered":
        text.append("it was answered")
    return text


def _tell_belief(name, belief, now):
    if belief.version is None:
        return f"{name} knew no configuration"
    parts = [f"configuration {belief.version} for {now - belief.since:.1f} s"]
    for table, since in sorted(belief.lost.items()):
        parts.append(f"store lost for {table} for {now - since:.1f} s")
    for endpoint, why in sorted(belief.out.items()):
        parts.append(f"{endpoint} avoided lately ({why})")
    return f"{name} believed: " + "; ".join(parts)


def failures(lines):
    """Return requests that ended without an endpoint's answer, by cause.

    Returns
    -------
    list of (str, int, str)
        Cause, how many, and one request's id; the most frequent first.
    """
    counts = collections.Counter()
    examples = {}
    for line in lines:
        if line["event"] not in ENDS:
            continue
        cause = cause_of(line)
        counts[cause] += 1
        examples.setdefault(cause, line.get("request"))
    return [
        (cause, count, examples[cause])
        for cause, count in counts.most_common()
    ]
