"""Tests of the tasks that keep the links between instances."""

import anyio
import pytest

from tamaracktide.entry import peers
from tamaracktide.entry import restarts
from tamaracktide.entry import settings as entry_settings

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


async def test_reports_and_listening_go_on_after_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an instance that is silent, or that no peer reaches."""
    monkeypatch.setattr(restarts, "TASK_RESTART_DELAY_S", 0.01)
    monkeypatch.setattr(peers, "REPORT_PERIOD_S", 0.01)
    reports: list[float] = []
    listened: list[object] = []

    def send_reports() -> None:
        reports.append(anyio.current_time())
        if len(reports) == 1:
            raise KeyError("e1")

    async def serve(*inputs: object) -> None:
        listened.append(inputs)
        if len(listened) == 1:
            raise OSError("address in use")
        await anyio.sleep_forever()

    async with anyio.create_task_group() as tasks:
        links = peers.Peers(
            entry_settings.EntrySettings(
                instance="n1",
                availability_zone="z1",
                ip="127.0.0.1",
                caller_address="127.0.0.1:1",
                readiness_address="127.0.0.1:2",
                peer_port=3,
                metrics_port=4,
                platform_address="127.0.0.1:5",
            ),
            "",
            peers.Callbacks(
                handle=lambda peer, link, message: None,
                handle_open=lambda peer, link: None,
                send_reports=send_reports,
                handle_loss=lambda instance: None,
                holds_lease=lambda: False,
            ),
            restarts.ContainedTasks(tasks),
            peers.Transport(serve=serve),
        )
        tasks.start_soon(links.run)
        with anyio.fail_after(1.0):
            while len(reports) < 3 or len(listened) < 2:
                await anyio.sleep(0.01)
        assert len(listened) == 2
        tasks.cancel_scope.cancel()
