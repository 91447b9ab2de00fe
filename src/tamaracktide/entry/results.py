"""How an attempt at an upstream ended."""

import dataclasses
from typing import TypeAlias

from tamaracktide import result_codes
from tamaracktide.upstreams import calls


@dataclasses.dataclass(frozen=True, slots=True)
class Whole:
    """The answer was passed on to its end."""

    code: result_codes.ResultCode


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream surely did not run the request.

    Attributes:
        detail: Why.
        missing: Whether it lacks the adapter or the version.
        unreachable: Whether no connection came about.
    """

    detail: str
    missing: bool = False
    unreachable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The request may have run, but its answer is not to be had.

    Attributes:
        detail: Why.
        silent: Whether the upstream fell silent.
        answer: The upstream's own failure, if that is what it gave.
    """

    detail: str
    silent: bool = False
    answer: calls.Answer | None = None


Result: TypeAlias = Whole | NotRun | Lost


@dataclasses.dataclass(slots=True)
class Progress:
    """What the caller has of an answer.

    Attributes:
        last_id: Id of the last event that was passed on.
        events: Events that this instance passed on.
        upstreams: Upstreams that were sent the request.
    """

    last_id: int | None
    events: int = 0
    upstreams: list[str] = dataclasses.field(default_factory=list)
