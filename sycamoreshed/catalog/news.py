"""What instances tell each other of their copies of tables."""

import typing

from sycamoreshed.catalog import catalog as catalogs

__all__ = ["Ask", "News", "TableNews", "take", "tell", "versions"]

# Age of a table that was never known to be current, in seconds.
NEVER_S = 1e9


class TableNews(typing.NamedTuple):
    """A table's copy as one instance tells another.

    Parameters
    ----------
    table : str
    version : int
    rows : dict of str to (bytes or None), or None
        None if the asking instance has this version or a newer one.
    age_s : float
        Since the teller last knew its copy to be current.
    lapse_s : float
        For how long entries that are missing may have lapsed while the
        store was away, and come back.
    since : int or None
        Set if the rows are only those that changed after this version; a
        row that was removed has the value None.
    """

    table: str
    version: int
    rows: dict[str, bytes | None] | None
    age_s: float
    lapse_s: float = 0.0
    since: int | None = None


class Ask(typing.NamedTuple):
    """What an instance asks of the reader of its zone.

    Parameters
    ----------
    versions : dict of str to int
        Version of each of its copies.
    was_current : bool
        What it heard last; see `News`.
    wait_s : float
        How long to wait for something to tell.
    """

    versions: dict[str, int]
    was_current: bool
    wait_s: float


class News(typing.NamedTuple):
    """Answer to `Ask`.

    Parameters
    ----------
    tables : list of TableNews
    is_current : bool
        Whether the teller reaches the store.
    """

    tables: list[TableNews]
    is_current: bool


def tell(catalog, table, after, now):
    """Return the `TableNews` for an instance that has version `after`."""
    replica = catalog.replica(table)
    known = TableNews(
        table=table,
        version=replica.version,
        rows=None,
        age_s=round(min(catalog.age(table, now), NEVER_S), 3),
        lapse_s=round(catalog.lapse_left(now), 3),
    )
    if replica.version <= after:
        return known
    changed = replica.changes(after)
    if changed is None:
        return known._replace(rows=replica.rows)
    return known._replace(rows=changed, since=after)


def versions(catalog):
    """Return the version of each table's copy."""
    return {each: catalog.replica(each).version for each in catalog.tables}


def take(catalog, news, now, peer):
    """Take what another instance tells.

    Parameters
    ----------
    catalog : Catalog
    news : TableNews
    now : float
    peer : str
        Who told it.
    """
    # It may have reached the store before this instance does.
    if news.lapse_s > 0:
        catalog.regained(now, min(news.lapse_s, catalogs.LAPSE_S))
    if news.rows is None:
        return
    if news.since is None:
        catalog.replace(news.table, news.rows, news.version, now, source=peer)
    else:
        catalog.apply(
            news.table,
            list(news.rows.items()),
            news.since,
            news.version,
            now,
            source=peer,
        )
