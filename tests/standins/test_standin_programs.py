"""Tests of the stand-ins as processes."""

import json
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

import httpcore
import pytest

import deployment

_BROKEN_OFF = (httpcore.NetworkError, httpcore.ProtocolError)
_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 30.0
_PROBES = {
    "platform": "/admin/counters",
    "engine": "/v1/state",
    "service": "/admin/effects",
}


def start(name: str, *arguments: str) -> subprocess.Popen[str]:
    """Starts a stand-in with arguments."""
    code = f"from tamaracktide.standins.{name} import main; main.main()"
    return subprocess.Popen(
        [sys.executable, "-c", code, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def write_settings(directory: pathlib.Path, **settings: object) -> str:
    """Writes a settings file; returns its path."""
    path = directory / "settings.json"
    path.write_text(json.dumps(settings))
    return str(path)


def make_settings(name: str, address: str) -> dict[str, Any]:
    """Returns the least settings of a stand-in."""
    match name:
        case "platform":
            return {"address": address}
        case "engine":
            return {
                "instance": "e1",
                "address": address,
                "zone": "a",
                "weight_store": address,
            }
    return {"instance": "s1", "address": address}


def wait_ready(url: str) -> None:
    """Waits until a program answers."""
    give_up_at = time.monotonic() + _START_TIMEOUT_S
    while time.monotonic() < give_up_at:
        try:
            assert httpcore.request("GET", url).status == 200
        except httpcore.ConnectError:
            time.sleep(0.05)
        else:
            return
    raise TimeoutError(url)


@pytest.mark.parametrize("name", sorted(_PROBES))
def test_program_runs_until_sigterm(name: str, tmp_path: pathlib.Path) -> None:
    """A stand-in serves on its address and ends well on SIGTERM."""
    address = f"127.0.0.1:{deployment.find_port()}"
    path = write_settings(tmp_path, **make_settings(name, address))
    with start(name, "--settings", path) as process:
        try:
            wait_ready(f"http://{address}{_PROBES[name]}")
            process.send_signal(signal.SIGTERM)
            assert process.wait(_STOP_TIMEOUT_S) == 0
        finally:
            process.kill()


@pytest.mark.parametrize("name", sorted(_PROBES))
def test_settings_are_checked(name: str, tmp_path: pathlib.Path) -> None:
    """A misspelt field is told; the schema is printed on request."""
    settings = make_settings(name, "127.0.0.1:1")
    good = write_settings(tmp_path, **settings)
    with start(name, "--settings", good, "--check-settings") as process:
        assert process.wait(_STOP_TIMEOUT_S) == 0
    bad = write_settings(tmp_path, **settings, adress="x")
    with start(name, "--settings", bad, "--check-settings") as process:
        _, fault = process.communicate(timeout=_STOP_TIMEOUT_S)
    assert process.returncode == 2
    assert "adress" in fault
    with start(name, "--print-schema") as process:
        schema, _ = process.communicate(timeout=_STOP_TIMEOUT_S)
    assert "$defs" in json.loads(schema)


def test_crash_prompt_ends_the_engine(tmp_path: pathlib.Path) -> None:
    """A poisonous prompt ends the process at once with code 70."""
    host = f"127.0.0.1:{deployment.find_port()}"
    store = f"127.0.0.1:{deployment.find_port()}"
    store_path = write_settings(tmp_path, address=store)
    engine_path = tmp_path / "engine.json"
    engine = make_settings("engine", host) | {
        "weight_store": store,
        "faults": {"crash_prompt": "poison"},
    }
    engine_path.write_text(json.dumps(engine))
    order = {"lora_name": "l1", "adapter": "a", "version": "1"}
    request = {"model": "l1", "prompt": "some poison here"}
    with (
        start("platform", "--settings", store_path) as platform,
        start("engine", "--settings", str(engine_path)) as process,
    ):
        try:
            wait_ready(f"http://{store}/admin/counters")
            wait_ready(f"http://{host}/v1/state")
            loaded = httpcore.request(
                "POST",
                f"http://{host}/v1/load_lora_adapter",
                content=json.dumps(order).encode(),
            )
            assert loaded.status == 200
            with pytest.raises(_BROKEN_OFF):
                httpcore.request(
                    "POST",
                    f"http://{host}/v1/completions",
                    content=json.dumps(request).encode(),
                )
            assert process.wait(_STOP_TIMEOUT_S) == 70
        finally:
            process.kill()
            platform.kill()
