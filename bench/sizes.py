"""What control state costs in one process at the size designed for.

``python -m bench.sizes`` builds a configuration of 35,000 teams and 600
endpoints and a view of 410 instances, and prints the time of each step
that runs on the event loop (median and worst of its runs) and the memory.
"""

import argparse
import gc
import json
import statistics
import time
import tracemalloc
import types

import msgspec

from sycamoreshed.config import schema
from sycamoreshed.config import state
from sycamoreshed.membership import members
from sycamoreshed.membership import rendezvous
from sycamoreshed.membership import view
from sycamoreshed.settings import checking
from testkit import builders

__all__ = ["main", "timed"]

TEAMS = 35_000
ENDPOINTS = 600
INSTANCES = 410
ZONES = [f"{region}-{n}" for region in ("north", "south") for n in range(4)][
    :7
]


def timed(func, runs):
    """Return the median and worst run time of a function in milliseconds.

    Examples
    --------
    >>> sorted(timed(list, 3))
    ['median_ms', 'runs', 'worst_ms']
    """
    times_ms = []
    for _ in range(runs):
        start = time.perf_counter()
        func()
        times_ms.append((time.perf_counter() - start) * 1000)
    return {
        "runs": runs,
        "median_ms": round(statistics.median(times_ms), 3),
        "worst_ms": round(max(times_ms), 3),
    }


def large_note():
    """Return the note that creates the full configuration."""
    teams = {
        f"team-{n:05d}": {"rate": n % 90 + 1.0, "weight": n % 3 + 1.0}
        for n in range(TEAMS)
    }
    endpoints = {
        f"endpoint-{n}": builders.endpoint_spec(
            f"10.0.{n // 200}.{n % 200 + 1}:80", zone=ZONES[n % len(ZONES)]
        )
        for n in range(ENDPOINTS)
    }
    regions = {
        name: {"zones": [zone for zone in ZONES if zone.startswith(name)]}
        for name in ("north", "south")
    }
    return builders.note(
        0,
        added={
            "regions": regions,
            "services": builders.SERVICES,
            "pipelines": builders.PIPELINES,
            "teams": teams,
            "endpoints": endpoints,
        },
    )


def measure_config():
    """Return run times and memory of operations on the configuration."""
    note = large_note()
    raw = msgspec.json.encode(note)
    config = state.apply_note(state.EMPTY, note)
    on_team = builders.note(1, changed={"teams": {"team-00001": {"rate": 2}}})
    changed = {
        "endpoint-1": builders.endpoint_spec("10.0.9.9:80", zone="north-0")
    }
    on_endpoint = builders.note(1, changed={"endpoints": changed})
    raw_part = msgspec.json.encode(state.document_part(config, 0))
    parts = [
        state.document_part(config, number)
        for number in range(state.count_parts(config))
    ]
    steps = {
        "check whole note (in a thread)": (
            lambda: checking.decode(raw, schema.Note, source="note"),
            5,
        ),
        "apply whole note": (lambda: state.apply_note(state.EMPTY, note), 9),
        "apply note on one team": (
            lambda: state.apply_note(config, on_team),
            50,
        ),
        "apply note on one endpoint": (
            lambda: state.apply_note(config, on_endpoint),
            50,
        ),
        "encode one part": (
            lambda: msgspec.json.encode(state.document_part(config, 0)),
            50,
        ),
        "decode and check one part": (
            lambda: state.check_part(msgspec.json.decode(raw_part)),
            50,
        ),
        "join all parts": (lambda: state.join_parts(parts), 20),
    }
    result = {key: timed(func, runs) for key, (func, runs) in steps.items()}
    result["bytes of all parts"] = sum(
        len(msgspec.json.encode(item)) for item in parts
    )
    return result | _config_memory(raw, on_team)


def _config_memory(raw, on_team):
    gc.collect()
    tracemalloc.start()
    note = msgspec.json.decode(raw)
    config = state.apply_note(state.EMPTY, note)
    del note
    gc.collect()
    full_bytes = tracemalloc.get_traced_memory()[0]
    next_config = state.apply_note(config, on_team)
    added_bytes = tracemalloc.get_traced_memory()[0] - full_bytes
    tracemalloc.stop()
    return {
        "configuration MiB": round(full_bytes / 2**20, 2),
        "next version more MiB": round(added_bytes / 2**20, 2),
        "version": next_config.version,
    }


def measure_view():
    """Return run times and memory of the view of 410 instances."""
    settings = types.SimpleNamespace(
        instance="entry-000", advertise="10.1.0.1:9", zone=ZONES[0], region="n"
    )
    gc.collect()
    tracemalloc.start()
    members_view = view.View(settings=settings, generation=1)
    for number in range(1, INSTANCES):
        zone = ZONES[number % len(ZONES)]
        value = [1, 0, f"10.1.{number // 250}.{number % 250}:9", zone, zone[0]]
        members_view.receive(
            members.TOPIC, f"entry-{number:03d}", value, ("p", 1), 0.0
        )
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    members_view.merge_heartbeats({zone: 5 for zone in ZONES}, 0.0)
    same_zone = [item.name for item in members_view.alive_in_zone(1.0)]
    return {
        "records of 410 instances MiB": round(size_bytes / 2**20, 3),
        "alive": timed(lambda: members_view.alive(1.0), 100),
        "partners": timed(
            lambda: members_view.partners(1.0, avoid=set()), 100
        ),
        "watchers of one zone's endpoints": timed(
            lambda: [
                rendezvous.top(f"endpoint-{n}", same_zone, 2)
                for n in range(ENDPOINTS // len(ZONES))
            ],
            20,
        ),
        "message without news": timed(
            lambda: members_view.since(members_view.last, same_zone=True), 1000
        ),
        "first message with all": timed(
            lambda: msgspec.json.encode(members_view.since(0, same_zone=True)),
            50,
        ),
        "bytes of all records": len(
            msgspec.json.encode(members_view.since(0, same_zone=True))
        ),
    }


def main(argv=None):
    """Print all measurements as JSON."""
    argparse.ArgumentParser(description=__doc__).parse_args(argv)
    body = {"config": measure_config(), "view": measure_view()}
    print(json.dumps(body, indent=1))


if __name__ == "__main__":
    main()
