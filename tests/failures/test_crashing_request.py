"""Quarantine of a request that crashes engines."""

import json
import pathlib
import time

import httpcore

import deployment
import quickstart
from tamaracktide import result_codes
from tamaracktide.settings import api_keys
import topology

TOPOLOGY = topology.Topology(adapters=8)
CRASH_PROMPT = "crash-the-engine"
REQUESTS = 6
QUARANTINED = result_codes.ResultCode.QUARANTINED


def send(address: str, prompt: str) -> tuple[int, float]:
    """Sends a completion; returns its result code and `Retry-After`."""
    key = api_keys.make_api_key("small-1", deployment.SECRET)
    body = {"model": "assistant-1", "prompt": prompt, "max_tokens": 4}
    response = httpcore.request(
        "POST",
        f"http://{address}/v1/completions",
        headers=[("Authorization", f"Bearer {key}")],
        content=json.dumps(body).encode(),
        extensions={"timeout": {"read": 60.0, "connect": 5.0}},
    )
    headers = {name.lower(): value for name, value in response.headers}
    retry_after_s = float(headers.get(b"retry-after", b"0"))
    return int(headers[b"x-result-code"]), retry_after_s


def restart_engines(running: deployment.Deployment) -> int:
    """Restarts the engines that have crashed; returns their number."""
    crashed_engines = [
        name
        for name, process in running.processes.items()
        if name.startswith("engine") and process.poll() is not None
    ]
    for name in crashed_engines:
        running.wait(name)
        running.start(name)
        running.wait_ready(name, "/v1/state")
        enable_crash_prompt(running, name)
    return len(crashed_engines)


def enable_crash_prompt(running: deployment.Deployment, name: str) -> None:
    """Configures an engine to crash on `CRASH_PROMPT`."""
    address = running.nodes[name].address
    faults = {"crash_prompt": CRASH_PROMPT}
    deployment.call_http("POST", address, "/admin/faults", faults)


def test_crashing_request_is_quarantined_everywhere(
    tmp_path: pathlib.Path,
) -> None:
    """A request that crashes engines is refused; other requests are served.

    Guards against a client whose retries crash one engine after another: after
    at most two crashes every gateway refuses the request.
    """
    running = topology.build_deployment(TOPOLOGY, tmp_path)
    tables = tmp_path / "tables.json"
    tables.write_text(json.dumps(topology.make_tables(TOPOLOGY)))
    gateways = [f"gateway-{i}" for i in range(len(TOPOLOGY.gateways))]
    crashes = 0
    codes = []
    try:
        quickstart.start_all(running)
        for i in range(len(TOPOLOGY.engines)):
            enable_crash_prompt(running, f"engine-{i}")
        for attempt in range(REQUESTS):
            address = running.nodes[gateways[attempt % 2]].address
            code, retry_after_s = send(address, CRASH_PROMPT)
            codes.append(code)
            crashes += restart_engines(running)
            if code != QUARANTINED:
                time.sleep(retry_after_s)
        codes_after_quarantine = [
            send(running.nodes[g].address, "hello")[0] for g in gateways
        ]
    finally:
        running.stop_all()
    assert codes[-2:] == [QUARANTINED] * 2, codes
    assert crashes <= 2, codes
    assert codes_after_quarantine == [result_codes.ResultCode.OK] * 2
