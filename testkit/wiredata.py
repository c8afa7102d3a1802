"""Builders of gateway documents, heartbeat records and request headers."""

__all__ = [
    "beat",
    "configuration",
    "head",
    "piece_service",
    "route",
    "service",
    "settings",
]

KEY = "key-of-team-a"


def route(**changes):
    """Return a route for idempotent unary requests."""
    return {
        "name": "lookup",
        "host": "pages.example",
        "prefix": "/lookup/",
        "route_kind": "safe",
        "timeout_ms": 3000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": "desk",
        "max_attempts": 2,
        "anonymous": False,
        "sticky": False,
        "resumable": False,
        "itl_target_ms": 200,
        **changes,
    }


def service(name="desk", **changes):
    """Return a plain service."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 100,
        "protocol": "h1",
        "tls": False,
        **changes,
    }


def piece_service(name, **changes):
    """Return a service that processes segments of stages."""
    spec = {
        "slots": 1,
        "queue": 2,
        "batch": 8,
        "call_ms": 50.0,
        "item_ms": 5.0,
        "headroom_mb": 10.0,
        "handle_s": 4.0,
        "link_mbps": 10000,
        **changes,
    }
    return service(name, segments=spec)


def configuration(version=1, **changes):
    """Return a configuration with one route, one service and one team."""
    return {
        "version": version,
        "routes": [route()],
        "services": [service()],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "team-a", "api_keys": [KEY], "priority": 1}],
        **changes,
    }


def beat(address, *, cold_ms=0, **changes):
    """Return the heartbeat record of an endpoint."""
    return {
        "service": "desk",
        "address": address,
        "zone": "north-a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_remaining_ms": cold_ms,
        "sequence": 1,
        "born": 1700000000000,
        **changes,
    }


def settings(**changes):
    """Return the settings document of a gateway instance."""
    return {
        "instance": "edge-1",
        "region": "north",
        "zone": "north-a",
        "zones": {"north-a": "north", "south-a": "south"},
        "public": "127.0.0.1:1",
        "ready": "127.0.0.1:2",
        "control": "127.0.0.1:3",
        "table": "127.0.0.1:4",
        "peers": [],
        "grace_s": 8.0,
        "retry_ratio": 0.2,
        "retry_slack": 60.0,
        "retry_window_s": 10.0,
        **changes,
    }


def head(request_id="r-1", **changes):
    """Return the headers of a caller's request.

    Parameters
    ----------
    **changes
        ``X-Sycamoreshed-`` headers by the rest of their names, with
        underscores for dashes.
    """
    headers = {
        "Host": "pages.example",
        "X-Sycamoreshed-Request-Id": request_id,
        "X-Sycamoreshed-Deadline-Ms": "3000",
        "Authorization": f"Token {KEY}",
    }
    for name, value in changes.items():
        named = "X-Sycamoreshed-" + name.replace("_", "-").title()
        headers[named] = value
    return headers
