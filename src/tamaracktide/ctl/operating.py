"""Commands on the running system: status, drains, explain and wait."""

from collections.abc import Mapping
import time

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.ctl import daemons
from tamaracktide.ctl import drains
from tamaracktide.ctl import output
from tamaracktide.ctl import session as ctl_session
from tamaracktide.object_api import instances as platform_instances

STATUS_PATH = "/admin/status"
WAIT_POLL_S = 0.25
INSTANCE_COLUMNS = (
    "instance",
    "role",
    "zone",
    "state",
    "revision",
    "requests",
    "unreachable",
    "fault",
)
CELL_COLUMNS = ("pool", "zone", "owner", "running", "capacity", "waiting")
UPSTREAM_COLUMNS = (
    "upstream",
    "pool",
    "zone",
    "owner",
    "epoch",
    "phase",
    "running",
    "loaded",
    "withheld",
)
DECISION_COLUMNS = ("at", "hop", "step", "upstream", "code", "detail")


async def show_status(
    session: ctl_session.Session, printer: output.Printer
) -> None:
    """Prints the instances and the status that each daemon reports."""
    instances = await session.list_instances()
    drained = await _list_drained(session)
    responses = await daemons.query_daemons(
        session.settings, instances, STATUS_PATH
    )
    by_id = {response.instance.id: response for response in responses}
    listed = [
        _make_instance_row(instance, by_id.get(instance.id), drained)
        for instance in sorted(instances, key=lambda i: (i.role, i.id))
    ]
    cells = [row for response in responses for row in _list_cell_rows(response)]
    upstreams = [row for cell in cells for row in _list_upstream_rows(cell)]
    printer.print_sections(
        [
            output.Section("instances", INSTANCE_COLUMNS, listed),
            output.Section("cells", CELL_COLUMNS, cells),
            output.Section("upstreams", UPSTREAM_COLUMNS, upstreams),
        ]
    )


async def drain_instance(
    session: ctl_session.Session, printer: output.Printer, instance: str
) -> None:
    """Stops assigning new work to an upstream or instance."""
    listed = {item.id for item in await session.instances.list()}
    if instance not in listed:
        raise errors.EditError(
            result_codes.ResultCode.ROW_UNKNOWN,
            f'the instance list has no "{instance}"',
        )
    drain = drains.Drain(session.settings.author, time.time())
    changed = await drains.start_drain(session.objects, instance, drain)
    line = (
        f"{instance} is draining"
        if changed
        else f"{instance} was already draining"
    )
    printer.print_value({"instance": instance, "changed": changed}, line)


async def undrain_instance(
    session: ctl_session.Session, printer: output.Printer, instance: str
) -> None:
    """Resumes assigning new work to an upstream or instance."""
    await drains.stop_drain(session.objects, instance)
    printer.print_value(
        {"instance": instance, "changed": True}, f"{instance} accepts new work"
    )


async def explain_request(
    session: ctl_session.Session, printer: output.Printer, request_id: str
) -> None:
    """Prints the decisions that gateways recorded for a request, by time."""
    responses = await daemons.query_daemons(
        session.settings,
        await session.list_instances(),
        daemons.make_explain_path(request_id),
        roles=("gateway",),
    )
    successful = [response for response in responses if response.status == 200]
    if not successful:
        unreachable = [a.instance.id for a in responses if a.status == 0]
        unreachable_note = (
            f"; no response from {', '.join(unreachable)}"
            if unreachable
            else ""
        )
        raise errors.EditError(
            result_codes.ResultCode.ROW_UNKNOWN,
            f'no gateway has a record of request "{request_id}"'
            f"{unreachable_note}",
        )
    printer.print_rows(
        f"request {request_id}",
        DECISION_COLUMNS,
        sorted(
            (
                row
                for response in successful
                for row in _list_decision_rows(response)
            ),
            key=lambda row: str(row["at"]),
        ),
    )


