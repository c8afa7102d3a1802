"""A routing policy of one's own, beside those that come with the program.

A policy is a function of the candidates, what is known of them, and the
present time.  A decorator puts it into the registry, and the settings key
``routing`` names it.
"""

import collections

from sycamoreshed.routing import loads
from sycamoreshed.routing import policies
from testkit import builders


@policies.POLICIES.register("own_zone")
def own_zone(candidates, context, now):
    """Pick the least loaded of the own zone, else of all."""
    near = [item for item in candidates if item.zone == context.zone]
    return min(
        near or candidates,
        key=lambda item: context.loads.utilization(item, now),
    )


def main():
    """Choose ten times and print how often each endpoint was chosen."""
    config = builders.config(
        {
            f"encoder-{zone}": builders.endpoint_spec(zone=zone)
            for zone in ("north-a", "north-b", "south-a")
        }
    )
    candidates = config.endpoints["encoder"]
    context = policies.RoutingContext(
        zone="south-a", region="south", prefix=None, loads=loads.Loads()
    )
    policy = policies.POLICIES.get("own_zone")
    chosen = collections.Counter()
    for turn in range(10):
        choice = policy(candidates, context, float(turn))
        context.loads.record_start(choice)
        chosen[choice.name] += 1
    print(dict(chosen))


if __name__ == "__main__":
    main()
