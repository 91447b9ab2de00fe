"""Tests that docs/SETTINGS.md matches the settings classes."""

import pathlib

from tamaracktide.gateway import settings as gateway_settings
from tamaracktide.settings import page

PAGE_PATH = pathlib.Path(__file__).parents[2] / "docs" / "SETTINGS.md"


def test_page_is_up_to_date() -> None:
    """docs/SETTINGS.md equals the generated page."""
    assert PAGE_PATH.read_text(encoding="utf-8") == page.make_page()


def test_every_field_has_a_meaning() -> None:
    """Every field is described in the docstring of its class."""
    fields = page.list_fields(gateway_settings.GatewaySettings)
    assert [field.path for field in fields if not field.meaning] == []
    nested = {field.path: field for field in fields}["tables.start_wait_s"]
    assert nested.default == "30.0"
    assert nested.bounds == "above 0, at most 3600"
