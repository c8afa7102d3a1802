"""Builders of jobs, schedulers and queued pieces."""

import concurrent.futures

from sycamoreshed.catalog import types
from sycamoreshed.staging import pieces
from sycamoreshed.staging import queueing
from sycamoreshed.staging import scheduling

__all__ = ["endpoint", "job", "queued_piece", "scheduler", "spec"]


def spec(**changes):
    """Return how an endpoint processes pieces."""
    values = {
        "slots": 1,
        "queue": 2,
        "batch": 4,
        "call_s": 0.15,
        "piece_s": 0.01,
        "memory_bytes": 1000.0,
        "result_ttl_s": 4.0,
        **changes,
    }
    return types.PieceSpec(**values)


def endpoint(name):
    """Return an endpoint of the first service."""
    return types.Endpoint(name, "first", f"{name}:80", "north-a", 1)


def job(
    request="r",
    *,
    counts=(2, 4),
    target_s=1.0,
    soft_limit_s=2.0,
    hard_limit_s=9.0,
    team=None,
    priority=0,
):
    """Return a job of two stages, the second after the first."""
    stages = [
        pieces.StageWork("first", (), counts[0], 100),
        pieces.StageWork("second", (0,), counts[1], 10),
    ]
    return pieces.Job(
        request,
        stages,
        "key",
        target_s,
        soft_limit_s,
        hard_limit_s,
        team,
        0,
        priority,
    )


def scheduler(specs=None, *, concurrency=1, stored_bytes=0):
    """Return the scheduler of a zone whose services are all alike."""
    specs = specs or {"first": spec(), "second": spec()}
    return scheduling.Scheduler(
        find_spec=specs.get,
        concurrency=lambda _: concurrency,
        stored_bytes=lambda _: stored_bytes,
    )


def queued_piece(request, index, *, rank=0, result_bytes=100, deadline=9.0):
    """Return a piece in the queue."""
    piece = pieces.Piece(request, 0, index, deadline=deadline, key="k")
    future = concurrent.futures.Future()
    return queueing.QueuedPiece(
        piece, (rank, request), result_bytes, 0.0, future
    )
