"""Fixtures of the scheduler's tests."""

from collections.abc import AsyncIterator

import pytest
import scheduler_fixtures as fixtures


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on asyncio, as the product does."""
    return "asyncio"


@pytest.fixture
async def cluster(
    anyio_backend: str,
) -> AsyncIterator[fixtures.SchedulerCluster]:
    """A platform with tables and one engine with two adapter slots."""
    async with fixtures.run_cluster() as cluster:
        await cluster.start_engine("e1")
        await cluster.apply_pool()
        yield cluster
