"""Settings of the upstream clients."""

import dataclasses
from typing import Annotated

import msgspec

Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSettings:
    """Credentials, timeouts and limits of calls to engines and services.

    Attributes:
        token: Bearer token for upstreams, empty for none.
        zone: Availability zone of this instance.
        connect_timeout_s: Maximum time to open a connection.
        progress_timeout_s: Maximum time without data within a response.
        order_timeout_s: Maximum time without data in response to an order.
        read_timeout_s: Maximum time without data when polling state and load.
        service_timeout_s: Maximum time without data from a plain service.
        max_connections: Maximum number of connections to one upstream.
        max_answer_bytes: Maximum size of a response that is read completely.
        max_pending_bytes: Maximum number of bytes in a response that wait for
            the end of the headers, of an event, or of chunk extensions or
            trailers. Each header counts for 144 bytes more.
        max_total_answer_bytes: Maximum size of all responses that are being
            read completely, together; beyond it, those that are larger than
            `max_pending_bytes` are given up.
    """

    token: str = dataclasses.field(default="", repr=False)
    zone: str = ""
    connect_timeout_s: Seconds = 1.0
    progress_timeout_s: Seconds = 5.0
    order_timeout_s: Seconds = 8.0
    read_timeout_s: Seconds = 2.0
    service_timeout_s: Seconds = 10.0
    max_connections: Annotated[int, msgspec.Meta(ge=1)] = 1000
    max_answer_bytes: Annotated[int, msgspec.Meta(ge=1)] = 8_000_000
    max_pending_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 1 << 20
    max_total_answer_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 64 << 20
