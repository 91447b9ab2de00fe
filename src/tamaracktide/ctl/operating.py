"""Commands on the running system: status, drains, explanations, waiting."""

import time

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.ctl import daemons
from tamaracktide.ctl import drains
from tamaracktide.ctl import output
from tamaracktide.ctl import session as ctl_session
from tamaracktide.platform import instances as platform_instances

STATUS_PATH = "/admin/status"
WAIT_POLL_S = 0.25
INSTANCE_COLUMNS = (
    "instance",
    "role",
    "zone",
    "state",
    "revision",
    "draining",
    "fault",
)
DECISION_COLUMNS = ("at", "gateway", "step", "detail", "upstream", "code")
CELL_COLUMNS = (
    "pool",
    "zone",
    "owner",
    "running",
    "capacity",
    "waiting",
    "upstreams",
)


async def show_status(
    session: ctl_session.Session, printer: output.Printer
) -> None:
    """Prints every instance, with what each daemon says of itself."""
    instances = await session.instances.list()
    drained = await drains.list_drained(session.objects)
    answers = await daemons.ask_daemons(
        session.settings, instances, STATUS_PATH
    )
    by_id = {answer.instance.id: answer for answer in answers}
    listed = [
        _make_instance_row(instance, by_id.get(instance.id), drained)
        for instance in sorted(instances, key=lambda i: (i.role, i.id))
    ]
    cells = [row for answer in answers for row in _list_cell_rows(answer)]
    printer.print_sections(
        [
            output.Section("instances", INSTANCE_COLUMNS, listed),
            output.Section("cells", CELL_COLUMNS, cells),
        ]
    )


async def drain_instance(
    session: ctl_session.Session, printer: output.Printer, instance: str
) -> None:
    """Keeps new work from an upstream or instance."""
    listed = {item.id for item in await session.instances.list()}
    if instance not in listed:
        raise errors.EditError(
            result_codes.ResultCode.ROW_UNKNOWN,
            f'the instance list has no "{instance}"',
        )
    drain = drains.Drain(session.settings.author, time.time())
    changed = await drains.start_drain(session.objects, instance, drain)
    line = f"{instance} is draining" if changed else f"{instance} was draining"
    printer.print_value({"instance": instance, "changed": changed}, line)


async def undrain_instance(
    session: ctl_session.Session, printer: output.Printer, instance: str
) -> None:
    """Gives an upstream or instance new work again."""
    await drains.stop_drain(session.objects, instance)
    printer.print_value(
        {"instance": instance, "changed": True}, f"{instance} takes work"
    )


async def explain_request(
    session: ctl_session.Session, printer: output.Printer, request_id: str
) -> None:
    """Prints what each gateway decided about a request, and why."""
    answers = await daemons.ask_daemons(
        session.settings,
        await session.instances.list(),
        daemons.make_explain_path(request_id),
        roles=("gateway",),
    )
    found = [answer for answer in answers if answer.status == 200]
    if not found:
        silent = [a.instance.id for a in answers if a.status == 0]
        unreached = f"; no answer from {', '.join(silent)}" if silent else ""
        raise errors.EditError(
            result_codes.ResultCode.ROW_UNKNOWN,
            f'no gateway remembers request "{request_id}"{unreached}',
        )
    printer.print_rows(
        f"request {request_id}",
        DECISION_COLUMNS,
        [row for answer in found for row in _list_decision_rows(answer)],
    )


async def wait_until_in_force(
    session: ctl_session.Session,
    printer: output.Printer,
    revision: int,
    timeout_s: float,
) -> None:
    """Waits until every live daemon has a revision in force.

    Raises:
        errors.EditError: NOT_IN_FORCE; the detail names who lags.
    """
    if not revision:
        revision = (await session.editor.read_tables()).revision
    lagging: list[str] = ["no instance was asked yet"]
    with anyio.move_on_after(timeout_s):
        while lagging:
            lagging = await _list_lagging(session, revision)
            if lagging:
                await anyio.sleep(WAIT_POLL_S)
    if lagging:
        raise errors.EditError(
            result_codes.ResultCode.NOT_IN_FORCE,
            f"revision {revision} after {timeout_s:g} s: {', '.join(lagging)}",
        )
    printer.print_value(
        {"revision": revision}, f"revision {revision} is in force everywhere"
    )


async def _list_lagging(
    session: ctl_session.Session, revision: int
) -> list[str]:
    try:
        instances = await session.instances.list()
    except errors.PlatformUnavailableError as error:
        return [error.detail]
    live = tuple(item for item in instances if item.state == "live")
    answers = await daemons.ask_daemons(session.settings, live, STATUS_PATH)
    if not answers:
        return ["no live gateway or scheduler is listed"]
    return [
        f"{answer.instance.id} ({answer.fault or answer.revision})"
        for answer in answers
        if answer.revision < revision
    ]


def _make_instance_row(
    instance: platform_instances.Instance,
    answer: daemons.DaemonAnswer | None,
    drained: set[str],
) -> dict[str, object]:
    value = answer.value if answer else {}
    return {
        "instance": instance.id,
        "role": instance.role,
        "zone": instance.zone,
        "state": "drained" if instance.id in drained else instance.state,
        "revision": value.get("revision"),
        "draining": value.get("draining"),
        "fault": answer.fault if answer else "",
    }


def _list_cell_rows(answer: daemons.DaemonAnswer) -> list[dict[str, object]]:
    """Returns the cells that a scheduler owns, one row each."""
    cells = answer.value.get("cells", [])
    return [
        {**cell, "owner": answer.instance.id}
        for cell in cells
        if isinstance(cell, dict)
    ]


def _list_decision_rows(
    answer: daemons.DaemonAnswer,
) -> list[dict[str, object]]:
    """Returns a gateway's decisions about a request, one row each."""
    rows = []
    for decision in answer.value.get("decisions", []):
        at_unix_s = float(decision.get("at_unix_s", 0.0))
        at = output.show_time(at_unix_s)
        gateway = answer.instance.id
        rows.append({"at": at, "gateway": gateway, **decision})
    return rows
