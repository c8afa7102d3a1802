"""Messages by which instances send each other updates of table copies."""

import typing

from sycamoreshed.adapters import positions
from sycamoreshed.catalog import catalog as catalogs

__all__ = [
    "TableUpdate",
    "Update",
    "WatchRequest",
    "apply_update",
    "held_positions",
    "table_update",
]

# Reported age in seconds of a table that was never confirmed current.
MAX_AGE_S = 1e9


class TableUpdate(typing.NamedTuple):
    """The copy of a table, or its changes, sent to another instance.

    Parameters
    ----------
    table : str
    position : Position
    rows : dict of str to (bytes or None), or None
        None if the requesting instance has this position or a newer one.
    age_s : float
        Seconds since the sender last confirmed its copy current.
    grace_s : float
        Seconds for which endpoints without an entry are retained, because
        entries may have expired while the store was unavailable.
    since : Position or None
        Set if the rows are only those that changed after this position; a
        row that was removed has the value None.
    configuration : bytes or None
        Set if the sender has a configuration in force that its copy lacks.
    """

    table: str
    position: positions.Position
    rows: dict[str, bytes | None] | None
    age_s: float
    grace_s: float = 0.0
    since: positions.Position | None = None
    configuration: bytes | None = None


class WatchRequest(typing.NamedTuple):
    """A request for changes to the reader of a zone.

    Parameters
    ----------
    held : dict of str to Position
        Positions of the sender's copies, by table.
    was_current : bool
        `Update.is_current` of the reader's last answer; True initially.
    wait_s : float
        Seconds to hold the request while nothing has changed.
    """

    held: dict[str, positions.Position]
    was_current: bool
    wait_s: float


class Update(typing.NamedTuple):
    """Answer to a `WatchRequest`.

    Parameters
    ----------
    tables : list of TableUpdate
    is_current : bool
        Whether the sender is ready and the store answers it.
    """

    tables: list[TableUpdate]
    is_current: bool


def table_update(catalog, table, after, now):
    """Return the `TableUpdate` for an instance that has position `after`."""
    replica = catalog.replica(table)
    state = TableUpdate(
        table=table,
        position=replica.position,
        rows=None,
        age_s=round(min(catalog.age(table, now), MAX_AGE_S), 3),
        grace_s=round(catalog.remaining_grace_s(now), 3),
    )
    if table == catalogs.SETTINGS:
        state = state._replace(configuration=catalog.unlisted_configuration)
    if replica.position <= after:
        return state
    changed = replica.changes(after)
    if changed is None:
        return state._replace(rows=replica.rows)
    return state._replace(rows=changed, since=after)


def held_positions(catalog):
    """Return the position of each table's copy."""
    return {each: catalog.replica(each).position for each in catalog.tables}


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
    # The sender may notice the store's recovery before this instance does.
    if update.grace_s > 0:
        catalog.on_store_recovered(
            now, min(update.grace_s, catalogs.EXPIRY_GRACE_S)
        )
    if update.rows is not None:
        _apply_rows(catalog, update, now, peer)
    if update.configuration is not None:
        catalog.adopt_configuration(update.configuration, peer)


def _apply_rows(catalog, update, now, peer):
    if update.since is None:
        catalog.replace(
            update.table, update.rows, update.position, now, source=peer
        )
    else:
        catalog.apply(
            update.table,
            list(update.rows.items()),
            update.since,
            update.position,
            now,
            source=peer,
        )
