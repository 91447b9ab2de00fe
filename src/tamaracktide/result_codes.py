"""Numbered result codes and their presentation to clients.

The thousands digit groups the codes: 1 success, 2 refused and certainly not
run, 3 outcome unknown, 4 operators' edits, 5 inner protocol, 6 settings.
docs/RESULT_CODES.md has the same table; a test compares the two.
"""

import dataclasses
import enum


class Execution(enum.StrEnum):
    """Whether a request ran on an upstream, as far as is known."""

    RAN = "ran"
    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"


class ResultCode(enum.IntEnum):
    """Result code; its number and name are stable across releases."""

    OK = 1000

    BAD_REQUEST = 2000
    UNAUTHENTICATED = 2001
    ROUTE_UNKNOWN = 2002
    ROUTE_FORBIDDEN = 2003
    REQUEST_TOO_LARGE = 2004
    METHOD_NOT_ALLOWED = 2005
    CUSTOMER_OVER_SHARE = 2100
    QUEUE_FULL = 2101
    DEADLINE_UNREACHABLE = 2102
    NO_UPSTREAM = 2103
    OWNER_UNREACHABLE = 2104
    DRAINING = 2105
    QUARANTINED = 2106
    LOAD_FAILED = 2107
    CLAIM_UNAVAILABLE = 2108
    KEY_REUSED = 2109
    CLAIM_IN_PROGRESS = 2110
    TABLES_NOT_LOADED = 2111
    RETRIES_EXHAUSTED = 2112
    UPSTREAM_REFUSED = 2113
    SOFTWARE_UNKNOWN = 2114
    USAGE_CAP_REACHED = 2115
    STREAM_SERVICE_UNKNOWN = 2116

    OUTCOME_UNKNOWN = 3000
    UPSTREAM_LOST = 3001
    STREAM_BROKEN = 3002
    PROGRESS_TIMEOUT = 3003
    CALLER_LEFT = 3004

    EDIT_CONFLICT = 4000
    TABLE_INVALID = 4001
    EDIT_UNSURE = 4002
    PLATFORM_UNAVAILABLE = 4003
    ROW_UNKNOWN = 4004
    NOT_IN_FORCE = 4005

    VERSION_MISMATCH = 5000
    MALFORMED_MESSAGE = 5001
    MESSAGE_TOO_LARGE = 5002
    NOT_OWNER = 5003
    STALE_EPOCH = 5004
    PEER_UNREACHABLE = 5005

    SETTINGS_INVALID = 6000


@dataclasses.dataclass(frozen=True, slots=True)
class Meaning:
    """Presentation of a result code to a client.

    Attributes:
        http_status: HTTP status code of the response.
        execution: Whether the request ran.
        retryable: Whether the response has a Retry-After header.
        text: Description in one sentence.
    """

    http_status: int
    execution: Execution
    retryable: bool
    text: str


_NOT_RUN = Execution.NOT_RUN
_UNKNOWN = Execution.UNKNOWN

