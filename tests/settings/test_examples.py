"""Tests that the settings and tables of the examples are valid."""

import importlib.util
import pathlib
import types

import pytest

from tamaracktide.core import rows
from tamaracktide.core import table_checks
from tamaracktide.core import tables
from tamaracktide.ctl import files as table_files
from tamaracktide.ctl import settings as ctl_settings
from tamaracktide.gateway import settings as gateway_settings
from tamaracktide.scheduler import settings as scheduler_settings
from tamaracktide.settings import files

EXAMPLE_PATH = (
    pathlib.Path(__file__).parents[2] / "examples" / "make_example.py"
)
SETTINGS_TYPE_BY_PREFIX = {
    "gateway": gateway_settings.GatewaySettings,
    "scheduler": scheduler_settings.SchedulerSettings,
    "tamaracktidectl.json": ctl_settings.CtlSettings,
}


def load_script() -> types.ModuleType:
    """Loads examples/make_example.py as a module."""
    spec = importlib.util.spec_from_file_location("make_example", EXAMPLE_PATH)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


@pytest.mark.parametrize(
    ("name", "engines"), [("intango", 9), ("viilukoda", 5)]
)
def test_example_passes_all_checks(name: str, engines: int) -> None:
    """Settings files and tables are valid and have the expected sizes."""
    script = load_script()
    example_files = script.make_files(script.EXAMPLES[name])
    checked = 0
    for file, content in example_files.items():
        for prefix, settings_type in SETTINGS_TYPE_BY_PREFIX.items():
            if file.startswith(prefix):
                assert files.find_faults(content, settings_type) == [], file
                checked += 1
    assert checked == 9
    parsed = table_files.convert_tables(example_files["tables.json"])
    routes = [row for row in parsed if isinstance(row, rows.Route)]
    pools = [row for row in parsed if isinstance(row, rows.Pool)]
    snapshot = tables.make_tables(1, routes, pools)
    assert table_checks.find_table_faults(snapshot) == []
    listed = {
        item["id"] for item in example_files["instances.json"]["instances"]
    }
    assert listed.issuperset(
        upstream for pool in pools for upstream in pool.upstreams
    )
    assert len(snapshot.pools["models"].upstreams) == engines
    assert len({route.adapter for route in routes if route.adapter}) == 3000
