"""Runs requests that may not be repeated, and tells what became of them."""

import asyncio

from aiohttp import web
import msgspec

from sycamoreshed.entry import answers
from sycamoreshed.entry import problems
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import decide
from sycamoreshed.idempotency import records
from sycamoreshed.kernel import kernel

__all__ = ["Once"]

TEAM = "Team"


class Once:
    """Runs a pipeline at most once for each key.

    Parameters
    ----------
    records : Records
    runner : Runner
    """

    def __init__(self, *, records, runner):
        self._records = records
        self._runner = runner

    async def run(self, request):
        """Run a request, or return the first answer to its key.

        Returns
        -------
        bytes or Failure
            The body of the answer.
        """
        claim = await self._records.claim(request)
        if isinstance(claim, kinds.Failure):
            return claim
        if isinstance(claim, records.Replay):
            return claim.answer.encode()
        # Shielded: a caller that goes away must not leave a call sent
        # and its answer unrecorded.
        run = asyncio.ensure_future(self._run_claimed(request, claim))
        return await asyncio.shield(run)

    async def look_up(self, http):
        """Tell a caller what became of a request with a key."""
        team = http.headers.get(TEAM, "")
        record = await self._records.look_up(
            team, http.match_info["pipeline"], http.match_info["key"]
        )
        if isinstance(record, kinds.Failure):
            return problems.response(record)
        if record is None:
            return problems.response(
                kinds.Failure(kinds.Kind.KEY_UNKNOWN, "nothing recorded")
            )
        if record["state"] == decide.State.DONE:
            return answers.response(record["answer"].encode())
        outcome = kinds.Outcome.OUTCOME_UNKNOWN
        if record["state"] == decide.State.NOT_RUN:
            outcome = kinds.Outcome.NOT_RUN
        raw = msgspec.json.encode({"outcome": outcome})
        return answers.response(raw, outcome)

    async def _run_claimed(self, request, claim):
        result = await self._runner.run(request)
        if not isinstance(result, kinds.Failure):
            answer = answers.encode(request, result)
            await self._records.finish(claim, answer.decode())
            return answer
        if not result.sent:
            await self._records.release(claim)
            return result
        return result._replace(kind=kinds.Kind.OUTCOME_UNKNOWN)


@kernel.plugin("once", needs=("records", "runner"))
async def once(core):
    """Provide at-most-once execution, and look-ups by key."""
    part = Once(records=core.part("records"), runner=core.part("runner"))
    path = "/v1/pipelines/{pipeline}/keys/{key}"
    core.public.add_routes([web.get(path, part.look_up)])
    yield part
