"""Plots of the figures of one run."""

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

__all__ = ["draw"]


def draw(result, folder):
    """Write attainment over time, latency and cost by stage as PNG."""
    _attainment(result, folder / "attainment.png")
    stages = {
        name: figures
        for name, figures in result["counted"]["stages"].items()
        if figures.get("stage_seconds_count")
    }
    latency = {
        name: figures["stage_seconds_sum"] / figures["stage_seconds_count"]
        for name, figures in stages.items()
    }
    _bars(latency, "mean seconds of a stage", folder / "latency.png")
    requests = max(1, result["figures"]["requests"])
    cost = {
        name: figures.get("cross_region_bytes_total", 0) / requests * 1000
        for name, figures in stages.items()
    }
    _bars(
        cost,
        "cross-region bytes per thousand requests",
        folder / "cost.png",
    )


def _attainment(result, path):
    figure, axes = pyplot.subplots()
    for team, shares in result["figures"]["over_time"].items():
        points = [
            (second, share)
            for second, share in enumerate(shares)
            if share is not None
        ]
        axes.plot(*zip(*points, strict=True), label=team)
    axes.set_xlabel("seconds")
    axes.set_ylabel("attainment")
    axes.set_ylim(-0.05, 1.05)
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)


def _bars(values, label, path):
    figure, axes = pyplot.subplots()
    axes.barh(list(values), list(values.values()))
    axes.set_xlabel(label)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
