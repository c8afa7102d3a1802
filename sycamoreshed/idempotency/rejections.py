"""Refusals of requests with a key, told as far as they are true."""

from sycamoreshed.idempotency import keys
from sycamoreshed.idempotency import prior_runs

__all__ = ["Refuser"]


class Refuser:
    """Tells of a refusal whether an earlier request may have run.

    Parameters
    ----------
    sightings : Sightings
    asker : Asker
    trace : Trace
    """

    def __init__(self, *, sightings, asker, trace):
        self._sightings = sightings
        self._asker = asker
        self._trace = trace

    def refuse_at_once(self, request, failure):
        """Return a refusal of a request whose record was not looked at.

        Parameters
        ----------
        request : Request
        failure : Failure

        Returns
        -------
        Failure

        Notes
        -----
        Given for load, so it costs no call of the store or an endpoint.
        """
        earlier_may_have_run = self._known(request) is not False
        return self._told(request, failure, earlier_may_have_run)

    async def refuse_by_record(self, request, failure, row):
        """Return a refusal after its record was looked for.

        Parameters
        ----------
        request : Request
        failure : Failure
        row : Row or Failure
        """
        recorded = prior_runs.from_record(row)
        verdict = recorded or self._known(request)
        if verdict is None:
            verdict = recorded
        if verdict is None:
            verdict = await self._asked(request)
        return self._told(request, failure, verdict, row)

    async def refuse_after_claim(self, request, failure):
        """Return the failure of an attempt that sent nothing.

        Parameters
        ----------
        request : Request
        failure : Failure
            With ``earlier_may_have_run`` true if the attempt did not read
            the record.
        """
        verdict = self._known(request)
        if verdict is None:
            verdict = failure.earlier_may_have_run and await self._asked(
                request
            )
        return self._told(request, failure, verdict)

    def _known(self, request):
        return prior_runs.from_caller(
            request.repeat, is_seen=self._is_seen(request)
        )

    def _is_seen(self, request):
        return self._sightings.has(keys.names_of(request).row)

    async def _asked(self, request):
        names = keys.names_of(request)
        answers = await self._asker.ask_for_refusal(
            request.config, names.service, names.endpoint
        )
        return prior_runs.from_lookups(answers)

    def _told(self, request, failure, earlier_may_have_run, row=None):
        failure = failure._replace(earlier_may_have_run=earlier_may_have_run)
        self._trace.refusal(
            failure, request=request, row=row, is_seen=self._is_seen(request)
        )
        return failure
