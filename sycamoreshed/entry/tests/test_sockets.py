"""Binding of the daemon's addresses before any connection is opened."""

import socket

import pytest

from sycamoreshed.entry import daemon
from sycamoreshed.entry import sockets
from sycamoreshed import exceptions
from sycamoreshed.kernel import kernel


def test_addresses_are_bound_before_connections_are_opened():
    """An outgoing connection may occupy the port the daemon listens on.

    The daemon would then sometimes fail to start, for a cause that is
    invisible to its operator.
    """
    names = [entry.name for entry in kernel.start_order(kernel._plugins)]
    assert names.index("sockets") < names.index("web")
    assert daemon.sockets is sockets


@pytest.mark.parametrize("host", ["127.0.0.1", "::1"])
def test_address_in_use_is_a_settings_error(host):
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family) as other:
        other.bind((host, 0))
        other.listen()
        port = other.getsockname()[1]
        with pytest.raises(exceptions.CheckError) as raised:
            sockets.bind(f"[{host}]:{port}", path="$.public")
    assert raised.value.path == "$.public"


async def test_bound_port_cannot_be_bound_again():
    with sockets.bind("127.0.0.1:0", path="$.public") as bound:
        with socket.socket() as other, pytest.raises(OSError):
            other.bind(bound.getsockname())
