"""What a running daemon opens and starts, as modules and as one file."""

import asyncio
import pathlib
import subprocess
import sys
import zipfile

import pytest

from testkit import processes
from tests import footprints

ROOT = pathlib.Path(__file__).parents[2]
CALLS = 40
LOOKS = 5
BUILD_S = 200


@pytest.fixture(scope="module")
def binary(tmp_path_factory):
    """Build the one file as `make dist` does."""
    folder = tmp_path_factory.mktemp("dist")
    command = ["make", "-o", "setup", "dist"]
    command += [f"VENV={sys.prefix}", f"DIST={folder}"]
    subprocess.run(
        command, cwd=ROOT, check=True, timeout=BUILD_S, capture_output=True
    )
    return folder / "sycamoreshed"


async def look_on(daemon, seen):
    """Take footprints of a daemon again and again."""
    while True:
        seen.append(footprints.footprint(daemon.process.pid))
        await asyncio.sleep(0.02)


async def use(cluster):
    """Use all a daemon does, while looking at its footprint."""
    seen = []
    daemon = cluster.daemons[0]
    looking = asyncio.create_task(look_on(daemon, seen))
    calls = [
        cluster.call(0, "summary", {"input": number})
        for number in range(CALLS)
    ]
    calls += [
        cluster.call(0, "ballot", {"input": 1}, Idempotency_Key=f"k{number}")
        for number in range(CALLS)
    ]
    answers = await asyncio.gather(*calls)
    while len(seen) < LOOKS:
        await asyncio.sleep(0.02)
    looking.cancel()
    seen.append(footprints.footprint(daemon.process.pid))
    return answers, seen


def check(answers, seen, code):
    """Check that answers are whole and footprints empty."""
    assert {status for status, _, _ in answers} == {200}
    assert len(seen) > LOOKS
    assert set(map(repr, seen)) == {repr(footprints.Footprint([], [], [], 0))}
    assert code == 0


async def test_daemon_from_modules():
    """The platform forbids io_uring, shared memory and child processes."""
    async with processes.cluster(grace_s=0.5) as cluster:
        answers, seen = await use(cluster)
        code = await cluster.daemons[0].stop()
    check(answers, seen, code)


async def test_daemon_from_one_file(binary, tmp_path):
    """The one file unpacks itself in its own process, and only there."""
    root = tmp_path / "unpacked"
    async with processes.cluster(
        grace_s=0.5,
        program=(sys.executable, str(binary)),
        env={"SHIV_ROOT": str(root)},
    ) as cluster:
        answers, seen = await use(cluster)
        code = await cluster.daemons[0].stop()
    check(answers, seen, code)
    assert [path.name for path in root.iterdir() if path.is_dir()] == [
        path.name for path in root.glob("sycamoreshed_*")
    ]
    unpacked = sum(
        path.stat().st_size for path in root.rglob("*") if path.is_file()
    )
    assert unpacked < 64 << 20


def test_one_file_holds_the_product_only(binary):
    with zipfile.ZipFile(binary) as archive:
        names = {
            name.split("/")[1]
            for name in archive.namelist()
            if name.startswith("site-packages/")
        }
        tests = [
            name
            for name in archive.namelist()
            if name.startswith("site-packages/sycamoreshed/")
            and "/tests/" in name
        ]
    assert "sycamoreshed" in names
    assert not names & {"standins", "testkit", "bench", "tests", "pytest"}
    assert tests == []
