"""The demonstration of README."""

import asyncio
import sys


async def test_demonstration_runs():
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "examples.demo",
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await process.communicate()
    text = out.decode()
    assert process.returncode == 0
    assert text.count("summary through") == 3
    assert "streamed: 16 tokens, then event: done" in text
    assert text.count("'run': 1") == 2
    assert text.count("decision: {") == 6
    assert "exit codes: [0, 0, 0]" in text
