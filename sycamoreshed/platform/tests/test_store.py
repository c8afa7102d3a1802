"""Reading tables of more than one page from the table store."""

import aiohttp
from aiohttp import web
import msgspec
import pytest

from standins import platformstore
from sycamoreshed.catalog import tablereads
from sycamoreshed.errors import kinds
from sycamoreshed.platform import names
from sycamoreshed.platform import store as stores

PAGE = 500
TABLE = "servers"


class ChangingStore(platformstore.PlatformStore):
    """Changes a row of the first page after that page was read."""

    def _answer(self, **more):
        answer = super()._answer(**more)
        if more.get("has_more"):
            self.put(TABLE, "i-000", "draining")
        return answer


async def test_a_change_between_two_pages_is_not_lost():
    """An endpoint on the first page starts draining during the second read.

    Six hundred engines take two pages.  If the result had the version of
    the last page, the old row would stay: the instance would go on sending
    to the draining endpoint until its entry is removed.
    """
    store = ChangingStore()
    await store.start()
    for number in range(PAGE + 100):
        store.put(TABLE, f"i-{number:03d}", "ready")
    async with aiohttp.ClientSession() as session:
        client = stores.TableStore(session=session, address=store.address)
        full = await client.read(TABLE, timeout=5.0)
        changes = await client.wait_for_changes(
            TABLE, full.version, wait_s=0.0, slack_s=5.0
        )
    await store.stop()
    pages = [path for path, _ in store.calls if path == names.ROWS_GET]
    assert len(pages) == 2
    assert len({row.key for row in full.rows}) == PAGE + 100
    (row,) = changes.rows
    assert (row.key, msgspec.json.decode(row.value)) == ("i-000", "draining")


MALFORMED = [
    {"rows": 7, "ver": 3},
    {"rows": [{"value": "e30="}], "ver": 3},
    {"rows": [], "ver": "new"},
    {"rows": []},
    {},
]


class MalformedStore(platformstore.PlatformStore):
    """Answers reads with a document that is none of the protocol."""

    document = None

    def _answer(self, **_more):
        return web.json_response(self.document)


@pytest.mark.parametrize("document", MALFORMED)
async def test_malformed_answer_is_a_failure(document):
    """An answer that cannot be read ends the task that follows the table."""
    store = MalformedStore()
    store.document = document
    await store.start()
    async with aiohttp.ClientSession() as session:
        client = stores.TableStore(session=session, address=store.address)
        answers = [
            await client.read(TABLE, timeout=5.0),
            await client.wait_for_changes(TABLE, 0, wait_s=0.0, slack_s=5.0),
        ]
    await store.stop()
    assert all(isinstance(each, kinds.Failure) for each in answers)


async def test_optional_fields_of_other_forms_are_read():
    """One row that differs must not keep an instance from all others."""
    store = MalformedStore()
    store.document = {
        "rows": [
            {"key": "a", "ver": 2, "part": None, "value": 7},
            {"key": "b", "ver": 3, "tombstone": 1},
        ],
        "ver": 3,
        "has_more": 0,
    }
    await store.start()
    async with aiohttp.ClientSession() as session:
        client = stores.TableStore(session=session, address=store.address)
        changes = await client.read(TABLE, timeout=5.0)
    await store.stop()
    assert changes.rows == [
        tablereads.Row("a", b"", 2),
        tablereads.Row("b", None, 3),
    ]


@pytest.mark.parametrize(
    ("header", "era"),
    [
        (None, None),
        ("7", 7),
        ("0", 0),
        ("", None),
        ("-1", None),
        ("7.5", None),
        ("seven", None),
        ("9" * 5000, None),
    ],
)
async def test_era_is_read_if_it_is_a_number(header, era):
    """A malformed header ends the task that follows the table."""
    store = platformstore.PlatformStore()
    store.era = header
    await store.start()
    store.put(TABLE, "i-0", "ready")
    async with aiohttp.ClientSession() as session:
        client = stores.TableStore(session=session, address=store.address)
        answers = [
            await client.read(TABLE, timeout=5.0),
            await client.wait_for_changes(TABLE, 1, wait_s=0.0, slack_s=5.0),
            await client.wait_for_changes(TABLE, 9, wait_s=0.0, slack_s=5.0),
        ]
    await store.stop()
    assert [type(each) for each in answers] == [
        tablereads.Changes,
        tablereads.Changes,
        tablereads.HistoryGone,
    ]
    assert [each.era for each in answers] == [era] * 3


async def test_pages_of_two_eras_are_no_listing():
    """Rows of the first page may be lost, and those of the second not."""

    class RestoredStore(platformstore.PlatformStore):
        def _answer(self, **more):
            answer = super()._answer(**more)
            if more.get("has_more"):
                answer.headers[platformstore.ERA_HEADER] = "4"
                self.era = 5
            return answer

        def _with_era(self, answer):
            if platformstore.ERA_HEADER in answer.headers:
                return answer
            return super()._with_era(answer)

    store = RestoredStore()
    await store.start()
    for number in range(PAGE + 100):
        store.put(TABLE, f"i-{number:03d}", "ready")
    async with aiohttp.ClientSession() as session:
        client = stores.TableStore(session=session, address=store.address)
        first = await client.read(TABLE, timeout=5.0)
    await store.stop()
    assert isinstance(first, kinds.Failure)
