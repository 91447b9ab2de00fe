"""Settings of the platform clients."""

import dataclasses
from typing import Annotated

import msgspec


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Address, credentials, timeout and limits of calls to the platform.

    Attributes:
        address: `IP:PORT` of the platform.
        token: Bearer token for the platform, empty for none.
        zone: Availability zone of this instance.
        timeout_s: Maximum time to wait for a response, in addition to the
            wait time of a watch.
        max_connections: Maximum number of connections, including watches.
    """

    address: Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
    token: str = ""
    zone: str = ""
    timeout_s: Annotated[float, msgspec.Meta(gt=0)] = 2.0
    max_connections: Annotated[int, msgspec.Meta(gt=0)] = 20
