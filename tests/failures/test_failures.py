"""Guarantees under faults: kills, freezes and network partitions."""

import pathlib

import anyio
import pytest

import faults
import soak
import topology

TOPOLOGY = topology.Topology(adapters=16)

CASES: dict[str, tuple[faults.Fault, ...]] = {
    "gateway killed": (faults.Kill("gateway-0"),),
    "scheduler killed": (faults.Kill("scheduler-0"),),
    "engine killed": (faults.Kill("engine-0"),),
    "gateway stopped": (faults.Terminate("gateway-1"),),
    "scheduler stopped": (faults.Terminate("scheduler-1"),),
    "gateway frozen": (faults.Freeze("gateway-1"),),
    "scheduler frozen": (faults.Freeze("scheduler-0"),),
    "platform out": (faults.PlatformFault((("outage", True),)),),
    "platform loses replies": (faults.PlatformFault((("lose_replies", 9),)),),
    "platform stale": (faults.PlatformFault((("stale_reads", True),)),),
    "engine empty": (faults.EngineFault("engine-0", (("restart", True),)),),
    "engine frozen": (faults.EngineFault("engine-1", (("freeze", True),)),),
    "engine silent": (faults.EngineFault("engine-2", (("silent", True),)),),
    "loads fail": (faults.EngineFault("engine-0", (("fail_loads", 5),)),),
    "orders late": (faults.EngineFault("engine-1", (("delay_orders_s", 2),)),),
    "zone cut": (faults.CutZone("zb", platform_too=False),),
    "zone alone": (faults.CutZone("za", platform_too=True),),
    "links silent": (faults.SilenceLinks(),),
    "upstream leaves": (faults.Leave("engine-2"),),
    "operators race": (faults.RaceEdits(),),
    "killed while out": (
        faults.PlatformFault((("outage", True),)),
        faults.Kill("scheduler-1"),
    ),
    "gateway killed while out": (
        faults.PlatformFault((("outage", True),)),
        faults.Kill("gateway-1"),
    ),
    "frozen, then killed": (
        faults.Freeze("scheduler-0"),
        faults.Kill("engine-1"),
    ),
}


@pytest.mark.parametrize("case", list(CASES))
def test_guarantees_hold_under_fault(case: str, tmp_path: pathlib.Path) -> None:
    """Responses stay correct under faults, and the tables converge after.

    Guards against wrong or truncated responses, duplicate effects, refused
    requests that ran, and daemons that do not recover. The length of the case
    id is the seed.
    """
    soak_run = soak.Soak(tmp_path, seed=len(case), cluster_topology=TOPOLOGY)
    anyio.run(soak_run.run, [CASES[case]])
    assert soak_run.failures == []
    assert soak_run.sums["completed"] > 0
