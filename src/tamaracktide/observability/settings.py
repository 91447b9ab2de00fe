"""Settings of logs and traces, included in the settings of programs."""

import dataclasses
from typing import Annotated
from typing import Literal

import msgspec

LogLevel = Literal["DEBUG", "INFO", "WARNING", "ERROR"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObservabilitySettings:
    """Output of logs and traces.

    Attributes:
        log_level: Minimum level of log lines.
        log_path: File to which log lines are appended; empty for stderr.
        trace_path: File to which spans are appended; empty to record none.
        trace_ratio: Fraction of new traces that are sampled.
    """

    log_level: LogLevel = "INFO"
    log_path: str = ""
    trace_path: str = ""
    trace_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 1.0
