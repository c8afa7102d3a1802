"""Tests of which pieces go into the next call, and to which endpoint."""

from sycamoreshed.staging import pieces
from sycamoreshed.staging import queueing
from sycamoreshed.staging.tests import builders


def always(_piece, _endpoint):
    """Let all pieces start."""
    return True


def filled(*queued, **changes):
    """Return a queue with pieces in it."""
    queue = queueing.ServiceQueue(spec=builders.spec(**changes))
    for each in queued:
        queue.add(each)
    return queue


def names(batch):
    """Return requests and indices of the pieces in a batch."""
    return [(e.piece.request, e.piece.index) for e in batch.entries]


def test_pieces_of_many_requests_share_a_call():
    queue = filled(*(builders.queued_piece(r, 0) for r in "abc"))
    batch = queue.next_batch([builders.endpoint("e")], 0.0, can_start=always)
    assert names(batch) == [("a", 0), ("b", 0), ("c", 0)]
    assert queue.queued_count == 0


def test_a_request_is_not_split_while_another_fits():
    """Two requests of three pieces each, and four pieces to a call.

    If the second request were split, the result of its first piece would
    occupy memory for a call longer.  The third, with one piece, goes instead.
    """
    queue = filled(
        *(builders.queued_piece("a", i) for i in range(3)),
        *(builders.queued_piece("b", i, rank=1) for i in range(3)),
        builders.queued_piece("c", 0, rank=2),
    )
    batch = queue.next_batch([builders.endpoint("e")], 0.0, can_start=always)
    assert names(batch) == [("a", 0), ("a", 1), ("a", 2), ("c", 0)]


def test_a_call_is_filled_with_part_of_a_request_if_nothing_else_fits():
    """A call with three pieces would cost as much as one with four."""
    queue = filled(
        *(builders.queued_piece("a", i) for i in range(3)),
        *(builders.queued_piece("b", i, rank=1) for i in range(3)),
    )
    batch = queue.next_batch([builders.endpoint("e")], 0.0, can_start=always)
    assert names(batch)[3:] == [("b", 0)]


def test_smaller_results_overtake_those_that_do_not_fit_in_memory():
    """Results of 600 bytes each, and an endpoint with 1,000 bytes."""
    queue = filled(
        builders.queued_piece("a", 0, result_bytes=600),
        builders.queued_piece("b", 0, rank=1, result_bytes=600),
        builders.queued_piece("c", 0, rank=2, result_bytes=100),
    )
    batch = queue.next_batch([builders.endpoint("e")], 0.0, can_start=always)
    assert names(batch) == [("a", 0), ("c", 0)]


def test_memory_of_results_is_free_only_after_they_are_freed():
    endpoint = builders.endpoint("e")
    queue = filled(builders.queued_piece("a", 0, result_bytes=600))
    batch = queue.next_batch([endpoint], 0.0, can_start=always)
    expected_end = queue.start_call(batch, 0.0)
    assert queue.free_bytes(endpoint) == 400
    ref = pieces.ResultRef("h", "e")
    queue.end_call(
        batch, expected_end, [pieces.PieceOutcome(ref, None, True)], 1.0
    )
    assert queue.free_bytes(endpoint) == 400
    queue.free("h")
    assert queue.free_bytes(endpoint) == 1000


def test_an_endpoint_that_reports_full_memory_is_avoided_for_a_while():
    """An endpoint stores results for an instance that died.

    This instance has no record of them.  If it goes on sending pieces, each
    call has them rejected.
    """
    endpoint = builders.endpoint("e")
    queue = filled(builders.queued_piece("a", 0, result_bytes=600))
    batch = queue.next_batch([endpoint], 0.0, can_start=always)
    expected_end = queue.start_call(batch, 0.0)
    queue.end_call(
        batch, expected_end, [pieces.PieceOutcome(None, "room", True)], 0.2
    )
    queue.add(builders.queued_piece("a", 0, result_bytes=600))
    assert queue.next_batch([endpoint], 0.3, can_start=always) is None
    queue.add(builders.queued_piece("b", 0, rank=1, result_bytes=100))
    batch = queue.next_batch([endpoint], 0.3, can_start=always)
    assert names(batch) == [("b", 0)]
    queue.start_call(batch, 0.3)
    later = 0.2 + queueing.FULL_REPORT_TTL_S
    other = builders.endpoint("f")
    assert queue.next_batch([other], later, can_start=always) is not None


