"""Formats of the records of streams and software versions in the store."""

import contextlib
import dataclasses
from typing import TypeVar

import msgspec

from tamaracktide.core import route_history
from tamaracktide.core import version_statements
from tamaracktide.observability import logs

_Ids = dict[str, tuple[str, ...]]
"""Ids of the requests that began streams, by software version or service."""

_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceStreams:
    """The record of an instance.

    Attributes:
        streams: Ids of its unfinished streams by software version.
        services: Ids by service, of the streams whose service must be known.
        statement: Versions that it may have begun streams at; None in records
            of builds that state none.
    """

    streams: _Ids
    services: _Ids
    statement: version_statements.Statement | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Versions:
    """The software versions of all services.

    Attributes:
        services: Versions by service.
        is_complete: Whether they are all that may have begun a stream.
        era: Era of the store in which they were recorded.
        tables: Shares of the resumable routes in recent tables, oldest first;
            none if all streams are of one service.
    """

    services: dict[str, tuple[str, ...]]
    is_complete: bool
    era: int = 0
    tables: tuple[route_history.SharesByHost, ...] = ()


def decode_streams(key: str, value: bytes) -> InstanceStreams:
    """Decodes the record of an instance; empty if it cannot be decoded.

    Earlier builds wrote the streams alone where no service must be known.
    """
    with contextlib.suppress(msgspec.DecodeError):
        return msgspec.json.decode(value, type=InstanceStreams)
    return InstanceStreams(decode(key, value, _Ids) or {}, {})


def decode(key: str, value: bytes, kind: type[_T]) -> _T | None:
    """Decodes a record; None if there is none or it cannot be decoded."""
    if not value:
        return None
    try:
        return msgspec.json.decode(value, type=kind)
    except msgspec.DecodeError as error:
        logs.bind(key=key).error("record cannot be decoded: {}", error)
        return None
