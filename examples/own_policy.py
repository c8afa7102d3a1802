"""A custom routing policy registered beside the built-in ones.

A policy is a function of the candidates, the routing context and the
current time.  A decorator registers it, and the setting ``routing`` selects
it by name.
"""

import collections

from sycamoreshed.routing import loads
from sycamoreshed.routing import policies
from testkit import builders


@policies.POLICIES.register("own_zone")
def own_zone(candidates, context, now):
    """Choose the least loaded candidate in this zone, or else of all."""
    same_zone = [item for item in candidates if item.zone == context.zone]
    return min(
        same_zone or candidates,
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
    for number in range(10):
        choice = policy(candidates, context, float(number))
        context.loads.record_start(choice)
        chosen[choice.name] += 1
    print(dict(chosen))


if __name__ == "__main__":
    main()
