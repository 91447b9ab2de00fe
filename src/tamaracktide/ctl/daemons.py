"""Client for the HTTP admin endpoints of the daemons."""

import dataclasses
from typing import Any
import urllib.parse

import anyio
import httpcore
import msgspec

from tamaracktide.ctl import settings as ctl_settings
from tamaracktide.object_api import instances as platform_instances

DAEMON_ROLES = ("gateway", "scheduler")
MAX_CONCURRENT_CALLS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonResponse:
    """Response of a daemon to an admin call.

    Attributes:
        instance: Entry of the daemon in the instance list.
        status: HTTP status; 0 if the daemon did not respond.
        value: JSON object of the body; empty if there is none.
        fault: Reason for a missing response or a status other than 200.
    """

    instance: platform_instances.Instance
    status: int
    value: dict[str, Any]
    fault: str = ""

    @property
    def revision(self) -> int:
        """Revision of the tables in force on the daemon; 0 if unknown."""
        revision = self.value.get("revision", 0)
        return revision if isinstance(revision, int) else 0


async def query_daemons(
    settings: ctl_settings.CtlSettings,
    instances: tuple[platform_instances.Instance, ...],
    path: str,
    roles: tuple[str, ...] = DAEMON_ROLES,
) -> list[DaemonResponse]:
    """Sends an admin call to every daemon with one of the roles.

    Args:
        settings: Settings with the bearer token and the timeout.
        instances: The instance list.
        path: Path of the admin call.
        roles: Roles of the daemons to query.

    Returns:
        The responses, ordered by instance id.
    """
    responses: list[DaemonResponse] = []
    targets = [instance for instance in instances if instance.role in roles]
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CALLS)
    async with httpcore.AsyncConnectionPool() as pool:

        async def query(instance: platform_instances.Instance) -> None:
            async with limiter:
                responses.append(
                    await _query_daemon(pool, settings, instance, path)
                )

        async with anyio.create_task_group() as group:
            for instance in targets:
                group.start_soon(query, instance)
    return sorted(responses, key=lambda response: response.instance.id)


def make_explain_path(request_id: str) -> str:
    """Returns the path of the admin call for decisions on a request."""
    return f"/admin/explain/{urllib.parse.quote(request_id, safe='')}"


async def _query_daemon(
    pool: httpcore.AsyncConnectionPool,
    settings: ctl_settings.CtlSettings,
    instance: platform_instances.Instance,
    path: str,
) -> DaemonResponse:
    headers = [("Host", instance.address)]
    if settings.admin_token:
        headers.append(("Authorization", f"Bearer {settings.admin_token}"))
    try:
        with anyio.fail_after(settings.call_timeout_s):
            response = await pool.request(
                "GET", f"http://{instance.address}{path}", headers=[*headers]
            )
    except TimeoutError:
        return DaemonResponse(instance, 0, {}, "no response before the timeout")
    except (OSError, httpcore.NetworkError, httpcore.ProtocolError) as error:
        return DaemonResponse(instance, 0, {}, str(error) or repr(error))
    return _parse_response(instance, response)


def _parse_response(
    instance: platform_instances.Instance, response: httpcore.Response
) -> DaemonResponse:
    try:
        value = msgspec.json.decode(response.content, type=dict[str, Any])
    except msgspec.DecodeError:
        value = {}
    fault = "" if response.status == 200 else f"status {response.status}"
    return DaemonResponse(instance, response.status, value, fault)
