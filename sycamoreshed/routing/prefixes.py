"""How likely a prompt's prefix is cached at its home."""

import collections

__all__ = ["Prefixes"]

KEPT = 4096
WEIGHT = 0.02


class Prefixes:
    """Prefixes this instance sent lately, and how often they return.

    Notes
    -----
    Where prompts share no prefixes a home is as good as any endpoint,
    and going there anyway would spread requests at random.

    Examples
    --------
    >>> prefixes = Prefixes()
    >>> prefixes.chance("a"), prefixes.chance("b"), prefixes.chance("a")
    (0.0, 0.0, 1.0)
    >>> prefixes.chance("c")
    0.02
    """

    def __init__(self, *, kept=KEPT):
        self._kept = kept
        self._seen = collections.OrderedDict()
        self._share = 0.0

    def chance(self, prefix):
        """Note a prefix; return from 0 to 1 how likely it is cached.

        That is one for a prefix seen lately.  Other instances may have
        sent an unseen one home, so for it it is the share of requests
        that return.
        """
        seen = prefix in self._seen
        chance = 1.0 if seen else self._share
        self._share += WEIGHT * (seen - self._share)
        self._seen[prefix] = True
        self._seen.move_to_end(prefix)
        if len(self._seen) > self._kept:
            self._seen.popitem(last=False)
        return chance
