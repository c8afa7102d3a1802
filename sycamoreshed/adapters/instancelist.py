"""The platform's list of live and leaving instances; may be stale."""

import typing

import msgspec

from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel

__all__ = ["InstanceList", "ListedInstance"]


class ListedInstance(typing.NamedTuple):
    """An instance as the platform lists it.

    Parameters
    ----------
    name, address, zone : str
        ``address`` is the control address.
    state : str
        ``live`` or ``leaving``.
    generation : int
        Increases with each change of the instance's state.
    """

    name: str
    address: str
    zone: str
    state: str
    generation: int


class _InstanceItem(typing.TypedDict):
    name: str
    address: str
    zone: str
    state: typing.Literal["live", "leaving"]
    generation: int


class _ListBody(typing.TypedDict):
    instances: list[_InstanceItem]


class InstanceList:
    """Client of the instance list."""

    def __init__(self, *, session, address, timeout):
        self._session = session
        self._address = address
        self._timeout = timeout

    async def read(self):
        """Read the list.

        Returns
        -------
        list of ListedInstance, or Failure
            Of kind ``store-away``, also if the answer is not a valid list.
        """
        reply = await web.fetch(
            self._session,
            "GET",
            self._address,
            "/instances",
            timeout=self._timeout,
        )
        if isinstance(reply, kinds.Failure):
            return reply._replace(kind=kinds.Kind.STORE_AWAY)
        if reply.status != 200:
            return kinds.Failure(
                kinds.Kind.STORE_AWAY, f"status {reply.status}"
            )
        try:
            answer = msgspec.convert(reply.body, _ListBody)
        except msgspec.ValidationError as err:
            return kinds.Failure(kinds.Kind.STORE_AWAY, str(err))
        return [ListedInstance(**item) for item in answer["instances"]]


@kernel.plugin("instance_list", needs=("web",))
async def instance_list(core):
    """Provide the client of the instance list."""
    yield InstanceList(
        session=core.part("web"),
        address=core.settings.instance_list,
        timeout=core.settings.store_timeout_s,
    )
