"""Finds the workspace of a request by its API key."""

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import routing_document
from tamaracktide.core import workspaces
from tamaracktide.entry import platform_adapter as entry_adapter
from tamaracktide.entry import requests


def identify(
    table: routing_document.RouteTable,
    route: routing_document.Route,
    fields: entry_adapter.ClientFields,
    relayed: requests.Relayed | None,
) -> requests.Caller | None:
    """Returns who sent a request; None if there are no workspaces.

    A public route needs no key; a valid one still names its workspace. The
    instance that sent a request on has already checked its key.

    Raises:
        errors.RefusalError: The key is missing or unknown.
    """
    if relayed is not None and relayed.workspace is not None:
        return _make_caller(table, relayed.workspace)
    if not table.document.workspaces:
        return None
    workspace = table.find_workspace(fields.key_digest)
    if workspace is not None:
        return _make_caller(table, workspace.name)
    if route.public:
        return requests.Caller(workspace="")
    shown = workspaces.make_fingerprint(fields.key_digest)
    raise errors.RefusalError(
        result_codes.ResultCode.UNAUTHENTICATED,
        f"API key {shown!r} is unknown in routing document version "
        f"{table.document.version}"
        if shown
        else "one API key is required",
    )


def _make_caller(
    table: routing_document.RouteTable, name: str
) -> requests.Caller:
    workspace = table.document.workspaces.get(name)
    return requests.Caller(
        workspace=name,
        priority=None if workspace is None else workspace.priority,
        weight=table.weights.get(name, 1.0),
    )
