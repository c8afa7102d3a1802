"""A ballot while the table service is away, and once it is back.

What may be repeated goes on; a ballot hears that it did not run, and when
to come again; with the same key it then runs once.
"""

import asyncio

from testkit import processes

# Each request before was told as not run, so none is repeated.
KEY = {"Idempotency_Key": "member-12", "Idempotency_Repeat": "false"}


async def main():
    """Take the store away, cast a ballot, bring it back, cast again."""
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