MEANINGS: dict[ResultCode, Meaning] = {
    ResultCode.OK: Meaning(200, Execution.RAN, False, "The request ran."),
    ResultCode.BAD_REQUEST: Meaning(
        400, _NOT_RUN, False, "The request is malformed."
    ),
    ResultCode.UNAUTHENTICATED: Meaning(
        401, _NOT_RUN, False, "The API key is missing or not valid."
    ),
    ResultCode.ROUTE_UNKNOWN: Meaning(
        404, _NOT_RUN, False, "No route has this name."
    ),
    ResultCode.ROUTE_FORBIDDEN: Meaning(
        403, _NOT_RUN, False, "The route belongs to another customer."
    ),
    ResultCode.REQUEST_TOO_LARGE: Meaning(
        413, _NOT_RUN, False, "The request exceeds a size limit."
    ),
    ResultCode.METHOD_NOT_ALLOWED: Meaning(
        405, _NOT_RUN, False, "The path does not accept this method."
    ),
    ResultCode.CUSTOMER_OVER_SHARE: Meaning(
        429, _NOT_RUN, True, "The customer's queue exceeds its share."
    ),
    ResultCode.QUEUE_FULL: Meaning(503, _NOT_RUN, True, "The queue is full."),
    ResultCode.DEADLINE_UNREACHABLE: Meaning(
        503, _NOT_RUN, True, "The request cannot finish by its deadline."
    ),
    ResultCode.NO_UPSTREAM: Meaning(
        503, _NOT_RUN, True, "The pool has no usable upstream."
    ),
    ResultCode.OWNER_UNREACHABLE: Meaning(
        503,
        _NOT_RUN,
        True,
        "No scheduler that may admit the request is reachable.",
    ),
    ResultCode.DRAINING: Meaning(
        503, _NOT_RUN, True, "The instance is shutting down."
    ),
    ResultCode.QUARANTINED: Meaning(
        422, _NOT_RUN, True, "The request crashed upstreams and is quarantined."
    ),
    ResultCode.LOAD_FAILED: Meaning(
        503, _NOT_RUN, True, "The adapter could not be loaded."
    ),
    ResultCode.CLAIM_UNAVAILABLE: Meaning(
        503, _NOT_RUN, True, "The idempotency key cannot be claimed now."
    ),
    ResultCode.KEY_REUSED: Meaning(
        409, _NOT_RUN, False, "The idempotency key belongs to another request."
    ),
    ResultCode.CLAIM_IN_PROGRESS: Meaning(
        409, _NOT_RUN, True, "A request with this key is still running."
    ),
    ResultCode.TABLES_NOT_LOADED: Meaning(
        503, _NOT_RUN, True, "The instance has not read the tables yet."
    ),
    ResultCode.RETRIES_EXHAUSTED: Meaning(
        503, _NOT_RUN, True, "Every attempt was refused before it ran."
    ),
    ResultCode.UPSTREAM_REFUSED: Meaning(
        502, _NOT_RUN, True, "The upstream refused the request unrun."
    ),
    ResultCode.SOFTWARE_UNKNOWN: Meaning(
        503,
        _NOT_RUN,
        True,
        "The upstream version that began the stream is not known.",
    ),
    ResultCode.USAGE_CAP_REACHED: Meaning(
        429, _NOT_RUN, True, "The workspace has reached its usage cap."
    ),
    ResultCode.STREAM_SERVICE_UNKNOWN: Meaning(
        503,
        _NOT_RUN,
        True,
        "The service that began the stream is not known or not in the route.",
    ),
    ResultCode.OUTCOME_UNKNOWN: Meaning(
        504, _UNKNOWN, False, "A request with this key may have run."
    ),
    ResultCode.UPSTREAM_LOST: Meaning(
        502, _UNKNOWN, True, "The upstream was lost while the request ran."
    ),
    ResultCode.STREAM_BROKEN: Meaning(
        502, _UNKNOWN, True, "The answer broke off and could not be resumed."
    ),
    ResultCode.PROGRESS_TIMEOUT: Meaning(
        504, _UNKNOWN, True, "The upstream made no progress in time."
    ),
    ResultCode.CALLER_LEFT: Meaning(
        499, _UNKNOWN, False, "The caller left before the answer was whole."
    ),
    ResultCode.EDIT_CONFLICT: Meaning(
        409, _NOT_RUN, False, "Another edit changed the same row first."
    ),
    ResultCode.TABLE_INVALID: Meaning(
        422, _NOT_RUN, False, "The edit would make a table invalid."
    ),
    ResultCode.EDIT_UNSURE: Meaning(
        504, _UNKNOWN, True, "The edit's write has no certain outcome yet."
    ),
    ResultCode.PLATFORM_UNAVAILABLE: Meaning(
        503, _NOT_RUN, True, "The platform does not answer."
    ),
    ResultCode.ROW_UNKNOWN: Meaning(
        404, _NOT_RUN, False, "No row has this name."
    ),
    ResultCode.NOT_IN_FORCE: Meaning(
        504, _NOT_RUN, True, "The revision is not yet in force everywhere."
    ),
    ResultCode.VERSION_MISMATCH: Meaning(
        400, _NOT_RUN, False, "The peers share no protocol version."
    ),
    ResultCode.MALFORMED_MESSAGE: Meaning(
        400, _NOT_RUN, False, "The message cannot be decoded."
    ),
    ResultCode.MESSAGE_TOO_LARGE: Meaning(
        413, _NOT_RUN, False, "The message exceeds the size limit."
    ),
    ResultCode.NOT_OWNER: Meaning(
        503, _NOT_RUN, True, "The scheduler does not own the cell."
    ),
    ResultCode.STALE_EPOCH: Meaning(
        409, _NOT_RUN, True, "A newer epoch has been seen."
    ),
    ResultCode.PEER_UNREACHABLE: Meaning(
        503, _NOT_RUN, True, "The peer does not answer."
    ),
    ResultCode.SETTINGS_INVALID: Meaning(
        500, _NOT_RUN, False, "The settings file is not valid."
    ),
}
