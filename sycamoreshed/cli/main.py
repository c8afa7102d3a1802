"""Command line: the daemons and the commands for operators."""

import contextlib
import pathlib
import sys
import typing

import cyclopts

from sycamoreshed.cli import client
from sycamoreshed.cli import note
from sycamoreshed.entry import daemon
from sycamoreshed import exceptions
from sycamoreshed.gateway import daemon as gateway_daemon
from sycamoreshed.gateway import settings as gateway_settings
from sycamoreshed.observe import explain as explanation
from sycamoreshed.settings import schema

__all__ = ["app", "run"]

LogLevel = typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"]

app = cyclopts.App(
    name="sycamoreshed",
    help="Serve multi-stage model pipelines.",
    help_epilogue=client.EXIT_CODES_HELP,
    version_flags=["--version"],
)
app.command(note.app)


@app.command
def serve(*, settings: pathlib.Path, log_level: LogLevel | None = None):
    """Run an entry instance until SIGTERM, then drain it and exit with 0.

    Parameters
    ----------
    settings
        JSON file; docs/OPERATIONS.md lists its keys.
    log_level
        Goes before the one in the file; WARNING leaves out the decisions.
    """
    checked = schema.load(settings)
    daemon.check(checked, source=str(settings))
    if log_level is not None:
        checked = checked._replace(log_level=log_level)
    daemon.serve(checked)


@app.command
def gateway(settings: pathlib.Path, /):
    """Run an instance that forwards requests by route, until SIGTERM.

    Parameters
    ----------
    settings
        JSON file; docs/OPERATIONS.md lists its keys.
    """
    return gateway_daemon.run(settings)


@app.command
def explain(
    *words: str,
    failed: typing.Annotated[bool, cyclopts.Parameter(negative="")] = False,
):
    """Tell from the logs of instances what became of a request.

    Parameters
    ----------
    words
        The request's id and log files; with --failed log files only.
    failed
        List the causes of all requests that failed, with an example.
    """
    request_ids, logs = (None, words) if failed else (words[:1], words[1:])
    if not logs:
        print("name the log files", file=sys.stderr)
        return client.Exit.INVALID
    with contextlib.ExitStack() as stack:
        files = [stack.enter_context(open(log)) for log in logs]
        lines = explanation.read_events(files)
        if failed:
            for cause, count, example in explanation.count_failures(lines):
                print(f"{count} (such as {example}): {cause}")
            return client.Exit.DONE
        text = explanation.format_trace(
            explanation.trace_request(lines, request_ids[0])
        )
    print("\n".join(text))
    return client.Exit.DONE


@app.command
def check_settings(
    file: pathlib.Path,
    /,
    *,
    gateway: typing.Annotated[bool, cyclopts.Parameter(negative="")] = False,
):
    """Check a settings file.

    Parameters
    ----------
    file
        JSON file.
    gateway
        Whether it is one of an instance that forwards by route.
    """
    if gateway:
        gateway_settings.load(file)
    else:
        daemon.check(schema.load(file), source=str(file))
    print(f"{file}: valid")


@app.command
def status(*, control: client.Control, as_json: client.AsJson = False):
    """Show what an instance is and runs."""
    return client.send_and_print(
        control, "GET", "/control/status", as_json=as_json
    )


@app.command
def drain(*, control: client.Control, as_json: client.AsJson = False):
    """Begin the graceful shutdown of an instance."""
    return client.send_and_print(
        control, "POST", "/control/drain", as_json=as_json
    )


def run():
    """Run the command line and exit with the code of the command."""
    try:
        code = app(result_action="return_value")
    except exceptions.SycamoreshedError as err:
        print(err, file=sys.stderr)
        code = client.Exit.INVALID
    sys.exit(int(code or 0))
