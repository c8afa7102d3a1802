"""Which pieces go into the next call, and to which endpoint."""

from sycamoreshed.staging import pieces
from sycamoreshed.staging import pool
from sycamoreshed.staging.tests import builders


def always(_piece):
    """Let everything start."""
    return True


def filled(*waiting, **changes):
    """Return a pool with pieces that wait."""
    result = pool.Pool(spec=builders.spec(**changes))
    for each in waiting:
        result.add(each)
    return result


def taken(batch):
    """Return the pieces of a batch by request and index."""
    return [(w.piece.request, w.piece.index) for w in batch.waiting]


def test_pieces_of_many_requests_share_a_call():
    found = filled(*(builders.waiting(r, 0) for r in "abc"))
    batch = found.next_batch([builders.endpoint("e")], 0.0, may_start=always)
    assert taken(batch) == [("a", 0), ("b", 0), ("c", 0)]
    assert found.queued == 0


def test_a_request_is_not_torn_apart_while_another_fits():
    """Two requests of three pieces each, and four pieces to a call.

    The rest of the second request would keep its first piece's room for a
    whole call. The third, with one piece, goes along instead.
    """
    found = filled(
        *(builders.waiting("a", i) for i in range(3)),
        *(builders.waiting("b", i, rank=1) for i in range(3)),
        builders.waiting("c", 0, rank=2),
    )
    batch = found.next_batch([builders.endpoint("e")], 0.0, may_start=always)
    assert taken(batch) == [("a", 0), ("a", 1), ("a", 2), ("c", 0)]


def test_a_call_is_filled_with_part_of_a_request_at_last():
    """Sent with three pieces, each call of four would cost the same."""
    found = filled(
        *(builders.waiting("a", i) for i in range(3)),
        *(builders.waiting("b", i, rank=1) for i in range(3)),
    )
    batch = found.next_batch([builders.endpoint("e")], 0.0, may_start=always)
    assert taken(batch)[3:] == [("b", 0)]


def test_results_without_room_wait_and_small_ones_go_on():
    """Results of 600 bytes each at an endpoint with room for 1,000."""
    found = filled(
        builders.waiting("a", 0, size=600),
        builders.waiting("b", 0, rank=1, size=600),
        builders.waiting("c", 0, rank=2, size=100),
    )
    batch = found.next_batch([builders.endpoint("e")], 0.0, may_start=always)
    assert taken(batch) == [("a", 0), ("c", 0)]


def test_room_is_there_again_when_results_are_freed_or_expire():
    endpoint = builders.endpoint("e")
    found = filled(builders.waiting("a", 0, size=600))
    batch = found.next_batch([endpoint], 0.0, may_start=always)
    ready = found.begin(batch, 0.0)
    assert found.room(endpoint) == 400
    held = pieces.Held("h", "e")
    found.end(batch, ready, [pieces.Result(held, None, True)], 1.0)
    assert found.room(endpoint) == 400
    found.free("h")
    assert found.room(endpoint) == 1000


def test_an_endpoint_that_says_it_has_no_room_is_believed_for_a_while():
    """An endpoint holds results of an instance that died.

    Nothing is known of them here. Pieces sent all the same come back
    unmade, a call each time.
    """
    endpoint = builders.endpoint("e")
    found = filled(builders.waiting("a", 0, size=600))
    batch = found.next_batch([endpoint], 0.0, may_start=always)
    ready = found.begin(batch, 0.0)
    found.end(batch, ready, [pieces.Result(None, "room", True)], 0.2)
    found.add(builders.waiting("a", 0, size=600))
    assert found.next_batch([endpoint], 0.3, may_start=always) is None
    found.add(builders.waiting("b", 0, rank=1, size=100))
    batch = found.next_batch([endpoint], 0.3, may_start=always)
    assert taken(batch) == [("b", 0)]
    found.begin(batch, 0.3)
    later = 0.2 + pool.FULL_S
    other = builders.endpoint("f")
    assert found.next_batch([other], later, may_start=always) is not None


def test_what_cannot_be_done_in_time_is_not_begun():
    found = filled(
        builders.waiting("a", 0, deadline=1.1), builders.waiting("b", 0)
    )
    assert [w.piece.request for w in found.take_late(1.0)] == ["a"]
    assert found.queued == 1


def test_an_endpoint_gets_one_call_at_a_time():
    endpoint = builders.endpoint("e")
    found = filled(builders.waiting("a", 0))
    found.begin(found.next_batch([endpoint], 0.0, may_start=always), 0.0)
    found.add(builders.waiting("b", 0))
    assert found.next_batch([endpoint], 0.0, may_start=always) is None


def test_results_that_fill_an_endpoint_are_made_together():
    """Two requests, each of whose two results takes 300 of 1,000 bytes.

    Room for one of four is left.  With one piece of each sent as room
    comes, both requests hold some of it and wait for the rest, and their
    answers are late; calls go out with a single piece.
    """
    endpoint = builders.endpoint("e")
    found = filled(builders.waiting("held", 0, size=600))
    first = found.next_batch([endpoint], 0.0, may_start=always)
    ready = found.begin(first, 0.0)
    for request in "ab":
        for index in range(2):
            found.add(builders.waiting(request, index, size=300))
    small = builders.waiting("small", 0, rank=9, size=10)
    found.add(small)
    held = pieces.Held("h", "e")
    found.end(first, ready, [pieces.Result(held, None, True)], 0.2)
    batch = found.next_batch([endpoint], 0.2, may_start=always)
    assert taken(batch) == [("small", 0)]
    found.free("h")
    batch = found.next_batch([builders.endpoint("f")], 0.2, may_start=always)
    assert taken(batch)[:2] == [("a", 0), ("a", 1)]
    assert ("b", 0) not in taken(batch)


def test_results_larger_than_an_endpoint_are_parted():
    """Four results of 300 bytes fit into no endpoint's 1,000 at once.

    Kept together, the request would wait until its deadline.
    """
    found = filled(*(builders.waiting("a", i, size=300) for i in range(4)))
    batch = found.next_batch([builders.endpoint("e")], 0.0, may_start=always)
    assert taken(batch) == [("a", 0), ("a", 1), ("a", 2)]


def test_the_last_free_endpoint_may_wait_for_more():
    """Asked when it is the only one; another one that idles goes at once."""
    found = filled(builders.waiting("a", 0))
    ends = [builders.endpoint("e"), builders.endpoint("f")]

    def hold(chosen):
        return len(chosen) < 2

    assert found.next_batch(ends[:1], 0.0, may_start=always, hold=hold) is None
    assert found.queued == 1
    batch = found.next_batch(ends, 0.0, may_start=always, hold=hold)
    assert taken(batch) == [("a", 0)]
