"""Log lines about records: who wrote which version, and on what grounds."""

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds

__all__ = ["Trace"]


class Trace:
    """Writes a line for each step that decides about a record.

    Parameters
    ----------
    log : DecisionLog
    clock : callable
        Returns monotonic seconds.

    Notes
    -----
    A record passes from one attempt to the next.  Only with the version
    and the attempt on each line can an answer be followed back to the
    record that it was made from.
    """

    def __init__(self, *, log, clock):
        self._log = log
        self._clock = clock

    def row(self, what, row, **fields):
        """Log a step that was decided from a row as it was read.

        Parameters
        ----------
        what : str
            Name of the step.
        row : Row, Failure or None
        **fields
            ``request``, ``step`` and the like.
        """
        self._write(what, **_seen(row), **fields)

    def write(self, what, write, result):
        """Log a conditional write and what came of it.

        Parameters
        ----------
        what : str
            Name of the step.
        write : Write
            Of a record.
        result : Written, Conflict or Failure
        """
        self._write(
            what,
            key=write.key,
            request=write.value["attempt"],
            state=write.value["state"],
            if_version=write.if_version,
            **_came_of(result),
        )

    def refusal(self, failure, *, request, row, is_seen):
        """Log what a refused request is told, and on what grounds.

        Parameters
        ----------
        failure : Failure
            As it is told.
        request : Request
        row : Row, Failure or None
            The record of its key, as far as it was read.
        is_seen : bool
            Whether this instance knows of another request with the key.
        """
        self._write(
            "refuse key",
            request=request.id,
            kind=str(failure.kind),
            in_doubt=failure.earlier_may_have_run,
            repeat=request.repeat,
            is_seen=is_seen,
            **_seen(row),
        )

    def _write(self, what, **fields):
        self._log.write(self._clock(), what, **fields)


def _seen(row):
    """Return the fields that tell of a row, or why there is none.

    Examples
    --------
    >>> value = {"state": "begun", "attempt": "a"}
    >>> _seen(tables.Row("k", value, 7))
    {'key': 'k', 'version': 7, 'state': 'begun', 'attempt': 'a'}
    >>> _seen(tables.Row("k", None, 0))
    {'key': 'k', 'version': 0}
    """
    if row is None:
        return {}
    if isinstance(row, kinds.Failure):
        return {"why": row.reason}
    fields = {"key": row.key, "version": row.version}
    if row.value is not None:
        fields["state"] = str(row.value["state"])
        fields["attempt"] = row.value["attempt"]
    return fields


def _came_of(result):
    """Return the fields that tell what came of a write.

    Examples
    --------
    >>> _came_of(tables.Written((7,)))
    {'result': 'written', 'version': 7}
    >>> value = {"state": "done", "attempt": "a"}
    >>> _came_of(tables.Conflict((tables.Row("k", value, 8),)))
    {'result': 'conflict', 'found': 8, 'found_state': 'done', 'attempt': 'a'}
    """
    if isinstance(result, tables.Written):
        return {"result": "written", "version": result.versions[0]}
    if isinstance(result, kinds.Failure):
        return {
            "result": "unknown" if result.sent else "refused",
            "why": result.reason,
        }
    found = _seen(result.rows[0])
    fields = {"result": "conflict", "found": found["version"]}
    if "state" in found:
        fields["found_state"] = found["state"]
        fields["attempt"] = found["attempt"]
    return fields
