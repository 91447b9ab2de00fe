"""Sample rows, edits and editors for tests of the tables."""

import random

from tamaracktide.core import rows
from tamaracktide.core import table_edits
from tamaracktide.core import tables
from tamaracktide.object_api import object_store
from tamaracktide.tables import editor
from tamaracktide.tables import settings

POOL = rows.Pool(
    name="engines", kind=rows.UpstreamKind.ENGINE, upstreams=("e1", "e2")
)
EDITOR_SETTINGS = settings.EditorSettings(
    min_backoff_s=0.0001, max_backoff_s=0.0002, concurrency=1
)


def make_route(name: str, version: str = "1") -> rows.Route:
    """Returns a route to the engines."""
    return rows.Route(
        name=name,
        customer="acme",
        pool=POOL.name,
        adapter=f"adapter-{name}",
        version=version,
    )


def make_edit(edit_id: str, *changes: table_edits.Change) -> table_edits.Edit:
    """Returns an edit with the given changes."""
    return table_edits.Edit(
        edit_id=edit_id,
        author="tester",
        at_unix_s=1.0,
        summary=edit_id,
        changes=changes,
    )


def make_editor(
    objects: object_store.ObjectStore,
    editor_settings: settings.EditorSettings = EDITOR_SETTINGS,
) -> editor.Editor:
    """Returns an editor, by default with a short back-off."""
    return editor.Editor(objects, editor_settings, random.Random(1))


async def put_rows(
    objects: object_store.ObjectStore, edit_id: str, *desired: tables.Row
) -> int:
    """Commits rows with a new editor; returns the revision."""
    table_editor = make_editor(objects)
    snapshot = await table_editor.read_tables()
    changes = table_edits.diff_rows(snapshot, desired, prune=False)
    return await table_editor.commit(make_edit(edit_id, *changes))
