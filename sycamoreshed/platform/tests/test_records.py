"""What operators and endpoints write, in the product's types."""

import msgspec
import pytest

from sycamoreshed.platform import records
from testkit import wiredata


def decoded(**changes):
    """Return a configuration as the product has it."""
    document = wiredata.configuration(**changes)
    return records.decode_configuration(msgspec.json.encode(document))


def test_routes_services_and_teams():
    engine = {"slots": 64, "kv_capacity": 450000, "other": 1}
    found = decoded(
        version=7,
        routes=[
            wiredata.route(
                route_kind="streaming",
                resumable=True,
                service=None,
                split=[
                    {"service": "a", "weight": 90},
                    {"service": "b", "weight": 10},
                ],
                stages=[{"service": "p", "after": [], "size_bytes": 8e3}],
            )
        ],
        services=[
            wiredata.service("a", engine=engine),
            wiredata.piece_service("p"),
        ],
    )
    (route,) = found.routes
    assert route.streaming and route.resumable and not route.idempotent
    assert route.services == (("a", 90.0), ("b", 10.0))
    assert route.stages[0].result_bytes == 8000
    assert route.timeout_s == 3.0
    assert found.services["a"].engine.memory_tokens == 450000
    assert found.services["p"].pieces.call_s == 0.05
    assert found.teams[wiredata.KEY].name == "team-a"


@pytest.mark.parametrize(
    ("kind", "idempotent"),
    [("safe", True), ("unsafe", False), ("streaming", False)],
)
def test_what_may_run_again_follows_from_the_kind(kind, idempotent):
    """Taken from a name or a method, a ballot would be sent again."""
    found = decoded(routes=[wiredata.route(route_kind=kind)])
    assert found.routes[0].idempotent is idempotent


def test_without_teams_no_key_is_needed():
    document = wiredata.configuration()
    del document["tenants"]
    raw = msgspec.json.encode(document)
    assert not records.decode_configuration(raw).requires_key
    assert decoded(tenants=[]).requires_key


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b"{}",
        msgspec.json.encode(wiredata.beat("10.0.0.1:80", slots="4")),
        msgspec.json.encode(wiredata.beat("10.0.0.1:80", state="odd")),
        msgspec.json.encode(wiredata.beat("10.0.0.1")),
    ],
)
def test_entries_of_other_writers_name_no_endpoint(raw):
    with pytest.raises(msgspec.MsgspecError):
        records.decode_endpoint("i-1", raw)


def test_an_endpoint_that_leaves():
    raw = msgspec.json.encode(
        wiredata.beat("10.0.0.1:80", state="draining", more=[1])
    )
    found = records.decode_endpoint("i-1", raw)
    assert found.is_draining and found.id == "i-1"
