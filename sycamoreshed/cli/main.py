"""The command line: the daemon and the operators' client.

Exit codes: 0 done; 1 refused; 2 a file or argument is not valid; 3 the
outcome is unknown; 4 the instance cannot be reached.
"""

import pathlib
import sys

import cyclopts

from sycamoreshed.cli import client
from sycamoreshed.cli import note
from sycamoreshed.entry import daemon
from sycamoreshed import exceptions
from sycamoreshed.settings import schema

__all__ = ["app", "run"]

app = cyclopts.App(
    name="sycamoreshed",
    help="Serve multi-stage model pipelines.",
    version_flags=["--version"],
)
app.command(note.app)


@app.command
def serve(*, settings: pathlib.Path, log_level: str | None = None):
    """Run an entry instance."""
    checked = schema.load(settings)
    if log_level is not None:
        checked = checked._replace(log_level=log_level.upper())
    daemon.serve(checked)


@app.command
def check_settings(file: pathlib.Path, /):
    """Check a settings file."""
    schema.load(file)
    print(f"{file}: valid")


@app.command
def status(*, control: client.Control, as_json: client.AsJson = False):
    """Show what an instance is and runs."""
    return client.ask(control, "GET", "/control/status", as_json=as_json)


@app.command
def drain(*, control: client.Control, as_json: client.AsJson = False):
    """Begin the graceful shutdown of an instance."""
    return client.ask(control, "POST", "/control/drain", as_json=as_json)


def run():
    """Run the command line and exit."""
    try:
        code = app(result_action="return_value")
    except exceptions.CheckError as err:
        print(err, file=sys.stderr)
        code = client.Exit.INVALID
    sys.exit(int(code or 0))
