"""Tests of the choice of ports for processes that tests and scripts start."""

import pathlib
import subprocess
import sys

import deployment

SCRIPTS = pathlib.Path(deployment.__file__).parent
OTHER_RUN = """
import sys
import deployment

print(deployment.find_port(), flush=True)
sys.stdin.read()
"""
"""A run that uses a port until its input ends, and does not listen."""


def test_port_of_another_run_is_not_chosen() -> None:
    """Guards against a process that cannot listen (tests that fail once).

    Between two processes of the other run, nothing listens on its port.
    """
    with subprocess.Popen(
        [sys.executable, "-c", OTHER_RUN],
        cwd=SCRIPTS,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as other:
        assert other.stdout is not None
        taken = int(other.stdout.readline())
        chosen = {
            deployment.find_port()
            for _ in range(deployment.PORTS_PER_WORKER + 1)
        }
        other.communicate()
    assert len(chosen) > deployment.PORTS_PER_WORKER / 2
    assert taken not in chosen
