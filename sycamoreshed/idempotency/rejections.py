"""Rejections of keyed requests.

Their outcome takes earlier requests with the key into account.
"""

from sycamoreshed.idempotency import keys
from sycamoreshed.idempotency import prior_runs

__all__ = ["Rejecter"]


class Rejecter:
    """Sets on a rejection whether an earlier request may have run.

    Parameters
    ----------
    prior_runs : PriorRuns
    lookups : EndpointLookups
    trace : Trace
    """

    def __init__(self, *, prior_runs, lookups, trace):
        self._prior_runs = prior_runs
        self._lookups = lookups
        self._trace = trace

    def reject_unread(self, request, failure):
        """Return the rejection of a request whose record was not read.

        Parameters
        ----------
        request : Request
        failure : Failure

        Returns
        -------
        Failure

        Notes
        -----
        Used under overload, so it calls neither the store nor endpoints.
        """
        earlier_may_have_run = self._local_verdict(request) is not False
        return self._finish(request, failure, earlier_may_have_run)

    async def reject_by_record(self, request, failure, row):
        """Return the rejection of a request after a read of its record.

        Parameters
        ----------
        request : Request
        failure : Failure
        row : Row or Failure
        """
        recorded = prior_runs.from_record(row)
        verdict = recorded or self._local_verdict(request)
        if verdict is None:
            verdict = recorded
        if verdict is None:
            verdict = await self._verdict_of_endpoints(request)
        return self._finish(request, failure, verdict, row)

    async def reject_unsent(self, request, failure):
        """Return the rejection of an attempt that sent nothing.

        Parameters
        ----------
        request : Request
        failure : Failure
            With ``earlier_may_have_run`` true if the record shows that an
            earlier attempt may have run, or could not be read.
        """
        verdict = self._local_verdict(request)
        if verdict is None:
            verdict = (
                failure.earlier_may_have_run
                and await self._verdict_of_endpoints(request)
            )
        return self._finish(request, failure, verdict)

    def _local_verdict(self, request):
        return prior_runs.from_caller(
            request.repeat, is_seen=self._is_seen(request)
        )

    def _is_seen(self, request):
        return self._prior_runs.has_other_request(
            keys.request_keys(request).record_key
        )

    async def _verdict_of_endpoints(self, request):
        names = keys.request_keys(request)
        answers = await self._lookups.look_up_for_rejection(
            request.config, names.service, names.endpoint_key
        )
        return prior_runs.from_lookups(answers)

    def _finish(self, request, failure, earlier_may_have_run, row=None):
        failure = failure._replace(earlier_may_have_run=earlier_may_have_run)
        self._trace.log_rejection(
            failure, request=request, row=row, is_seen=self._is_seen(request)
        )
        return failure
