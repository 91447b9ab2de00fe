"""Settings of the platform clients."""

import dataclasses
from typing import Annotated

import msgspec

MAX_ANSWER_BYTES = 8 << 20


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Address, credentials, timeout and limits of calls to the platform.

    Attributes:
        address: `IP:PORT` of the platform.
        token: Bearer token for the platform, empty for none.
        zone: Availability zone of this instance.
        timeout_s: Maximum time to wait for a response, in addition to the
            wait time of a watch, and for each further part of its body.
        max_connections: Maximum number of connections, including watches.
        max_answer_bytes: Maximum size of a response.
    """

    address: Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
    token: str = ""
    zone: str = ""
    timeout_s: Annotated[float, msgspec.Meta(gt=0)] = 2.0
    max_connections: Annotated[int, msgspec.Meta(gt=0)] = 20
    max_answer_bytes: Annotated[int, msgspec.Meta(ge=1024)] = MAX_ANSWER_BYTES
