import itertools

from sycamoreshed.buffering import budget
from sycamoreshed.buffering import slowreaders
from testkit import journals


class _Peer:
    """A peer that has not taken some bytes of its answer."""

    request = "r1"

    def __init__(self, pending):
        self.transport = self
        self.pending = pending
        self.is_given_up = False

    def is_closing(self):
        """Return whether the connection is closed."""
        return self.is_given_up

    def get_write_buffer_size(self):
        """Return the bytes that wait in the process."""
        return self.pending

    def give_up(self):
        """Record it."""
        self.is_given_up = True


def make_readers(read_queued=lambda _transport: 0, max_bytes=None):
    return slowreaders.SlowReaders(
        journal=journals.Journal(),
        buffers=budget.BufferBudget(max_bytes=max_bytes),
        read_queued=read_queued,
    )


def given_up_at(readers, peer, *, take=0, until=10):
    """Return when a peer is given up that takes bytes in each second."""
    readers.begin(peer, 0.0, patience_s=2.0)
    for now in range(until):
        readers.check(float(now))
        if peer.is_given_up:
            return now
        peer.pending -= take
    return None


def test_a_caller_that_reads_nothing_is_given_up():
    """A caller that stopped reading held up its engine."""
    peer = _Peer(pending=1000)
    assert given_up_at(make_readers(), peer) == 2


def test_a_caller_that_reads_slowly_is_served():
    """A slow link was taken for a caller that has stopped reading."""
    assert given_up_at(make_readers(), _Peer(pending=1000), take=1) is None


def test_what_the_system_has_sent_counts_as_progress():
    """The process's own buffer stays full while its peer reads slowly."""
    queued = itertools.count(1000, -1)
    readers = make_readers(read_queued=lambda _transport: next(queued))
    assert given_up_at(readers, _Peer(pending=64)) is None


def test_a_write_that_ended_is_not_watched():
    """A caller was given up while it waited for its engine."""
    peer, readers = _Peer(pending=1000), make_readers()
    readers.begin(peer, 0.0, patience_s=2.0)
    readers.check(0.0)
    readers.end(peer)
    readers.check(9.0)
    assert not peer.is_given_up


def test_a_caller_that_has_taken_everything_is_not_given_up():
    """A caller was given up while nothing was left for it to read."""
    assert given_up_at(make_readers(), _Peer(pending=0)) is None


def test_a_system_that_does_not_tell_its_queue_is_logged_once():
    """Each check wrote a line where the system does not tell the queue."""

    def fail(_transport):
        raise OSError("not supported")

    readers = make_readers(read_queued=fail)
    assert given_up_at(readers, _Peer(pending=1000)) == 2
    assert readers._journal.names().count("send_queue_unknown") == 1


def test_those_that_wait_longest_make_room():
    """Many callers that stopped at once filled the memory in their time."""
    readers = make_readers(max_bytes=slowreaders.CONNECTION_BYTES)
    peers = [_Peer(pending=1000) for _ in range(3)]
    for number, peer in enumerate(peers):
        readers.begin(peer, 0.0, patience_s=9.0)
        readers.check(0.1 * number)
    readers.check(0.55)
    assert [each.is_given_up for each in peers] == [True, False, False]
    readers.check(1.0)
    assert [each.is_given_up for each in peers] == [True, True, False]
    readers.check(2.0)
    assert [each.is_given_up for each in peers] == [True, True, False]
