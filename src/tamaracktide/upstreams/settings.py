"""Settings of the clients of upstreams."""

import dataclasses
from typing import Annotated

import msgspec

Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSettings:
    """How engines and services are called.

    Attributes:
        token: Bearer token for upstreams, empty for none.
        zone: Availability zone of the caller.
        connect_timeout_s: Longest wait for a connection.
        progress_timeout_s: Longest silence within an answer.
        order_timeout_s: Longest wait for the answer to an order.
        read_timeout_s: Longest wait for state and load reports.
        service_timeout_s: Longest silence of a plain service.
        max_connections: Connections to one upstream.
        max_answer_bytes: Largest answer that is read as a whole.
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
