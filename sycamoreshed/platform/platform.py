"""The platform as one part: its store, its records, its headers."""

from sycamoreshed.kernel import kernel
from sycamoreshed.platform import calls
from sycamoreshed.platform import names
from sycamoreshed.platform import records
from sycamoreshed.platform import store

__all__ = ["Platform"]


class Platform:
    """What the gateway asks of the platform it runs on.

    Parameters
    ----------
    store : TableStore
    """

    configuration_key = names.CONFIGURATION_KEY
    # Names of the store's tables by what this project calls their copies.
    tables = {
        "settings": names.OPERATOR_TABLE,
        "endpoints": names.ENDPOINT_TABLE,
        "peers": "sycamoreshed-instances",
    }
    decode_configuration = staticmethod(records.decode_configuration)
    decode_endpoint = staticmethod(records.decode_endpoint)
    read_head = staticmethod(calls.read_head)
    forwarded_headers = staticmethod(calls.forwarded_headers)
    answer_headers = staticmethod(calls.answer_headers)
    judge = staticmethod(calls.judge)
    answers = staticmethod(calls.answers)
    piece_call = staticmethod(calls.piece_call)
    read_pieces = staticmethod(calls.read_pieces)
    free_call = staticmethod(calls.free_call)

    def __init__(self, *, store):
        self.store = store


@kernel.plugin("platform", needs=("web",))
async def platform(core):
    """Provide the platform named in the settings."""
    yield Platform(
        store=store.TableStore(
            session=core.part("web"), address=core.settings.table
        )
    )
