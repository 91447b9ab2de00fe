"""Tests of signals that reach the process of an entry instance early."""

import json
import os
import pathlib
import signal
import subprocess
import sys

import builds
import deployment

FIRST_IMPORT = b"tamaracktide"
"""Name in the trace of imports, long before the last of them."""

STARTED = b'"instance started"'


def test_reload_during_the_imports_does_not_end_the_process(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against SIGHUP at a process that starts (Fault)."""
    settings = {
        "instance": "n1",
        "availability_zone": "z1",
        "ip": deployment.HOST,
        "platform_address": f"{deployment.HOST}:{deployment.find_port()}",
    }
    for name in ("caller_address", "readiness_address"):
        settings[name] = f"{deployment.HOST}:{deployment.find_port()}"
    ports = {
        name: deployment.find_port()
        for name in ("peer_port", "forward_port", "metrics_port")
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**settings, **ports}))
    with subprocess.Popen(
        [sys.executable, "-X", "importtime", str(builds.ROOT / builds.PROGRAM)],
        env={**os.environ, "TAMARACKTIDE_SETTINGS": str(path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    ) as process:
        assert process.stdout is not None
        lines = iter(process.stdout.readline, b"")
        try:
            assert any(FIRST_IMPORT in line for line in lines)
            process.send_signal(signal.SIGHUP)
            assert any(STARTED in line for line in lines)
        finally:
            process.kill()
