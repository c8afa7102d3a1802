"""A ballot during an outage of the table service, and after it.

Repeatable requests are still served.  A ballot is answered with "not run"
and a time to retry; retried with the same key, it runs once.
"""

import asyncio

from testkit import processes

# Each earlier request was reported as not run, so none is a repeat.
KEY = {"Idempotency_Key": "member-12", "Idempotency_Repeat": "false"}


async def main():
    """Cast a ballot during a store outage, and again after it."""
    async with processes.cluster() as cluster:
        await cluster.faults("table", down=True)
        status, _, body = await cluster.call(
            0, "catalogue", {"input": "film 7"}
        )
        print("read while away:", status, body["outcome"])
        status, headers, body = await cluster.call(
            0, "ballot", {"input": "film 7"}, **KEY
        )
        print("ballot while away:", status, body["outcome"])
        await cluster.faults("table")
        while status != 200:
            await asyncio.sleep(float(headers.get("Retry-After", "1")))
            status, headers, body = await cluster.call(
                0, "ballot", {"input": "film 7"}, **KEY
            )
        print("ballot once back:", status, body["output"])


if __name__ == "__main__":
    asyncio.run(main())
