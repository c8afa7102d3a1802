"""What a stage may take of a request's remaining time."""

from sycamoreshed.routing import estimates

__all__ = ["StageTimes", "stage_budget"]


def stage_budget(stages, index, deadline, now):
    """Return the seconds stage `index` may take, by the shares it has.

    Parameters
    ----------
    stages : list of StageSpec
    index : int
    deadline, now : float
        Monotonic seconds.

    Returns
    -------
    float
        Zero or less when the time is over.

    Notes
    -----
    The remaining time is divided by the shares of the stages that are
    left, so what early stages save is passed on to later ones.

    Examples
    --------
    >>> stages = [{"share": 0.5}, {"share": 0.25}, {"share": 0.25}]
    >>> stage_budget(stages, 0, 10.0, 0.0)
    5.0
    >>> stage_budget(stages, 1, 10.0, 2.0)
    4.0
    """
    even = 1.0 / len(stages)
    left = sum(stage.get("share", even) for stage in stages[index:])
    return (deadline - now) * stages[index].get("share", even) / left


class StageTimes:
    """Measured times of stages, and what follows for their budgets."""

    def __init__(self):
        self._times = {}

    def add(self, pipeline, stage, seconds, now):
        """Take in how long a stage took that succeeded."""
        key = (pipeline, stage)
        if key not in self._times:
            self._times[key] = estimates.Estimate()
        self._times[key].add(seconds, now)

    def budget(self, pipeline, stages, index, deadline, now):
        """Return the seconds stage `index` may take.

        Parameters
        ----------
        pipeline : str
        stages : list of StageSpec
        index : int
        deadline, now : float
            Monotonic seconds.

        Returns
        -------
        float
            Zero or less when the time is over.

        Notes
        -----
        All the time that later stages will most likely not need may be
        used, so that a slow early stage is not cut off while there is
        slack.  It gets no less than its share when the later ones have
        grown slow, or it alone would pay for them.
        """
        fair = stage_budget(stages, index, deadline, now)
        later = [
            self._times.get((pipeline, stage["name"]))
            for stage in stages[index + 1 :]
        ]
        if None in later:
            return fair
        need = sum(times.upper_bound(now) for times in later)
        return max(fair, deadline - now - need)

    def hopeless(self, pipeline, stages, index, deadline, now):
        """Return whether the stages left take longer than there is.

        Notes
        -----
        Only by what few runs stay under: work that is given up wrongly
        was paid for already.
        """
        need = 0.0
        for stage in stages[index:]:
            times = self._times.get((pipeline, stage["name"]))
            need += times.lower_bound(now) if times else 0.0
        return now + need > deadline
