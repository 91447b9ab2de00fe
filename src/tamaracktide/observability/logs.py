"""Structured logs: one JSON object per line, with credentials redacted.

A line has `time`, `level`, `message`, `role`, `instance` and the bound fields:
`logs.bind(request_id=...).info("request completed")`.
"""

import logging
import re
import sys
import types
from typing import TextIO
from typing import TYPE_CHECKING

from loguru import logger
import msgspec

from tamaracktide.observability import settings as observability_settings

if TYPE_CHECKING:
    import loguru

REDACTED = "[redacted]"
LIBRARY_LOGGERS = ("uvicorn", "uvicorn.error", "uvicorn.access")
SECRET_FIELDS = frozenset(
    {"api_key", "authorization", "credential", "password", "secret", "token"}
)
_SECRET_TEXT = re.compile(
    r"(?i)(?<=bearer )[^\s\"',]+|(?<=\.)[0-9a-f]{32}(?![0-9a-f])"
)


def redact_text(text: str) -> str:
    """Redacts bearer tokens and the MACs of API keys in a text."""
    return _SECRET_TEXT.sub(REDACTED, text)


def redact_fields(fields: dict[str, object]) -> dict[str, object]:
    """Redacts credentials in log fields, including nested ones."""
    return {name: _redact(name, value) for name, value in fields.items()}


def configure_logs(
    settings: observability_settings.ObservabilitySettings,
    role: str,
    instance: str,
    stream: TextIO = sys.stderr,
) -> None:
    """Configures the output of all logs, including those of libraries.

    Args:
        settings: Log level and path.
        role: Program name without its prefix, such as `gateway`.
        instance: Instance id.
        stream: Output stream if the settings have no path.
    """
    logger.remove()
    logger.configure(extra={"role": role, "instance": instance})
    logger.add(
        settings.log_path or stream,
        level=settings.log_level,
        format=_format_line,
        backtrace=False,
        diagnose=False,
    )
    logging.basicConfig(
        handlers=[_LibraryHandler()], level=logging.WARNING, force=True
    )
    for name in LIBRARY_LOGGERS:
        # uvicorn's default configuration installs its own handlers and does
        # not propagate records to the root logger.
        library = logging.getLogger(name)
        library.handlers.clear()
        library.propagate = True


def bind(**fields: object) -> "loguru.Logger":
    """Returns a logger that adds the fields to each line."""
    return logger.bind(**fields)


CUT_RESPONSE = "ASGI callable returned without completing response."
"""What uvicorn logs as an error where a response is broken off on purpose, so
that its client does not take a part for all of it."""


class _LibraryHandler(logging.Handler):
    """Forwards records of the standard `logging` module to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs a record at its level."""
        message = record.getMessage()
        level = "INFO" if message == CUT_RESPONSE else record.levelname
        logger.bind(library=record.name).opt(exception=record.exc_info).log(
            level, "{}", message
        )


def _redact(name: str, value: object) -> object:
    if name.lower() in SECRET_FIELDS:
        return REDACTED
    match value:
        case str():
            return redact_text(value)
        case dict():
            return redact_fields(value)
        case list() | tuple():
            return [_redact("", item) for item in value]
        case _:
            return value


def _format_line(record: "loguru.Record") -> str:
    line = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "message": redact_text(record["message"]),
        **redact_fields(record["extra"]),
    }
    exception = record["exception"]
    if exception is not None and exception.value is not None:
        line["error"] = redact_text(repr(exception.value))
        line["at"] = _list_frames(exception.traceback)
    text = msgspec.json.encode(line, enc_hook=str).decode()
    record["extra"]["_line"] = text
    return "{extra[_line]}\n"


def _list_frames(traceback: types.TracebackType | None) -> list[str]:
    frames = []
    while traceback is not None:
        code = traceback.tb_frame.f_code
        frames.append(f"{code.co_qualname}:{traceback.tb_lineno}")
        traceback = traceback.tb_next
    return frames
