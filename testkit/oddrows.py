"""Rows that no sound writer leaves in a table."""

import json

__all__ = ["ODD_BYTES", "ODD_VALUES", "odd_rows"]

# The store takes rows of up to 64 KB.
DEPTH = 10_000
LONG = 60_000
# Decoded at the top, but too deep for what is wrapped around it.
NEAR_DEPTH = 900


def nested(depth, opening=b"[", closing=b"]", inner=b""):
    """Return JSON that is nested so deeply."""
    return opening * depth + inner + closing * depth


# JSON values by what is odd about them.
ODD_VALUES = {
    "null": b"null",
    "true": b"true",
    "object": b"{}",
    "array": b"[[]]",
    "text": b'"odd"',
    "empty text": b'""',
    "line break": b'"a\\r\\nb: c"',
    "nul": b'"a\\u0000b"',
    "surrogate": b'"\\ud800"',
    "long text": b'"' + LONG * b"x" + b'"',
    "negative": b"-1",
    "zero": b"0",
    "2**64": b"18446744073709551616",
    "2**70": b"1180591620717411303424",
    "6000 digits": 6000 * b"9",
    "1e400": b"1e400",
    "1e308": b"1e308",
    "nan": b"NaN",
    "infinite": b"Infinity",
    "deep array": nested(DEPTH),
    "deep object": nested(DEPTH, b'{"a":', b"}", b"0"),
    "rather deep": nested(NEAR_DEPTH),
}
# Rows that hold no such object at all.
ODD_BYTES = {
    "empty": b"",
    "not text": b"\xff\xfe\x00",
    "torn": b'{"service": "desk", "addr',
    **ODD_VALUES,
}


def odd_rows(sound):
    """Return odd rows by name.

    Parameters
    ----------
    sound : dict or list
        What a sound row holds.  Each of its fields gets each odd value in
        turn, and so does one more field.
    """
    rows = dict(ODD_BYTES)
    is_object = isinstance(sound, dict)
    fields = [*sound, "further"] if is_object else range(len(sound) + 1)
    for field in fields:
        for name, value in ODD_VALUES.items():
            rows[f"{field}: {name}"] = _with_value(sound, field, value)
    return rows


def _with_value(sound, field, raw):
    if isinstance(sound, dict):
        others = [
            json.dumps(key).encode() + b":" + json.dumps(value).encode()
            for key, value in sound.items()
            if key != field
        ]
        return (
            b"{"
            + b",".join([*others, json.dumps(field).encode() + b":" + raw])
            + b"}"
        )
    values = [json.dumps(value).encode() for value in sound]
    values[field : field + 1] = [raw]
    return b"[" + b",".join(values) + b"]"
