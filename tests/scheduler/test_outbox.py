"""Tests of the queue of messages to a gateway."""

import gc
import warnings

import anyio
import pytest

from tamaracktide.protocol import connection
from tamaracktide.protocol import messages
from tamaracktide.protocol import outbox
from tamaracktide.protocol import settings as protocol_settings

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Returns the backend that the daemons use."""
    return "asyncio"


class StalledConnection(connection.Connection):
    """A connection whose sends never complete."""

    def __init__(self) -> None:
        """Initializes the connection without a socket."""
        self._settings = protocol_settings.InnerSettings()

    async def send(self, message: messages.Message) -> None:
        """Blocks until cancelled."""
        await anyio.sleep_forever()


async def test_closed_outbox_takes_no_messages_and_leaves_nothing_open() -> (
    None
):
    """The queue of a closed connection is released."""
    message = messages.Heartbeat(sequence=0)
    with warnings.catch_warnings():
        warnings.simplefilter("error", ResourceWarning)
        queue = outbox.Outbox(StalledConnection(), 2)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(queue.run)
            assert queue.put(message)
            await anyio.wait_all_tasks_blocked()
            assert [queue.put(message) for _ in range(3)] == [True, True, False]
            tasks.cancel_scope.cancel()
        queue.close()
        assert not queue.put(message)
        del queue
        gc.collect()