def test_pieces_that_cannot_meet_their_deadline_are_not_sent():
    queue = filled(
        builders.queued_piece("a", 0, deadline=1.1),
        builders.queued_piece("b", 0),
    )
    assert [w.piece.request for w in queue.pop_late(1.0)] == ["a"]
    assert queue.queued_count == 1


def test_an_endpoint_gets_one_call_at_a_time():
    endpoint = builders.endpoint("e")
    queue = filled(builders.queued_piece("a", 0))
    queue.start_call(queue.next_batch([endpoint], 0.0, can_start=always), 0.0)
    queue.add(builders.queued_piece("b", 0))
    assert queue.next_batch([endpoint], 0.0, can_start=always) is None


def test_large_results_of_a_request_are_computed_in_one_call():
    """Two requests, each of whose two results takes 300 of 1,000 bytes.

    There is free memory for one of the four.  If one piece of each request
    is sent as memory becomes free, both requests occupy some of it and wait
    for the rest: their answers are late, and calls have a single piece.
    """
    endpoint = builders.endpoint("e")
    queue = filled(builders.queued_piece("held", 0, result_bytes=600))
    first = queue.next_batch([endpoint], 0.0, can_start=always)
    expected_end = queue.start_call(first, 0.0)
    for request in "ab":
        for index in range(2):
            queue.add(builders.queued_piece(request, index, result_bytes=300))
    small = builders.queued_piece("small", 0, rank=9, result_bytes=10)
    queue.add(small)
    ref = pieces.ResultRef("h", "e")
    queue.end_call(
        first, expected_end, [pieces.PieceOutcome(ref, None, True)], 0.2
    )
    batch = queue.next_batch([endpoint], 0.2, can_start=always)
    assert names(batch) == [("small", 0)]
    queue.free("h")
    batch = queue.next_batch([builders.endpoint("f")], 0.2, can_start=always)
    assert names(batch)[:2] == [("a", 0), ("a", 1)]
    assert ("b", 0) not in names(batch)


def test_a_request_that_fits_no_endpoint_is_split():
    """Four results of 300 bytes never fit in an endpoint's 1,000 bytes.

    If it is not split, the request waits until its deadline.
    """
    queue = filled(
        *(builders.queued_piece("a", i, result_bytes=300) for i in range(4))
    )
    batch = queue.next_batch([builders.endpoint("e")], 0.0, can_start=always)
    assert names(batch) == [("a", 0), ("a", 1), ("a", 2)]


def test_only_the_last_free_endpoint_may_wait_for_more_pieces():
    """With another endpoint idle, the call is sent at once."""
    queue = filled(builders.queued_piece("a", 0))
    endpoints = [builders.endpoint("e"), builders.endpoint("f")]

    def should_wait(selected):
        return len(selected) < 2

    assert (
        queue.next_batch(
            endpoints[:1], 0.0, can_start=always, should_wait=should_wait
        )
        is None
    )
    assert queue.queued_count == 1
    batch = queue.next_batch(
        endpoints, 0.0, can_start=always, should_wait=should_wait
    )
    assert names(batch) == [("a", 0)]


def _played(queue, *, took_s, start):
    """Play a call of one piece; return how long it should have taken."""
    queue.add(builders.queued_piece("a", 0))
    batch = queue.next_batch([builders.endpoint("e")], start, can_start=always)
    expected_end = queue.start_call(batch, start)
    ref = pieces.ResultRef(f"h{start}", "e")
    outcomes = [pieces.PieceOutcome(ref, None)]
    queue.end_call(batch, expected_end, outcomes, start + took_s)
    return expected_end - start


def test_a_told_slowdown_counts_once():
    """Load: calls in spells at 2.5 times the usual time, told in answers.

    Guards against a spell that counts as told and as learnt, and goes on
    counting after its end.
    """
    told = {"now": 1.0}
    queue = queueing.ServiceQueue(
        spec=builders.spec(), told_slowdown=lambda _e, _now: told["now"]
    )
    usual_s = queue.call_s(1)
    assert _played(queue, took_s=usual_s, start=0.0) == usual_s
    told["now"] = 2.5
    for start in (1.0, 2.0):
        expected_s = _played(queue, took_s=2.5 * usual_s, start=start)
        assert round(expected_s / usual_s, 3) == 2.5
    told["now"] = 1.0
    assert queue.slowdown(builders.endpoint("e"), 3.0) == 1.0
    _played(queue, took_s=4 * usual_s, start=4.0)
    assert round(queue.slowdown(builders.endpoint("e"), 5.0), 3) == 2.5
