"""Probability that a prompt's prefix is cached at its preferred endpoint."""

import collections

__all__ = ["PrefixHistory"]

MAX_PREFIXES = 4096
SHARE_WEIGHT = 0.02


class PrefixHistory:
    """Recent prefixes at this instance, and how often prefixes repeat.

    Notes
    -----
    If prompts share no prefixes, a preferred endpoint has no advantage,
    and preferring it would distribute requests at random.

    Examples
    --------
    >>> prefixes = PrefixHistory()
    >>> [prefixes.hit_probability(prefix) for prefix in "aba"]
    [0.0, 0.0, 1.0]
    >>> prefixes.hit_probability("c")
    0.02
    """

    def __init__(self, *, max_prefixes=MAX_PREFIXES):
        self._max_prefixes = max_prefixes
        self._recent = collections.OrderedDict()
        self._repeat_share = 0.0

    def hit_probability(self, prefix):
        """Record a prefix; return the probability that it is cached.

        It is one for a recent prefix.  Any other may have been sent by
        another instance, so its probability is the share of requests whose
        prefix was a recent one.
        """
        is_repeated = prefix in self._recent
        probability = 1.0 if is_repeated else self._repeat_share
        self._repeat_share += SHARE_WEIGHT * (is_repeated - self._repeat_share)
        self._recent[prefix] = True
        self._recent.move_to_end(prefix)
        if len(self._recent) > self._max_prefixes:
            self._recent.popitem(last=False)
        return probability
