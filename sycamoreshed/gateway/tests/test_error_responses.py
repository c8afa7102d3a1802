"""Error responses, for requests without an endpoint's response."""

import pytest

from sycamoreshed.errors import kinds
from sycamoreshed.gateway import error_responses

NOT_RUN_STATUSES = {408, 421, 429, 503}


@pytest.mark.parametrize("kind", list(kinds.Kind))
def test_not_run_status_requires_that_nothing_was_sent(kind):
    """A request that may have run is not reported as "not run".

    With such a status the caller's client would send it again: a ballot
    that may have been recorded would be cast twice.
    """
    failure = kinds.Failure(kind, "why", sent=True)
    assert error_responses.status_of(failure) not in NOT_RUN_STATUSES


@pytest.mark.parametrize(
    ("kind", "sent", "status"),
    [
        (kinds.Kind.HOPELESS, False, 503),
        (kinds.Kind.NO_ENDPOINT, False, 503),
        (kinds.Kind.LATE, False, 503),
        (kinds.Kind.LATE, True, 504),
        (kinds.Kind.REFUSED, True, 502),
        (kinds.Kind.REFUSED, False, 503),
        (kinds.Kind.STRAY_ANSWER, True, 502),
        (kinds.Kind.BROKEN_STREAM, True, 502),
        (kinds.Kind.INTERNAL, True, 502),
        (kinds.Kind.DRAINING, False, 503),
        (kinds.Kind.NOT_READY, False, 503),
        (kinds.Kind.UNKNOWN_KEY, False, 401),
        (kinds.Kind.UNKNOWN_PATH, False, 404),
        (kinds.Kind.TOO_LARGE, False, 413),
        (kinds.Kind.BAD_REQUEST, False, 400),
    ],
)
def test_status_of_failure(kind, sent, status):
    failure = kinds.Failure(kind, "why", sent=sent)
    assert error_responses.status_of(failure) == status


def test_retry_after_is_sent_only_if_request_has_not_run():
    failure = kinds.Failure(kinds.Kind.HOPELESS, "busy")
    response = error_responses.error_response(failure, "r-1", 0.25)
    assert response.headers["Retry-After"] == "0.25"
    sent = error_responses.error_response(
        failure._replace(sent=True), "r-1", 0.25
    )
    assert "Retry-After" not in sent.headers
