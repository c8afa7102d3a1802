"""Requesters of streams, which take up at another process what breaks."""

import asyncio

from review.kit import clients
from review.kit import deployments
from testkit import wiredata

__all__ = ["Requesters"]


class Requesters:
    """Sends streams to the processes of a deployment.

    Parameters
    ----------
    deployment : Deployment
    session : aiohttp.ClientSession
    record : Record
    deadline_s : float
    gap_s : float, optional
        Seconds without an event after which a stream is abandoned.
    """

    def __init__(self, *, deployment, session, record, deadline_s, gap_s=None):
        self._deployment = deployment
        self._session = session
        self._record = record
        self._deadline_s = deadline_s
        self._gap_s = gap_s

    async def attempt(self, name, request, headers, *, prompt=None):
        """Send one attempt to a process; return its `Part`.

        Parameters
        ----------
        name, request : str
        headers : dict
        prompt : str, optional
            The request whose prompt it has, if that is another one.
        """
        process = self._deployment.running[name]
        self._record.write(
            f"{request} sent to {name} "
            f"resumes={headers.get('Resumes')} "
            f"after={headers.get('Last-Event-Id')}"
        )
        part = await clients.stream(
            self._session,
            process.public,
            f"{deployments.PREFIX}12",
            headers,
            f"prompt of {prompt or request}".encode(),
            gap_s=self._gap_s,
        )
        events = "; ".join(f"{number}={data}" for number, data in part.events)
        self._record.write(
            f"{request} got {part.status} complete={part.is_complete} "
            f"[{events}]"
        )
        return part

    async def run(self, request, first, second):
        """Run a stream at a process, and once more at a second one.

        Returns
        -------
        (Part, Part or None)
            None if the stream was not taken up.
        """
        began_at = asyncio.get_running_loop().time()
        part = await self.attempt(
            first, request, self.head(request, self._deadline_s)
        )
        if part.is_complete or not part.events:
            return part, None
        passed_s = asyncio.get_running_loop().time() - began_at
        again = f"{request}-again"
        headers = self.head(again, self._deadline_s - passed_s, prompt=request)
        headers["Last-Event-Id"] = str(part.events[-1][0])
        headers["Resumes"] = request
        return part, await self.attempt(second, again, headers, prompt=request)

    def head(self, request, deadline_s, *, prompt=None):
        """Return the headers of an attempt.

        Parameters
        ----------
        request : str
        deadline_s : float
        prompt : str, optional
            The request whose prompt it has, if that is another one.
        """
        own = (prompt or request).encode().hex()
        return wiredata.head(
            request,
            deadline_ms=str(int(deadline_s * 1000)),
            model="m",
            token_usage="600,40",
            prefix_hash=f"5c1e07a2:200,{own}:400",
        )
