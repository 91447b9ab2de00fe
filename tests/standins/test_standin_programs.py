"""Tests of the stand-ins run as processes."""

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

_DISCONNECT_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError)
_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 30.0
_PROBES = {
    "platform": "/admin/counters",
    "engine": "/v1/state",
    "service": "/admin/effects",
}


def start(name: str, *arguments: str) -> subprocess.Popen[str]:
    """Starts a stand-in process with command-line arguments."""
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
    """Returns the minimal settings of a stand-in."""
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
    """Waits until a program responds at a URL."""
    deadline = time.monotonic() + _START_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            assert httpcore.request("GET", url).status == 200
        except httpcore.ConnectError:
            time.sleep(0.05)
        else:
            return
    raise TimeoutError(url)


@pytest.mark.parametrize("name", sorted(_PROBES))
def test_program_runs_until_sigterm(name: str, tmp_path: pathlib.Path) -> None:
    """A stand-in serves on its address and exits with 0 on SIGTERM."""
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
def test_settings_are_validated(name: str, tmp_path: pathlib.Path) -> None:
    """A misspelt field is reported; the schema is printed on request."""
    settings = make_settings(name, "127.0.0.1:1")
    valid_path = write_settings(tmp_path, **settings)
    with start(name, "--settings", valid_path, "--check-settings") as process:
        assert process.wait(_STOP_TIMEOUT_S) == 0
    invalid_path = write_settings(tmp_path, **settings, adress="x")
    with start(name, "--settings", invalid_path, "--check-settings") as process:
        _, error_text = process.communicate(timeout=_STOP_TIMEOUT_S)
    assert process.returncode == 2
    assert "adress" in error_text
    with start(name, "--print-schema") as process:
        schema, _ = process.communicate(timeout=_STOP_TIMEOUT_S)
    assert "$defs" in json.loads(schema)


def test_crash_prompt_terminates_the_engine(tmp_path: pathlib.Path) -> None:
    """A prompt with the crash text ends the process with exit code 70."""
    engine_address = f"127.0.0.1:{deployment.find_port()}"
    platform_address = f"127.0.0.1:{deployment.find_port()}"
    platform_path = write_settings(tmp_path, address=platform_address)
    engine_path = tmp_path / "engine.json"
    engine = make_settings("engine", engine_address) | {
        "weight_store": platform_address,
        "faults": {"crash_prompt": "poison"},
    }
    engine_path.write_text(json.dumps(engine))
    order = {"lora_name": "l1", "adapter": "a", "version": "1"}
    request = {"model": "l1", "prompt": "some poison here"}
    with (
        start("platform", "--settings", platform_path) as platform,
        start("engine", "--settings", str(engine_path)) as process,
    ):
        try:
            wait_ready(f"http://{platform_address}/admin/counters")
            wait_ready(f"http://{engine_address}/v1/state")
            loaded = httpcore.request(
                "POST",
                f"http://{engine_address}/v1/load_lora_adapter",
                content=json.dumps(order).encode(),
            )
            assert loaded.status == 200
            with pytest.raises(_DISCONNECT_ERRORS):
                httpcore.request(
                    "POST",
                    f"http://{engine_address}/v1/completions",
                    content=json.dumps(request).encode(),
                )
            assert process.wait(_STOP_TIMEOUT_S) == 70
        finally:
            process.kill()
            platform.kill()
