"""Tests of decoding the objects that operators and servers write."""

import json
from typing import Any

import fleet_cluster
import pytest

from fleet import documents
from tamaracktide import errors
from tamaracktide.core import routing_document


def _encode(value: object) -> bytes:
    return json.dumps(value).encode()


def _make_entry(**changes: object) -> dict[str, Any]:
    entry: dict[str, Any] = {
        "Service": "llm",
        "Address": "10.0.0.1:80",
        "Zone": "z1",
        "Version": "v1.2",
        "Slots": 64,
        "State": "ready",
        "Sequence": 7,
        "born": 1782045623045,
        "Models": [{"Name": "m", "Version": 1, "Adapters": ["a1@3", "a2@1"]}],
        "AtHand": {"InMemory": [], "OnDisk": ["m"]},
    }
    entry.update(changes)
    return entry


def test_document_is_decoded_into_core_types() -> None:
    """Durations become seconds; kinds and shares become core types."""
    document = documents.decode_document(
        _encode(fleet_cluster.make_document(9))
    )
    assert document.version == 9
    route = document.routes[0]
    assert route.kind is routing_document.RequestKind.STREAMING
    assert route.timeout_s == 5.0
    assert route.shares == (routing_document.Share(service="llm"),)
    engine = document.services["llm"].engine
    assert engine is not None
    assert (engine.batch_limit, engine.adapter_slots) == (8, 3)
    assert document.services["plain"].engine is None


def test_unknown_fields_are_ignored() -> None:
    """Later platform versions may add fields."""
    value = {**fleet_cluster.make_document(), "News": 1}
    assert documents.decode_document(_encode(value)).version == 1


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"Version": "x"}, "Version"),
        ({"Services": []}, "llm"),
        ({"Routes": [{"Name": "r"}]}, "Host"),
    ],
)
def test_error_names_the_malformed_field(
    changes: dict[str, object], expected: str
) -> None:
    """The error message contains the field or the value."""
    value = fleet_cluster.make_document()
    value.update(changes)
    with pytest.raises(errors.PlatformError, match=expected):
        documents.decode_document(_encode(value))


def test_server_is_decoded_with_its_adapters() -> None:
    """Adapter references are split into names and versions."""
    entry = documents.decode_upstream("i-1", _encode(_make_entry()))
    assert entry.models == {"m": {"a1": 3, "a2": 1}}
    assert entry.started_ms == 1782045623045
    assert entry.software == "v1.2"
    assert not entry.leaving
    leaving = _encode(_make_entry(State="draining"))
    entry = documents.decode_upstream("i", leaving)
    assert entry.leaving


@pytest.mark.parametrize(
    "changes",
    [
        {"State": "ghost"},
        {"Slots": "many"},
        {"Version": 1.2},
        {"Address": "nowhere"},
        {"Models": [{"Name": "m", "Adapters": ["a@b"]}]},
        {"born": 1.5},
    ],
)
def test_malformed_server_entry_is_rejected(changes: dict[str, object]) -> None:
    """The entry, e.g. of another writer, is rejected; the error names it."""
    with pytest.raises(errors.PlatformError, match="i-1"):
        documents.decode_upstream("i-1", _encode(_make_entry(**changes)))


def test_invalid_json_is_rejected() -> None:
    """Bytes that are not JSON raise the same error."""
    with pytest.raises(errors.PlatformError):
        documents.decode_upstream("i-1", b"\xff\xfe{")


def test_report_lists_loading_adapters() -> None:
    """Adapters in flight are separated from loaded ones."""
    report = documents.decode_report(
        _encode(
            {
                "Sequence": 4,
                "Busy": False,
                "born": 5,
                "Models": [{"Name": "m", "Adapters": ["a1@1"]}],
                "Coming": ["m/a2@7"],
            }
        )
    )
    assert report.orders == 4
    assert report.coming == {"m": {"a2": 7}}
