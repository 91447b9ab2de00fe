"""What is sent to an engine and what becomes of it."""

import dataclasses
import enum

from tamaracktide.upstreams import calls
from tamaracktide.upstreams import streams


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """A request as it is sent to an engine.

    Attributes:
        address: `host:port` of the engine.
        path: `/v1/completions` or `/v1/chat/completions`.
        request_id: Names the stream for resumption and cancelling.
        incarnation: The only engine incarnation that may run it.
        body: JSON with the engine-side `model`.
        traceparent: W3C trace context, empty for none.
    """

    address: str
    path: str
    request_id: str
    incarnation: str
    body: bytes
    traceparent: str = ""


class NotRunReason(enum.Enum):
    """Why an engine certainly did not run a request."""

    ADAPTER_MISSING = "adapter missing"
    OTHER_INCARNATION = "other incarnation"
    BUSY = "busy"
    UNREACHABLE = "unreachable"


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly did not run."""

    reason: NotRunReason
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The engine found the request itself at fault."""

    answer: calls.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """No whole answer came; the request may have run."""

    failure: calls.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The answer is arriving; close it after use."""

    answer: streams.StreamedAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class StreamUnknown:
    """The engine does not know the stream that was to be resumed."""


Completion = calls.Answer | NotRun | Rejected | Lost
Stream = Started | NotRun | Rejected | Lost
Resumption = Started | StreamUnknown | calls.Failure
