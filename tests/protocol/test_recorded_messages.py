"""Tests that messages of landed builds keep their meaning.

Load pattern: instances of two builds side by side during an upgrade.
"""

import json
import os
import pathlib
import subprocess
import sys
from typing import Any

import cbor2
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

import builds
import recorded_messages
from tamaracktide.protocol import codec

SHORT_NAME = 7
"""Letters of a commit's name that name its recording."""

RECORDED = sorted((pathlib.Path(__file__).parent / "recorded").glob("*.json"))


def load(path: pathlib.Path) -> dict[str, dict[str, Any]]:
    """Returns the recorded messages of one build by type."""
    loaded: dict[str, dict[str, Any]] = json.loads(path.read_text("utf-8"))
    return loaded


def is_contained(recorded: object, decoded: object) -> bool:
    """Whether all recorded fields have their values; there may be more."""
    if isinstance(recorded, dict) and isinstance(decoded, dict):
        return all(
            name in decoded and is_contained(value, decoded[name])
            for name, value in recorded.items()
        )
    return recorded == decoded


@pytest.mark.parametrize("path", RECORDED, ids=lambda path: path.stem)
def test_messages_of_landed_builds_keep_their_meaning(
    path: pathlib.Path,
) -> None:
    """Each is decoded to the same values; others have their defaults."""
    for name, recorded in load(path).items():
        message = codec.decode_message(bytes.fromhex(recorded["bytes"]))
        assert type(message).__name__ == name
        assert is_contained(
            recorded["fields"], recorded_messages.describe(message)
        )


def test_messages_of_the_build_in_production_are_recorded() -> None:
    """Guards against recordings that grow old while production moves on."""
    stems = {path.stem for path in RECORDED}
    assert builds.read_production()[:SHORT_NAME] in stems


def test_build_in_production_decodes_all_messages(
    tmp_path: pathlib.Path,
) -> None:
    """It runs beside this one during an upgrade."""
    tree = builds.extract(builds.read_production(), tmp_path / "production")
    path = tmp_path / "messages.json"
    recorded_messages.Commands().record(str(path))
    checked = subprocess.run(
        [sys.executable, recorded_messages.__file__, "check", str(path)],
        env={**os.environ, "PYTHONPATH": str(tree / "src")},
        capture_output=True,
        check=True,
    )
    results = [line.split() for line in checked.stdout.decode().splitlines()]
    kinds = {kind.__name__ for kind in recorded_messages.list_kinds()}
    assert {name for name, _ in results} == kinds
    assert {result for _, result in results} <= {"decoded", "skipped"}


def test_recording_of_a_build_is_that_of_all_its_messages() -> None:
    """The sample of each type is decoded to itself."""
    for kind in recorded_messages.list_kinds():
        sample = recorded_messages.make_sample(kind)
        assert codec.decode_message(codec.encode_message(sample)) == sample


@given(
    strategies.sampled_from(recorded_messages.list_kinds()),
    strategies.dictionaries(
        strategies.text(min_size=1).map(lambda name: f"later_{name}"),
        strategies.recursive(
            strategies.none() | strategies.booleans() | strategies.text(),
            lambda children: (
                strategies.lists(children, max_size=3)
                | strategies.dictionaries(
                    strategies.text(), children, max_size=3
                )
            ),
            max_leaves=5,
        ),
        max_size=4,
    ),
)
@settings(derandomize=True, deadline=None)
def test_fields_of_later_builds_are_ignored(
    kind: type, later: dict[str, object]
) -> None:
    """Whatever a later build adds to a message, the rest is decoded."""
    sample = recorded_messages.make_sample(kind)
    number, fields = cbor2.loads(codec.encode_message(sample))
    data = cbor2.dumps([number, {**fields, **later}])
    assert codec.decode_message(data) == sample
