"""A demonstration with three entry instances in two zones.

Starts stand-in services and daemons, sends requests, streams one answer,
casts one ballot with the same key through two instances, prints routing
decisions, and stops all processes.
"""

import asyncio
import json

from testkit import processes

ZONES = ["north-a", "north-b", "north-a"]


def check(status):
    """Exit with an error unless the status is 200."""
    if status != 200:
        raise SystemExit(1)


async def stream_answer(cluster):
    """Stream one summary and print its tokens."""
    url = f"http://{cluster.daemons[1].public}/v1/pipelines/summary"
    body = {"input": "dossier 12", "stream": True}
    headers = {"Team": "ilha"}
    async with cluster.session.post(url, json=body, headers=headers) as answer:
        text = await answer.text()
    events = [line for line in text.splitlines() if "event:" in line]
    print(f"streamed: {len(events) - 1} tokens, then {events[-1]}")


async def show_decisions(cluster):
    """Print the first two routing decisions of each instance."""
    for daemon in cluster.daemons:
        routed = [
            line for line in daemon.lines if line.get("decision") == "route"
        ]
        for line in routed[:2]:
            print("decision:", json.dumps(line))


async def main():
    """Run the demonstration."""
    async with processes.cluster(daemons=3, zones=ZONES) as cluster:
        for index in range(3):
            status, _, body = await cluster.call(
                index, "summary", {"input": f"dossier {index}"}
            )
            print(f"summary through {index + 1}: {status}", body["output"])
            check(status)
        await stream_answer(cluster)
        for index in (0, 2):
            status, _, body = await cluster.call(
                index, "ballot", {"input": "film 7"}, Idempotency_Key="k1"
            )
            print(f"ballot through {index + 1}: {status}", body["output"])
            check(status)
        await show_decisions(cluster)
        codes = [await daemon.stop() for daemon in cluster.daemons]
    print("exit codes:", codes)
    if any(codes):
        raise SystemExit(1)


if __name__ == "__main__":
    asyncio.run(main())
