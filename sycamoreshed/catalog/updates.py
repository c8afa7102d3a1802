"""Updates of table copies that instances send each other."""

import typing

from sycamoreshed.catalog import catalog as catalogs

__all__ = [
    "TableUpdate",
    "Update",
    "WatchRequest",
    "apply_update",
    "table_update",
    "versions",
]

# Age of a table that was never known to be current, in seconds.
NEVER_S = 1e9


class TableUpdate(typing.NamedTuple):
    """The state of a table's copy, sent by one instance to another.

    Parameters
    ----------
    table : str
    version : int
    rows : dict of str to (bytes or None), or None
        None if the asking instance has this version or a newer one.
    age_s : float
        Since the sender last knew its copy to be current.
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


class WatchRequest(typing.NamedTuple):
    """A request for changes to the reader of a zone.

    Parameters
    ----------
    versions : dict of str to int
        Version of each of its copies.
    was_current : bool
        `Update.is_current` of the last answer.
    wait_s : float
        How long to hold the request if nothing has changed.
    """

    versions: dict[str, int]
    was_current: bool
    wait_s: float


class Update(typing.NamedTuple):
    """Answer to a `WatchRequest`.

    Parameters
    ----------
    tables : list of TableUpdate
    is_current : bool
        Whether the sender reaches the store.
    """

    tables: list[TableUpdate]
    is_current: bool


def table_update(catalog, table, after, now):
    """Return the `TableUpdate` for an instance that has version `after`."""
    replica = catalog.replica(table)
    known = TableUpdate(
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


def apply_update(catalog, update, now, peer):
    """Apply an update to the catalog.

    Parameters
    ----------
    catalog : Catalog
    update : TableUpdate
    now : float
    peer : str
        Address of the sender.
    """
    # The sender may reach the store again before this instance does.
    if update.lapse_s > 0:
        catalog.regained(now, min(update.lapse_s, catalogs.LAPSE_S))
    if update.rows is None:
        return
    if update.since is None:
        catalog.replace(
            update.table, update.rows, update.version, now, source=peer
        )
    else:
        catalog.apply(
            update.table,
            list(update.rows.items()),
            update.since,
            update.version,
            now,
            source=peer,
        )
