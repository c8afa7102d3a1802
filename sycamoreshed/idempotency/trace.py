"""Decision log lines about records: each write, its version and its reason."""

from sycamoreshed.adapters import positions
from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds

__all__ = ["Trace"]


class Trace:
    """Logs a line for each decision about a record.

    Parameters
    ----------
    log : DecisionLog
    clock : callable
        Returns monotonic seconds.

    Notes
    -----
    Several attempts may hold a record one after another.  The version and
    the attempt on each line allow an answer to be traced to the record
    that it was built from.
    """

    def __init__(self, *, log, clock):
        self._log = log
        self._clock = clock

    def log_row(self, step_name, row, **fields):
        """Log a step that was decided from a row.

        Parameters
        ----------
        step_name : str
            Name of the step.
        row : Row, Failure or None
        **fields
            Further log fields, such as ``request`` and ``step``.
        """
        self._write(step_name, **_row_fields(row), **fields)

    def log_write(self, step_name, write, result):
        """Log a conditional write and its result.

        Parameters
        ----------
        step_name : str
            Name of the step.
        write : Write
            Of a record.
        result : Written, Conflict or Failure
        """
        self._write(
            step_name,
            key=write.key,
            request=write.value["attempt"],
            state=write.value["state"],
            if_version=_readable(write.if_version),
            **_result_fields(result),
        )

    def log_rejection(self, failure, *, request, row, is_seen):
        """Log a rejection that is returned to a caller, and its reasons.

        Parameters
        ----------
        failure : Failure
            As returned to the caller.
        request : Request
        row : Row, Failure or None
            The record of its key; None if it was not read.
        is_seen : bool
            Whether another request with the key is in progress, or may
            have run, on this instance.
        """
        self._write(
            "refuse key",
            request=request.id,
            kind=str(failure.kind),
            in_doubt=failure.earlier_may_have_run,
            repeat=request.repeat,
            is_seen=is_seen,
            **_row_fields(row),
        )

    def _write(self, step_name, **fields):
        self._log.write(self._clock(), step_name, **fields)


def _readable(version):
    """Return a row's version for the log: with its era, unless that is 0.

    Examples
    --------
    >>> _readable(7), _readable(positions.pack(positions.Position(2, 7)))
    (7, '2.7')
    """
    position = positions.unpack(version)
    if not position.era:
        return version
    return positions.format_position(position)


def _row_fields(row):
    """Return log fields for a row, or the reason why it is missing.

    Examples
    --------
    >>> value = {"state": "begun", "attempt": "a"}
    >>> _row_fields(tables.Row("k", value, 7))
    {'key': 'k', 'version': 7, 'state': 'begun', 'attempt': 'a'}
    >>> _row_fields(tables.Row("k", None, 0))
    {'key': 'k', 'version': 0}
    """
    if row is None:
        return {}
    if isinstance(row, kinds.Failure):
        return {"why": row.reason}
    fields = {"key": row.key, "version": _readable(row.version)}
    if row.value is not None:
        fields["state"] = str(row.value["state"])
        fields["attempt"] = row.value["attempt"]
    return fields


def _result_fields(result):
    """Return log fields for the result of a write.

    Examples
    --------
    >>> _result_fields(tables.Written((7,)))
    {'result': 'written', 'version': 7}
    >>> value = {"state": "done", "attempt": "a"}
    >>> _result_fields(tables.Conflict((tables.Row("k", value, 8),)))
    {'result': 'conflict', 'found': 8, 'found_state': 'done', 'attempt': 'a'}
    """
    if isinstance(result, tables.Written):
        version = _readable(result.versions[0])
        return {"result": "written", "version": version}
    if isinstance(result, kinds.Failure):
        return {
            "result": "unknown" if result.sent else "refused",
            "why": result.reason,
        }
    current = _row_fields(result.rows[0])
    fields = {"result": "conflict", "found": current["version"]}
    if "state" in current:
        fields["found_state"] = current["state"]
        fields["attempt"] = current["attempt"]
    return fields
