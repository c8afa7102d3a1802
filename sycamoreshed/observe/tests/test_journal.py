"""The structured log: bounded and non-blocking."""

import asyncio
import json
import os

from sycamoreshed.observe import events
from sycamoreshed.observe import journal


def read_lines(fd):
    """Return the decoded lines that a pipe holds."""
    os.set_blocking(fd, False)
    raw = b""
    try:
        while chunk := os.read(fd, 1 << 20):
            raw += chunk
    except BlockingIOError:
        pass
    return [json.loads(line) for line in raw.splitlines()]


def pipe():
    """Return the ends of a pipe; its write end is non-blocking."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    return reader, writer


async def test_lines_are_written_after_flush_interval():
    reader, writer = pipe()
    log = journal.Journal(instance="edge-1", fd=writer, clock=lambda: 7.0)
    log.write("start", boot=1, pid=2)
    await asyncio.sleep(2 * journal.FLUSH_INTERVAL_S)
    assert read_lines(reader) == [
        {"t": 7.0, "at": "edge-1", "event": "start", "boot": 1, "pid": 2}
    ]


async def test_failure_is_written_at_once():
    """An instance dies or stalls just after it cut off an answer.

    If the line that states the cause were buffered for a quarter of a
    second, it would be lost, and the lines that led to it as well.
    """
    reader, writer = pipe()
    log = journal.Journal(instance="edge-1", fd=writer)
    log.write("retry", request="r")
    assert read_lines(reader) == []
    log.write("broken", request="r")
    names = [line["event"] for line in read_lines(reader)]
    assert names == ["retry", "broken"]


async def test_burst_of_failures_costs_few_writes(monkeypatch):
    """Hundreds of requests are rejected in a burst."""
    reader, writer = pipe()
    writes = []
    real_write = os.write

    def counting_write(fd, data):
        writes.append(len(data))
        return real_write(fd, data)

    monkeypatch.setattr(journal.os, "write", counting_write)
    log = journal.Journal(instance="edge-1", fd=writer)
    for number in range(300):
        log.write("failed", request=f"r{number}")
    await asyncio.sleep(10 * journal.MIN_FLUSH_GAP_S)
    assert len(read_lines(reader)) == 300
    assert len(writes) < 30


async def test_stopped_reader_does_not_block():
    """Standard output is no longer read.

    A daemon that waited for its reader would stop serving.  Its buffer is
    bounded instead, and details are dropped before the ends of failed
    requests.
    """
    _, writer = pipe()
    log = journal.Journal(instance="edge-1", fd=writer)
    for number in range(20000):
        log.write("chosen", request=f"r{number}", endpoint="e" * 40)
        if not number % 500:
            log.flush()
    assert log.dropped["DETAIL"] > 1000
    assert sum(log.dropped.values()) == log.dropped["DETAIL"]
    log.write("failed", request="r", status=503)
    assert not log.dropped["FAILURE"]


async def test_closed_reader_raises_no_error():
    reader, writer = pipe()
    os.close(reader)
    log = journal.Journal(instance="edge-1", fd=writer)
    log.write("start", boot=1, pid=2)
    log.flush()


def test_events_have_unique_fields_and_condition():
    for name, event in events.EVENTS.items():
        fields = [field.strip() for field in event.fields.split(",")]
        assert len(fields) == len(set(fields)), name
        assert event.when


async def test_long_values_make_no_long_lines():
    """Each line of a request repeated an id of 16 kB."""
    reader, writer = pipe()
    log = journal.Journal(instance="edge-1", fd=writer, clock=lambda: 7.0)
    log.write("start", boot="b" * 16_000, pid=[["p" * 9000] * 200])
    log.flush()
    (line,) = read_lines(reader)
    assert line["event"] == "start"
    assert line["boot"].startswith("bbb")
    assert len(json.dumps(line)) < 16_000
