"""Commands on release notes."""

import pathlib

import cyclopts

from sycamoreshed.cli import client
from sycamoreshed.config import state
from sycamoreshed import exceptions

__all__ = ["app"]

app = cyclopts.App(name="note", help="Check and apply release notes.")


@app.command
def check(file: pathlib.Path, /):
    """Check a release note without applying it."""
    _read_note(file)
    print(f"{file}: valid")


@app.command
def apply(
    file: pathlib.Path,
    /,
    *,
    control: client.Control,
    as_json: client.AsJson = False,
):
    """Apply a release note."""
    note = _read_note(file)
    return client.ask(
        control, "POST", "/control/notes", body=note, as_json=as_json
    )


def _read_note(file):
    try:
        raw = file.read_bytes()
    except OSError as err:
        raise exceptions.CheckError(
            source=str(file),
            path="$",
            expected=f"expected a readable file ({err.strerror})",
        ) from None
    return state.check_note(raw, source=str(file))
