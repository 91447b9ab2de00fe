"""Exit statuses and error messages of `tamaracktidectl`."""

from tamaracktide import errors
from tamaracktide import result_codes

UNEXPECTED_STATUS = 1
USAGE_STATUS = 2

MAX_DETAILS = 20

_STATUSES = {
    result_codes.ResultCode.TABLE_INVALID: 3,
    result_codes.ResultCode.EDIT_CONFLICT: 4,
    result_codes.ResultCode.EDIT_UNSURE: 5,
    result_codes.ResultCode.SETTINGS_INVALID: 6,
    result_codes.ResultCode.PLATFORM_UNAVAILABLE: 7,
    result_codes.ResultCode.ROW_UNKNOWN: 8,
    result_codes.ResultCode.NOT_IN_FORCE: 9,
}

_NEXT_STEPS = {
    result_codes.ResultCode.BAD_REQUEST: "see `tamaracktidectl COMMAND --help`",
    result_codes.ResultCode.TABLE_INVALID: "nothing changed; correct the rows",
    result_codes.ResultCode.EDIT_CONFLICT: (
        "nothing changed; check the current row and repeat the edit"
    ),
    result_codes.ResultCode.EDIT_UNSURE: (
        "search `tamaracktidectl history` for the edit id; if it is missing,"
        " repeat the edit"
    ),
    result_codes.ResultCode.SETTINGS_INVALID: (
        "correct the settings file; `tamaracktidectl print_schema` prints its"
        " schema"
    ),
    result_codes.ResultCode.PLATFORM_UNAVAILABLE: (
        "nothing changed; retry when the platform is available; requests are"
        " still served with the tables in force"
    ),
    result_codes.ResultCode.ROW_UNKNOWN: (
        "`get` lists the rows, `history` the revisions, `status` the"
        " instances; gateways keep records of their latest requests only"
    ),
    result_codes.ResultCode.NOT_IN_FORCE: (
        "`tamaracktidectl status` shows the revision of each instance"
    ),
}


def find_exit_status(error: errors.TamaracktideError) -> int:
    """Returns the exit status that corresponds to an error."""
    if error.code is result_codes.ResultCode.BAD_REQUEST:
        return USAGE_STATUS
    return _STATUSES.get(error.code, UNEXPECTED_STATUS)


def describe_error(error: errors.TamaracktideError) -> str:
    """Formats an error: the code, its details and the next step."""
    details = error.detail.split("; ")
    lines = [f"error {error.code.value} {error.code.name}"]
    lines.extend(f"  {detail}" for detail in details[:MAX_DETAILS])
    if len(details) > MAX_DETAILS:
        lines.append(f"  and {len(details) - MAX_DETAILS} more")
    if error.code in _NEXT_STEPS:
        lines.append(f"next: {_NEXT_STEPS[error.code]}")
    return "\n".join(lines)
