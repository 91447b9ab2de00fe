"""Fixtures of the scheduler's tests."""

from collections.abc import AsyncIterator

import pytest
import scheduler_fixtures as fixtures


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on asyncio, as the product does."""
    return "asyncio"


@pytest.fixture
async def bench(anyio_backend: str) -> AsyncIterator[fixtures.Bench]:
    """A platform with tables and one engine with two adapter slots."""
    async with fixtures.run_bench() as bench:
        await bench.start_engine("e1")
        await bench.apply_pool()
        yield bench
