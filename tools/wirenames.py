"""Fails when a name of the platform's wire stands outside its folder.

The rest of the product then depends on the wire in places that nobody
looks at when the wire changes.
"""

import pathlib
import re
import sys

__all__ = ["find", "main"]

ROOT = pathlib.Path(__file__).parents[1]
PRODUCT = ROOT / "sycamoreshed"
FOLDER = PRODUCT / "platform"
# Headers, calls, and fields whose names the product does not use itself.
PATTERN = re.compile(
    r"X-Sycamoreshed-|Kv-(?:From|Fetch)|Last-Event-Id"
    r"|\b(?:(?:rows|kv|hold|blob)-[a-z]+|stage-(?:run|free))\b"
    r"|\b(?:route_kind|target_latency_ms|itl_target_ms|cold_remaining_ms"
    r"|api_keys|call_ms|item_ms|headroom_mb|remaining_ms|tombstone"
    r"|kv_capacity|max_attempts_ms|health_path_ms)\b"
)


def find(path):
    """Return the lines of a file that hold such a name.

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
    """Print what is found; return the exit code."""
    code = 0
    for path in sorted(PRODUCT.rglob("*.py")):
        if FOLDER in path.parents:
            continue
        for number, line in find(path):
            print(f"{path.relative_to(ROOT)}:{number}: wire name: {line}")
            code = 1
    return code


if __name__ == "__main__":
    sys.exit(main())
