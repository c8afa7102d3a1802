"""Fails when platform wire names occur outside the platform package.

Such a name makes other code depend on the wire format in places that a
change of the format would miss.
"""

import pathlib
import re
import sys

__all__ = ["find", "main"]

ROOT = pathlib.Path(__file__).parents[1]
PRODUCT = ROOT / "sycamoreshed"
PLATFORM = PRODUCT / "platform"
# Headers, calls, and fields whose names have no other use in the product.
PATTERN = re.compile(
    r"X-Sycamoreshed-|Kv-(?:From|Fetch)|Last-Event-Id|Server-[A-Z]|Store-Era"
    r"|\b(?:(?:rows|kv|hold|blob)-[a-z]+|stage-(?:run|free))\b"
    r"|\b(?:route_kind|target_latency_ms|itl_target_ms|cold_remaining_ms"
    r"|api_keys|call_ms|item_ms|headroom_mb|remaining_ms|tombstone"
    r"|kv_capacity|max_attempts_ms|health_path_ms)\b"
)


def find(path):
    """Return the lines of a file that contain a wire name.

    Returns
    -------
    list of (int, str)
        Number and text of each line.
    """
    lines = path.read_text().splitlines()
    return [
        (number, line.strip())
        for number, line in enumerate(lines, start=1)
        if PATTERN.search(line)
    ]


def main():
    """Print each occurrence; return the exit code."""
    exit_code = 0
    for path in sorted(PRODUCT.rglob("*.py")):
        if PLATFORM in path.parents:
            continue
        for number, line in find(path):
            print(f"{path.relative_to(ROOT)}:{number}: wire name: {line}")
            exit_code = 1
    return exit_code


if __name__ == "__main__":
    sys.exit(main())
