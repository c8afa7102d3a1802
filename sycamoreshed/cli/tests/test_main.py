"""The command line, run as a separate process."""

import asyncio
import json
import socket
import sys

import pytest

from testkit import builders
from testkit import wiredata

PLATFORM = dict.fromkeys(("table", "objects", "instances"), "127.0.0.1:9")
MAX_PROCESSES = 3

# Change to valid settings, path in the error and part of its text.
BAD_SETTINGS = [
    ({"instnce": "a"}, "$.instnce", "unknown key; expected one of: advertise"),
    ({"instance": 3}, "$.instance", "Expected `str`, got `int`"),
    ({"instance": None}, "$.instance", "Expected `str`, got `null`"),
    ({"zone": ...}, "$", "missing required field `zone`"),
    ({"slots": 0}, "$.slots", "Expected `int` >= 1"),
    ({"grace_s": "1"}, "$.grace_s", "Expected `float`, got `str`"),
    ({"public": "localhost:80"}, "$.public", "expected an IP:port address"),
    ({"public": "127.0.0.1:0"}, "$.public", "expected an IP:port address"),
    ({"table": "10.0.0.1"}, "$.table", "expected an IP:port address"),
    ({"peers": ["[::1]:7", "x:7"]}, "$.peers[1]", "expected an IP:port"),
    ({"peers": [7]}, "$.peers[0]", "Expected `str`, got `int`"),
    ({"log_level": "loud"}, "$.log_level", "Invalid enum value 'loud'"),
    ({"routing": "nearest"}, "$.routing", "expected one of: "),
]


async def run(*args):
    """Run the program; return its exit code, output and error output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sycamoreshed",
        *args,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await process.communicate()
    return process.returncode, out.decode(), err.decode()


async def run_all(calls):
    """Run the program with each list of arguments, few at once."""
    semaphore = asyncio.Semaphore(MAX_PROCESSES)

    async def run_one(args):
        async with semaphore:
            return await run(*args)

    return await asyncio.gather(*(run_one(args) for args in calls))


def write_settings(folder, name, **changes):
    """Write a settings file; a change to ``...`` omits the key."""
    document = builders.settings_document(
        PLATFORM, public="127.0.0.1:80", control="127.0.0.1:81"
    )
    document = {
        key: value
        for key, value in {**document, **changes}.items()
        if value is not ...
    }
    path = folder / name
    path.write_text(json.dumps(document))
    return str(path)


async def test_settings_errors_are_one_line(tmp_path):
    """An invalid file is reported with its path and key, not guessed at."""
    files = [
        write_settings(tmp_path, f"{index}.json", **change)
        for index, (change, _, _) in enumerate(BAD_SETTINGS)
    ]
    broken = tmp_path / "broken.json"
    broken.write_text("{")
    missing = str(tmp_path / "missing.json")
    calls = [["check-settings", name] for name in files]
    calls += [["check-settings", name] for name in (str(broken), missing)]
    results = await run_all(calls)
    expected = [
        *zip(files, [row[1:] for row in BAD_SETTINGS], strict=True),
        (str(broken), ("$", "expected JSON")),
        (missing, ("$", "expected a readable file")),
    ]
    for result, (name, (path, words)) in zip(results, expected, strict=True):
        code, out, err = result
        assert (code, out) == (2, "")
        assert err.count("\n") == 1
        assert err.startswith(f"{name}: {path}: ")
        assert words in err


async def test_serve_rejects_bad_settings(tmp_path):
    bad = write_settings(tmp_path, "bad.json", slots=0)
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        used = f"127.0.0.1:{listener.getsockname()[1]}"
        busy = write_settings(tmp_path, "busy.json", control=used)
        good = write_settings(tmp_path, "good.json")
        results = await run_all(
            [
                ["serve", "--settings", bad],
                ["serve", "--settings", busy, "--log-level", "ERROR"],
                ["serve", "--settings", good, "--log-level", "loud"],
                ["serve", "--settings", good, "--bogus", "1"],
                ["serve"],
                ["check-settings", good],
            ]
        )
    assert [code for code, _, _ in results] == [2, 2, 2, 2, 2, 0]
    assert results[0][2].startswith(f"{bad}: $.slots: ")
    assert results[1][2].startswith("settings: $.control: expected an addr")
    assert results[5][1] == f"{good}: valid\n"


async def test_commands_fail_without_reachable_instance():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        unreachable = f"127.0.0.1:{unused.getsockname()[1]}"
        results = await run_all(
            [
                ["status", "--control", unreachable],
                ["drain", "--control", unreachable, "--json"],
                ["status", "--control", "localhost:1"],
            ]
        )
    assert [code for code, _, _ in results] == [4, 4, 2]
    assert all(out == "" for _, out, _ in results)
    assert all(err.count("\n") == 1 for _, _, err in results)


@pytest.mark.parametrize(
    "command",
    [[], ["serve"], ["check-settings"], ["status"], ["drain"], ["note"]],
)
async def test_help(command):
    code, out, _ = await run(*command, "--help")
    text = " ".join(out.split())
    assert code == 0
    assert "Usage: sycamoreshed" in text
    for code in ("0 done", "1 refused", "2 a file", "3 the", "4 the"):
        assert code in text


async def test_gateway_settings_are_checked(tmp_path):
    good = tmp_path / "good.json"
    good.write_text(json.dumps(wiredata.settings()))
    bad = tmp_path / "bad.json"
    bad.write_text(json.dumps(wiredata.settings(ready="x:1")))
    command = ("check-settings", "--gateway")
    results = await run_all([(*command, str(good)), (*command, str(bad))])
    assert results[0][:2] == (0, f"{good}: valid\n")
    assert results[1][0] == 2
    assert f"{bad}: $.ready: expected an IP:port address" in results[1][2]


async def test_gateway_with_bad_settings_does_not_start(tmp_path):
    bad = tmp_path / "bad.json"
    bad.write_text(json.dumps(wiredata.settings(zones="x")))
    code, _, err = await run("gateway", str(bad))
    assert code == 2
    assert f"{bad}: $.zones: " in err


async def test_request_is_explained_from_logs(tmp_path):
    """An operator has only a request's id and the logs of two instances."""
    lines = [
        {"t": 1.0, "at": "e1", "event": "configuration", "version": 7},
        {"t": 2.0, "at": "e1", "event": "admitted", "request": "r"},
        {"t": 2.5, "at": "e2", "event": "batch", "requests": ["r"]},
        {"t": 3.0, "at": "e1", "event": "failed", "request": "r"}
        | {"kind": "hopeless", "why": "busy"},
    ]
    logs = []
    for name in ("e1", "e2"):
        log = tmp_path / f"{name}.log"
        own_lines = [line for line in lines if line["at"] == name]
        log.write_text("".join(json.dumps(line) + "\n" for line in own_lines))
        logs.append(str(log))
    results = await run_all(
        [("explain", "r", *logs), ("explain", "--failed", *logs), ("explain",)]
    )
    (code, explained, _), (_, counted, _), (usage_code, _, _) = results
    assert code == 0
    assert explained.startswith("e1 believed: configuration 7 for 1.0 s")
    assert "+0.500 s e2 batch" in explained
    assert "could not have been done in time" in explained
    assert counted.startswith("1 (such as r): its stages")
    assert usage_code == 2
