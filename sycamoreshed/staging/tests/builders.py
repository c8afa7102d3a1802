"""Builders of jobs, pools and plans."""

import concurrent.futures

from sycamoreshed.catalog import types
from sycamoreshed.staging import pieces
from sycamoreshed.staging import planning
from sycamoreshed.staging import pool

__all__ = ["endpoint", "job", "plans", "spec", "waiting"]


def spec(**changes):
    """Return how an endpoint works on pieces."""
    values = {
        "slots": 1,
        "queue": 2,
        "batch": 4,
        "call_s": 0.15,
        "piece_s": 0.01,
        "room_bytes": 1000.0,
        "result_ttl_s": 4.0,
        **changes,
    }
    return types.PieceSpec(**values)


def endpoint(name):
    """Return an endpoint of the service."""
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


def plans(specs=None, *, places=1, held=0):
    """Return the plans of a zone with like endpoints."""
    specs = specs or {"first": spec(), "second": spec()}
    return planning.Plans(
        specs=specs.get, places=lambda _: places, held=lambda _: held
    )


def waiting(request, index, *, rank=0, size=100, deadline=9.0):
    """Return a piece that waits."""
    piece = pieces.Piece(request, 0, index, deadline=deadline, key="k")
    done = concurrent.futures.Future()
    return pool.Waiting(piece, (rank, request), size, 0.0, done)
