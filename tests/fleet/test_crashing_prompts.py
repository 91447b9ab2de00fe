"""Tests of a part of prompts that crashes each engine that writes an answer.

Load pattern: requests with that part arrive at any instance, no two alike, and
sound ones share the other parts of their prompts and the adapter.
"""

from collections.abc import AsyncIterator
import contextlib

import anyio
import entry_instances
import fleet_cluster
import httpcore
import pytest
import test_crashing_requests

pytestmark = pytest.mark.anyio

FIRST_PART = "aa01"
CRASH_PART = "bad0"
CRASHES = 5
"""Engines that a part may end before requests with it are refused."""

ENGINES = 16
INSTANCES = 3


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


async def generate(
    instance: entry_instances.Instance, request_id: str, *parts: str
) -> httpcore.Response:
    """Sends a request of its own target and last part."""
    names = (FIRST_PART, *parts, f"e{abs(hash(request_id)):x}")
    return await instance.send(
        f"/stream/{request_id}",
        request_id,
        X_Model=f"{fleet_cluster.MODEL}/a1",
        X_Token_Count="100,30",
        X_Prompt_Prefix=",".join(f"{name}:20" for name in names),
    )


@contextlib.asynccontextmanager
async def run_cluster() -> AsyncIterator[
    tuple[fleet_cluster.Cluster, list[entry_instances.Instance]]
]:
    """Runs instances before engines that a part of prompts ends."""
    async with fleet_cluster.run_cluster() as cluster:
        for number in range(ENGINES):
            await cluster.add_server(
                fleet_cluster.Server(
                    f"e{number}",
                    slots=3,
                    adapters={"a1": 1},
                    crashes_on=CRASH_PART,
                )
            )
        async with test_crashing_requests.run_instances(
            cluster, INSTANCES
        ) as instances:
            yield cluster, instances


async def end_engines(
    cluster: fleet_cluster.Cluster, instances: list[entry_instances.Instance]
) -> None:
    """Sends requests with the part until it has ended the allowed engines.

    Ends earlier if they are refused. Sound requests with the same first part
    are answered meanwhile.
    """
    number = 0
    while test_crashing_requests.count_crashed(cluster) < CRASHES:
        instance = instances[number % len(instances)]
        await generate(instance, f"sound{number}", f"cc{number}")
        response = await generate(instance, f"first{number}", CRASH_PART)
        if test_crashing_requests.is_quarantined(response):
            return
        number += 1


async def test_part_that_ended_five_engines_is_refused_everywhere() -> None:
    """Guards against engines that end for requests of one kind (BUDGET).

    Each request began without losses, as no two of them are alike.
    """
    async with run_cluster() as (cluster, instances):
        await end_engines(cluster, instances)
        await anyio.sleep(test_crashing_requests.SETTLING_S)
        for number in range(9):
            response = await generate(
                instances[number % INSTANCES], f"later{number}", CRASH_PART
            )
            assert test_crashing_requests.is_quarantined(response)
        assert test_crashing_requests.count_runs(cluster, "later") == 0


async def test_sound_requests_with_the_same_first_part_are_served() -> None:
    """Guards against a verdict on what sound requests share (LOST)."""
    async with run_cluster() as (cluster, instances):
        await end_engines(cluster, instances)
        await anyio.sleep(test_crashing_requests.SETTLING_S)
        for number in range(9):
            response = await generate(
                instances[number % INSTANCES], f"after{number}", "cc0"
            )
            assert response.status == 200


async def test_first_part_of_an_idle_caller_is_served() -> None:
    """Guards against a quarantine of what all crashes share (LOST).

    No sound request with the same first part has run for longer than survivals
    are remembered.
    """
    async with run_cluster() as (cluster, instances):
        for number in range(CRASHES):
            instance = instances[number % len(instances)]
            response = await generate(instance, f"first{number}", CRASH_PART)
            if test_crashing_requests.is_quarantined(response):
                break
        await anyio.sleep(test_crashing_requests.SETTLING_S)
        for number in range(9):
            instance = instances[number % INSTANCES]
            sound = await generate(instance, f"after{number}", "cc0")
            assert sound.status == 200
            deadly = await generate(instance, f"later{number}", CRASH_PART)
            assert test_crashing_requests.is_quarantined(deadly)
        assert test_crashing_requests.count_crashed(cluster) <= CRASHES
