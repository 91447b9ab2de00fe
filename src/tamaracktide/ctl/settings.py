"""Settings of `tamaracktidectl`."""

import dataclasses
from typing import Annotated

import msgspec

from tamaracktide.object_api import instances as platform_instances
from tamaracktide.object_api import settings as platform_settings
from tamaracktide.tables import settings as tables_settings


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CtlSettings:
    """Settings of `tamaracktidectl`.

    Attributes:
        platform: Connection to the platform.
        author: Author of edits and drains, recorded in the history.
        secret_path: File with the secret that API keys are derived from;
            required by `key`.
        admin_token: Bearer token for the admin endpoints of the daemons.
        call_timeout_s: Timeout of an admin call to a daemon.
        editor: Settings of edit commits.
        instances: Daemons that are queried while the instance list of the
            platform cannot be read.
    """

    platform: platform_settings.PlatformSettings
    author: str = "operator"
    secret_path: str = ""
    admin_token: str = ""
    call_timeout_s: Annotated[float, msgspec.Meta(gt=0, le=60)] = 2.0
    editor: tables_settings.EditorSettings = dataclasses.field(
        default_factory=tables_settings.EditorSettings
    )
    instances: tuple[platform_instances.Instance, ...] = ()
