"""Resource use of a running daemon, as modules and as a single file."""

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
MIN_SAMPLES = 5
BUILD_S = 200


@pytest.fixture(scope="module")
def binary(tmp_path_factory):
    """Build the single-file program as `make dist` does."""
    folder = tmp_path_factory.mktemp("dist")
    command = ["make", "-o", "setup", "dist"]
    command += [f"VENV={sys.prefix}", f"DIST={folder}"]
    subprocess.run(
        command, cwd=ROOT, check=True, timeout=BUILD_S, capture_output=True
    )
    return folder / "sycamoreshed"


async def sample_footprints(daemon, samples):
    """Sample footprints of a daemon repeatedly."""
    while True:
        samples.append(footprints.footprint(daemon.process.pid))
        await asyncio.sleep(0.02)


async def call_and_sample(cluster):
    """Send summaries and ballots to a daemon and sample its footprint."""
    samples = []
    daemon = cluster.daemons[0]
    sampling = asyncio.create_task(sample_footprints(daemon, samples))
    calls = [
        cluster.call(0, "summary", {"input": number})
        for number in range(CALLS)
    ]
    calls += [
        cluster.call(0, "ballot", {"input": 1}, Idempotency_Key=f"k{number}")
        for number in range(CALLS)
    ]
    answers = await asyncio.gather(*calls)
    while len(samples) < MIN_SAMPLES:
        await asyncio.sleep(0.02)
    sampling.cancel()
    samples.append(footprints.footprint(daemon.process.pid))
    return answers, samples


def check(answers, samples, code):
    """Check that all calls succeeded and all footprints are empty."""
    assert {status for status, _, _ in answers} == {200}
    assert len(samples) > MIN_SAMPLES
    assert set(map(repr, samples)) == {
        repr(footprints.Footprint([], [], [], 0))
    }
    assert code == 0


async def test_daemon_from_modules():
    """A daemon uses no io_uring, shared memory or child processes.

    The platform forbids them.
    """
    async with processes.cluster(grace_s=0.5) as cluster:
        answers, samples = await call_and_sample(cluster)
        code = await cluster.daemons[0].stop()
    check(answers, samples, code)


async def test_daemon_from_one_file(binary, tmp_path):
    """The single file unpacks without a child process, under `SHIV_ROOT`."""
    root = tmp_path / "unpacked"
    async with processes.cluster(
        grace_s=0.5,
        program=(sys.executable, str(binary)),
        env={"SHIV_ROOT": str(root)},
    ) as cluster:
        answers, samples = await call_and_sample(cluster)
        code = await cluster.daemons[0].stop()
    check(answers, samples, code)
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
