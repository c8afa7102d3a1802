"""The platform as one plug-in: its store, record formats and headers."""

from sycamoreshed.kernel import kernel
from sycamoreshed.platform import calls
from sycamoreshed.platform import names
from sycamoreshed.platform import records
from sycamoreshed.platform import store
from sycamoreshed.platform import toldloads

__all__ = ["Platform"]


class Platform:
    """Interface to the platform that the gateway runs on.

    Parameters
    ----------
    store : TableStore
    """

    configuration_key = names.CONFIGURATION_KEY
    # Maps this project's names of table copies to the store's table names;
    # "settings" holds the operator's configuration.
    tables = {
        "settings": names.OPERATOR_TABLE,
        "endpoints": names.ENDPOINT_TABLE,
        "peers": "sycamoreshed-instances",
    }
    # Rows that instances read only when they start.
    origins_table = "sycamoreshed-origins"
    retries_table = "sycamoreshed-retries"
    decode_configuration = staticmethod(records.decode_configuration)
    decode_endpoint = staticmethod(records.decode_endpoint)
    evacuated_zone = staticmethod(records.evacuated_zone)
    parse_head = staticmethod(calls.parse_head)
    forwarded_headers = staticmethod(calls.forwarded_headers)
    shorten_deadline = staticmethod(calls.shorten_deadline)
    response_headers = staticmethod(calls.response_headers)
    classify_response = staticmethod(calls.classify_response)
    matches_request = staticmethod(calls.matches_request)
    is_leaving = staticmethod(calls.is_leaving)
    rate_limit = staticmethod(calls.rate_limit)
    rest_s = staticmethod(calls.rest_s)
    tells_load = staticmethod(toldloads.tells_load)
    told_load = staticmethod(toldloads.told_load)
    survived_rejections = staticmethod(calls.survived_rejections)
    tolerated_rejections = staticmethod(calls.tolerated_rejections)
    piece_call = staticmethod(calls.piece_call)
    decode_piece_results = staticmethod(calls.decode_piece_results)
    free_call = staticmethod(calls.free_call)

    def __init__(self, *, store):
        self.store = store


@kernel.plugin("platform", needs=("web",))
async def platform(core):
    """Provide the platform whose table store the settings name."""
    yield Platform(
        store=store.TableStore(
            session=core.part("web"), address=core.settings.table
        )
    )
