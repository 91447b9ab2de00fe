"""Settings of logs and traces, a part of each program's settings."""

import dataclasses
from typing import Annotated
from typing import Literal

import msgspec

LogLevel = Literal["DEBUG", "INFO", "WARNING", "ERROR"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObservabilitySettings:
    """Where logs and traces go.

    Attributes:
        log_level: Lowest level that is written.
        log_path: File that log lines are appended to; empty is stderr.
        trace_path: File that spans are appended to; empty keeps none.
        trace_ratio: Share of new traces that are kept.
    """

    log_level: LogLevel = "INFO"
    log_path: str = ""
    trace_path: str = ""
    trace_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 1.0