async def wait_until_in_force(
    session: ctl_session.Session,
    printer: output.Printer,
    revision: int,
    timeout_s: float,
) -> None:
    """Waits until a revision is in force on every live daemon.

    Raises:
        errors.EditError: NOT_IN_FORCE after the timeout; the detail lists the
            lagging daemons.
    """
    if not revision:
        revision = (await session.editor.read_tables()).revision
    lagging: list[str] = ["no instance has been queried yet"]
    with anyio.move_on_after(timeout_s):
        while lagging:
            lagging = await _list_lagging(session, revision)
            if lagging:
                await anyio.sleep(WAIT_POLL_S)
    if lagging:
        raise errors.EditError(
            result_codes.ResultCode.NOT_IN_FORCE,
            f"revision {revision} not in force after {timeout_s:g} s:"
            f" {', '.join(lagging)}",
        )
    printer.print_value(
        {"revision": revision}, f"revision {revision} is in force everywhere"
    )


async def _list_lagging(
    session: ctl_session.Session, revision: int
) -> list[str]:
    try:
        instances = await session.list_instances()
    except errors.PlatformUnavailableError as error:
        return [error.detail]
    live = tuple(item for item in instances if item.state == "live")
    responses = await daemons.query_daemons(session.settings, live, STATUS_PATH)
    if not responses:
        return ["the instance list has no live gateway or scheduler"]
    return [
        f"{response.instance.id} ({response.fault or response.revision})"
        for response in responses
        if response.revision < revision
    ]


async def _list_drained(session: ctl_session.Session) -> set[str]:
    try:
        return await drains.list_drained(session.objects)
    except errors.PlatformUnavailableError as error:
        output.print_note(f"drains are not shown: {error.detail}")
        return set()


def _make_instance_row(
    instance: platform_instances.Instance,
    response: daemons.DaemonResponse | None,
    drained: set[str],
) -> dict[str, object]:
    value = response.value if response else {}
    schedulers = value.get("schedulers", {})
    return {
        "instance": instance.id,
        "role": instance.role,
        "zone": instance.zone,
        "state": _find_state(instance, value, drained),
        "revision": value.get("revision"),
        "requests": value.get("in_progress"),
        "unreachable": sorted(n for n, up in schedulers.items() if not up),
        "fault": response.fault if response else "",
    }


def _find_state(
    instance: platform_instances.Instance,
    status: Mapping[str, object],
    drained: set[str],
) -> str:
    if instance.id in drained:
        return "drained"
    return "stopping" if status.get("draining") else instance.state


def _list_cell_rows(
    response: daemons.DaemonResponse,
) -> list[dict[str, object]]:
    """Returns one row for each cell that a scheduler owns."""
    cells = response.value.get("cells", [])
    return [
        {**cell, "owner": response.instance.id}
        for cell in cells
        if isinstance(cell, dict)
    ]


def _list_upstream_rows(
    cell: Mapping[str, object],
) -> list[dict[str, object]]:
    """Returns one row for each upstream of a cell."""
    upstreams = cell.get("upstreams", [])
    if not isinstance(upstreams, list):
        return []
    cell_id = {"pool": cell["pool"], "zone": cell["zone"]}
    # The owner of an upstream is set only if it is not the cell's owner.
    return [
        {**upstream, **cell_id, "owner": upstream.get("owner") or cell["owner"]}
        for upstream in upstreams
    ]


def _list_decision_rows(
    response: daemons.DaemonResponse,
) -> list[dict[str, object]]:
    """Returns one row for each decision that a gateway reports."""
    return [
        {
            **decision,
            "at": output.format_time(float(decision.get("at_unix_s", 0.0))),
            "hop": response.instance.id,
            "code": _format_code(decision.get("code", 0)),
        }
        for decision in response.value.get("decisions", [])
    ]


def _format_code(number: int) -> str:
    try:
        return f"{number} {result_codes.ResultCode(number).name}"
    except ValueError:
        return str(number or "")
