import asyncio
import types

from sycamoreshed.adapters import web
from sycamoreshed.membership import probing
from testkit import virtualtime


class Client:
    """Raises an error that no caller expects at the first probe."""

    def __init__(self):
        self.calls = 0

    async def request(self, _endpoint, _method, _path, *, timeout):
        """Answer a probe."""
        self.calls += 1
        if self.calls == 1:
            raise RuntimeError("file descriptor 9 is used by a transport")
        report = {"running": self.calls, "waiting": 0, "slots": 8}
        return web.Reply(200, report, 0)


def make_prober(client, clock):
    """Return a prober of one endpoint."""
    endpoint = types.SimpleNamespace(name="e-1", zone="north-a")
    member = types.SimpleNamespace(name="i-1")
    return probing.Prober(
        settings=types.SimpleNamespace(zone="north-a", instance="i-1"),
        notes=types.SimpleNamespace(
            config=types.SimpleNamespace(
                version=1, endpoints={"engine": [endpoint]}
            )
        ),
        gossip=types.SimpleNamespace(
            view=types.SimpleNamespace(alive_in_zone=lambda _now: [member]),
            on_record=lambda _topic, _callback: None,
            put=lambda _topic, _name, _value: None,
        ),
        outliers=types.SimpleNamespace(
            report_down=lambda _name, _is_down: None
        ),
        client=client,
        metrics=types.SimpleNamespace(
            control_bytes=types.SimpleNamespace(
                labels=lambda _name: types.SimpleNamespace(
                    inc=lambda _count: None
                )
            )
        ),
        clock=clock,
    )


def test_endpoint_is_probed_after_an_unforeseen_error():
    """The load of an endpoint whose probes ended would stay the last known."""

    async def run():
        clock = asyncio.get_running_loop().time
        client = Client()
        prober = make_prober(client, clock)
        task = asyncio.create_task(prober.run())
        await asyncio.sleep(10.0)
        task.cancel()
        await prober.stop()
        return client.calls, prober.reports

    calls, reports = virtualtime.run(run())
    assert calls > 2
    assert "e-1" in reports
