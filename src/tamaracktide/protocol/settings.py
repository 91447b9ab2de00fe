"""Settings of the inner protocol."""

import dataclasses
from typing import Annotated

import msgspec

Seconds = Annotated[float, msgspec.Meta(gt=0, le=300)]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InnerSettings:
    """Address, credentials, limits and timeouts of the inner protocol.

    Attributes:
        host: IP address to listen on.
        port: Port to listen on; 0 lets the system choose one.
        token: Secret that all processes of the deployment share.
        max_message_bytes: Maximum size of a message sent or accepted.
        heartbeat_period_s: Time between two heartbeats.
        heartbeat_timeout_s: Time without received bytes after which a peer is
            considered lost.
        handshake_timeout_s: Maximum time to open a connection.
    """

    host: str = "127.0.0.1"
    port: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    token: str = dataclasses.field(default="", repr=False)
    max_message_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 1 << 21
    heartbeat_period_s: Seconds = 1.0
    heartbeat_timeout_s: Seconds = 2.5
    handshake_timeout_s: Seconds = 2.0
