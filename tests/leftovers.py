"""Checks that apply to every test."""

from collections.abc import Iterator
import gc

import pytest


@pytest.fixture(autouse=True)
def _collect_leftovers() -> Iterator[None]:
    """Fails the test that leaves a stream or socket open, and no later one."""
    yield
    gc.collect()
