"""Commands for release notes."""

import pathlib
import urllib.parse

import cyclopts

from sycamoreshed.cli import client
from sycamoreshed.config import state
from sycamoreshed import exceptions

__all__ = ["app"]

NOTES_PATH = "/control/notes"

app = cyclopts.App(name="note", help="Check and apply release notes.")


@app.command
def check(
    file: pathlib.Path,
    /,
    *,
    control: client.Control | None = None,
    as_json: client.AsJson = False,
):
    """Check a release note, with --control also against what runs."""
    note = _read_note(file)
    if control is None:
        client.print_body({"valid": note["id"]}, as_json)
        return client.Exit.DONE
    return client.send_and_print(
        control, "POST", f"{NOTES_PATH}/check", body=note, as_json=as_json
    )


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
    return client.send_and_print(
        control, "POST", NOTES_PATH, body=note, as_json=as_json
    )


@app.command
def show(
    *,
    control: client.Control,
    at: int | None = None,
    as_json: client.AsJson = False,
):
    """Show the configuration in force, or the one of a version."""
    query = "" if at is None else f"?at={at}"
    return client.send_and_print(
        control, "GET", f"{NOTES_PATH}/show{query}", as_json=as_json
    )


@app.command
def history(
    *,
    control: client.Control,
    limit: int = 20,
    as_json: client.AsJson = False,
):
    """Show the last accepted notes, who wrote them and when."""
    path = f"{NOTES_PATH}/history?limit={limit}"
    return client.send_and_print(control, "GET", path, as_json=as_json)


@app.command
def status(
    *,
    control: client.Control,
    note_id: str | None = None,
    as_json: client.AsJson = False,
):
    """Show which version is in force where; with --note-id, its outcome."""
    query = ""
    if note_id is not None:
        query = "?" + urllib.parse.urlencode({"id": note_id})
    path = f"{NOTES_PATH}/status{query}"
    return client.send_and_print(control, "GET", path, as_json=as_json)


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
