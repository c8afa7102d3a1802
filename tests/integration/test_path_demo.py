"""The demonstration in the README and the other examples."""

import asyncio
import sys

import pytest


async def output_of(name):
    """Run an example; return its output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        f"examples.{name}",
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await process.communicate()
    assert process.returncode == 0
    return out.decode()


async def test_demonstration_runs():
    text = await output_of("demo")
    assert text.count("summary through") == 3
    assert "streamed: 16 tokens, then event: done" in text
    assert text.count("'run': 1") == 2
    assert text.count("decision: {") == 6
    assert "exit codes: [0, 0, 0]" in text


@pytest.mark.parametrize(
    "name, line",
    [
        ("own_policy", "{'encoder-south-a': 10}"),
        ("store_away", "ballot while away: 503 not-run"),
        (
            "store_away",
            "ballot once back: 200 {'recorded': 'gaucho/member-12', 'run': 1}",
        ),
    ],
)
async def test_examples_run(name, line):
    assert line in (await output_of(name)).splitlines()
