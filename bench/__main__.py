"""Command line of the bench: ``python -m bench``."""

import itertools
import json
import pathlib
import typing

import cyclopts
import xxhash

from bench import decisions
from bench import plots
from bench import runs
from sycamoreshed.kernel import loops

__all__ = ["app"]

app = cyclopts.App(name="bench", help=__doc__)


@app.command
def run(
    scenario: str,
    *,
    seed: tuple[int, ...] = (1,),
    out: pathlib.Path = pathlib.Path("out/bench"),
    policy: tuple[str, ...] = ("",),
    fairness: tuple[str, ...] = ("",),
    load: tuple[float, ...] = (0.9,),
    deployment: str = "cineclubes",
    seconds: float = 10.0,
    instances: int = 9,
    settings: str = "{}",
):
    """Run a scenario, for each seed, policy, fairness and load given.

    Parameters
    ----------
    seed, policy, fairness, load
        May be repeated; an empty policy or fairness is the default one.
    settings
        JSON of further settings of the daemons.
    """
    extra: dict[str, typing.Any] = json.loads(settings)
    for seed_number, level, fairness_name, policy_name in itertools.product(
        seed, load, fairness, policy
    ):
        changes = dict(extra)
        if policy_name:
            changes["routing"] = policy_name
        if fairness_name:
            changes["fairness"] = fairness_name
        result = loops.run(
            runs.run(
                scenario,
                deployment=deployment,
                seed=seed_number,
                seconds=seconds,
                level=level,
                changes=changes,
                count=instances,
            )
        )
        label = (
            f"{deployment}-{scenario}-{level}"
            f"-{policy_name}-{fairness_name}-{seed_number}"
        )
        if extra:
            # Otherwise runs that differ only in these settings would share a
            # folder and overwrite each other.
            label += f"-{xxhash.xxh32_hexdigest(settings.encode())}"
        _write(result, out / label)


def _write(result, folder):
    folder.mkdir(parents=True, exist_ok=True)
    (folder / runs.RESULT).write_text(json.dumps(result, indent=1))
    plots.draw(result, folder)
    _print_table(runs.compare([result]))


@app.command
def decision(*, policy: str = "balanced", repeat: int = 3):
    """Measure processor time of decisions, with its slopes."""
    sizes = [(9, 35000), (30, 35000), (90, 5), (90, 5000), (90, 35000)]
    sizes += [(180, 35000)]
    rows = [
        decisions.measure(candidates, teams, policy)
        for _ in range(repeat)
        for candidates, teams in sizes
    ]
    table = [list(rows[0])]
    table += [[f"{value:.4g}" for value in row.values()] for row in rows]
    _print_table(table)
    by_size = [row for row in rows if row["teams"] == 35000]
    by_team = [row for row in rows if row["candidates"] == 90]
    for figure in ("route_us", "admit_us"):
        size = decisions.slope(by_size, "candidates", figure)
        team = decisions.slope(by_team, "teams", figure)
        print(f"{figure}: {size:.3g} a candidate, {team:.3g} a team")


@app.command
def compare(*paths: pathlib.Path):
    """Print a table of results, one line for each setting."""
    _print_table(runs.compare(runs.read(paths)))


def _print_table(rows):
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = zip(row, widths, strict=True)
        print("  ".join(cell.ljust(width) for cell, width in cells))


if __name__ == "__main__":
    app()
