"""Components that serve all requests."""

import typing

from sycamoreshed.kernel import kernel

__all__ = ["Parts"]


class Parts(typing.NamedTuple):
    """Components that the attempts at all requests share.

    Parameters
    ----------
    catalog : Catalog
    residency : Residency
    placer : Placer
    engine_load : LoadView
    engine_speeds : Speeds
    load_sharing : LoadSharing
    engine_room : EngineRoom
    health : Health
    crashes : CrashDetector
    limiter : Limiter
    budget : RetrySpending
    peers : Peers
    resumption : Resumption
    stop_deadline : StopDeadline
    sender : EndpointSender
    codec : Platform
    journal : Journal
    pacer : Pacer
        Processing time of streams that consist mostly of short events.
    clock : callable
    """

    catalog: typing.Any
    residency: typing.Any
    placer: typing.Any
    engine_load: typing.Any
    engine_speeds: typing.Any
    load_sharing: typing.Any
    engine_room: typing.Any
    health: typing.Any
    crashes: typing.Any
    limiter: typing.Any
    budget: typing.Any
    peers: typing.Any
    resumption: typing.Any
    stop_deadline: typing.Any
    sender: typing.Any
    codec: typing.Any
    journal: typing.Any
    pacer: typing.Any
    clock: typing.Any


@kernel.plugin(
    "parts",
    needs=(
        "catalog",
        "residency",
        "placer",
        "engine_load",
        "engine_speeds",
        "load_sharing",
        "engine_room",
        "health",
        "crashes",
        "limiter",
        "budget",
        "peers",
        "resumption",
        "stop_deadline",
        "endpoint_sender",
        "platform",
        "journal",
        "response_intake",
    ),
)
async def parts(core):
    """Provide the components that attempts share."""
    yield Parts(
        catalog=core.part("catalog"),
        residency=core.part("residency"),
        placer=core.part("placer"),
        engine_load=core.part("engine_load"),
        engine_speeds=core.part("engine_speeds"),
        load_sharing=core.part("load_sharing"),
        engine_room=core.part("engine_room"),
        health=core.part("health"),
        crashes=core.part("crashes"),
        limiter=core.part("limiter"),
        budget=core.part("budget"),
        peers=core.part("peers"),
        resumption=core.part("resumption"),
        stop_deadline=core.part("stop_deadline"),
        sender=core.part("endpoint_sender"),
        codec=core.part("platform"),
        journal=core.part("journal"),
        pacer=core.part("response_intake").pacer,
        clock=core.clock,
    )
