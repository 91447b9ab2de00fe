"""Tests of settings files, settings flags and API keys."""

import dataclasses
import json
import pathlib
from typing import Annotated

import msgspec
import pytest

from tamaracktide import errors
from tamaracktide.settings import api_keys
from tamaracktide.settings import files
from tamaracktide.settings import flags


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Inner:
    """Nested settings."""

    size: Annotated[int, msgspec.Meta(ge=1)] = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """Sample settings."""

    name: str
    parts: tuple[Inner, ...] = ()


def test_all_faults_are_reported_by_path() -> None:
    """Unknown, missing and out-of-range fields are reported together."""
    text = json.dumps({"nam": "x", "parts": [{"size": 0}, {"sise": 1}]})
    with pytest.raises(errors.SettingsError) as caught:
        files.parse_settings(text, Sample)
    assert caught.value.detail.split("; ") == [
        "$.nam: is not a known field",
        "$.name: is a required field",
        "$.parts[0].size: 0 is less than the minimum of 1",
        "$.parts[1].sise: is not a known field",
    ]


def test_text_that_is_not_json_is_a_settings_error() -> None:
    """The error contains the position of the syntax error."""
    with pytest.raises(errors.SettingsError, match="line 1"):
        files.parse_settings("{", Sample)


def test_flags_check_print_and_read(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Settings flags exit; without a flag the settings are returned."""
    path = tmp_path / "settings.json"
    path.write_text('{"name": "x"}', encoding="utf-8")
    assert flags.run_settings_flags(Sample, str(path)) == Sample(name="x")
    with pytest.raises(SystemExit) as checked:
        flags.run_settings_flags(Sample, str(path), check_settings=True)
    assert checked.value.code == 0
    capsys.readouterr()
    with pytest.raises(SystemExit):
        flags.run_settings_flags(Sample, print_schema=True)
    assert "$defs" in json.loads(capsys.readouterr().out)
    with pytest.raises(SystemExit) as missing:
        flags.run_settings_flags(Sample, str(tmp_path / "none.json"))
    assert missing.value.code == flags.SETTINGS_EXIT_STATUS
    assert "6000 SETTINGS_INVALID" in capsys.readouterr().err


def test_api_key_is_valid_only_with_its_secret() -> None:
    """Keys with another secret or customer or malformed ones are invalid."""
    key = api_keys.make_api_key("mill.north", "secret")
    assert api_keys.verify_api_key(key, "secret") == "mill.north"
    assert api_keys.verify_api_key(key, "other") is None
    assert api_keys.verify_api_key(f"x{key}", "secret") is None
    for invalid_key in ("", ".", "mill.north", key[:-1], f"{key}é"):
        assert api_keys.verify_api_key(invalid_key, "secret") is None
