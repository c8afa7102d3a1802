"""Invalid input gets a specific error and reaches no endpoint."""

import json

from testkit import processes

GOOD = b'{"input": 1}'
TEAM = {"Team": "gaucho"}

# Method, path, headers, body, status, kind.
CASES = [
    ("POST", "summary", TEAM, b"{", 400, "bad-request"),
    ("POST", "summary", TEAM, b'{"input": 1, "x": 1}', 400, "bad-request"),
    ("POST", "summary", TEAM, b'{"input": "' + b"x" * 9000, 413, "too-large"),
    ("POST", "summary", {"Team": "x"}, GOOD, 403, "unknown-team"),
    ("POST", "summary", {}, GOOD, 403, "unknown-team"),
    ("POST", "x", TEAM, GOOD, 404, "unknown-pipeline"),
    ("POST", "ballot", TEAM, GOOD, 400, "key-missing"),
    ("POST", "a/b", TEAM, GOOD, 404, "unknown-path"),
    ("GET", "summary", TEAM, b"", 405, "wrong-method"),
    (
        "POST",
        "summary",
        {**TEAM, "Deadline-Ms": "x"},
        GOOD,
        400,
        "bad-request",
    ),
    (
        "POST",
        "summary",
        {**TEAM, "Long": "x" * 20000},
        GOOD,
        431,
        "head-too-large",
    ),
    (
        "POST",
        "summary",
        {**TEAM, **{f"H{n}": "x" for n in range(4000)}},
        GOOD,
        431,
        "head-too-large",
    ),
]


async def send(cluster, method, path, headers, body):
    """Send raw input; return status, headers and body."""
    url = f"http://{cluster.daemons[0].public}/v1/pipelines/{path}"
    async with cluster.session.request(
        method, url, data=body, headers=headers
    ) as answer:
        return answer.status, answer.headers, await answer.read()


async def served(cluster):
    """Return the number of calls that all endpoints served."""
    counts = [
        await cluster.get(name, "/counts")
        for name in cluster.addresses
        if name.rpartition("-")[0]
    ]
    return sum(count.get("served", 0) for count in counts)


async def test_bad_input():
    """Callers send invalid requests, by mistake or with intent."""
    async with processes.cluster(max_body_bytes=8192) as cluster:
        for method, path, headers, body, status, kind in CASES:
            received = await send(cluster, method, path, headers, body)
            assert received[0] == status, (path, received)
            details = json.loads(received[2])
            assert details["type"] == f"urn:sycamoreshed:error:{kind}"
            assert details["status"] == status
            assert details["outcome"] == "not-run"
            assert received[1]["Outcome"] == "not-run"
            assert received[1]["Content-Type"] == "application/problem+json"
        assert await served(cluster) == 0
        good = await send(cluster, "POST", "catalogue", TEAM, GOOD)
        assert good[0] == 200
        assert await served(cluster) == 1
