"""Links of machines with a rate, between complete entry instances in process.

All bytes of a machine cross its link: those of its store and of the other
instances. A link passes chunks in the order in which they arrive, so what is
small waits behind what is large.
"""

from collections.abc import AsyncIterator
import contextlib
import socket

import anyio
import anyio.abc

import deployment
from tamaracktide.entry import peers as entry_peers
from tamaracktide.protocol import client
from tamaracktide.protocol import connection
from tamaracktide.protocol import messages
from tamaracktide.protocol import settings as protocol_settings

CHUNK_BYTES = 2048
BUFFER_BYTES = 65536
"""Receive buffer of a link, beyond which a sender has to wait."""


MAX_TIMER_DELAY_S = 0.05
"""Lateness of timers that does not lower the rate of a busy link."""


class _Direction:
    """One direction of a link, which is used by one chunk at a time."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0

    async def carry(self, size: int) -> None:
        now = anyio.current_time()
        begins_at = max(now - MAX_TIMER_DELAY_S, self._free_at)
        self._free_at = begins_at + size / self._bytes_per_s
        await anyio.sleep_until(self._free_at)


class MachineLink:
    """The link of one machine.

    Attributes:
        is_cut: Whether no bytes arrive any more.
    """

    def __init__(self, mbit_per_s: float) -> None:
        """Creates an idle link."""
        bytes_per_s = mbit_per_s * 1e6 / 8
        self.is_cut = False
        self.outgoing = _Direction(bytes_per_s)
        self.incoming = _Direction(bytes_per_s)


class Network:
    """Proxies whose bytes cross the links of both ends.

    Attributes:
        links: Links by the IP address of their machine.
    """

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts without machines; `tasks` runs the proxies."""
        self.links: dict[str, MachineLink] = {}
        self._tasks = tasks
        self._proxies: dict[tuple[str, str], str] = {}

    def add(self, host: str, mbit_per_s: float) -> MachineLink:
        """Adds the link of a machine; other machines have none."""
        self.links[host] = MachineLink(mbit_per_s)
        return self.links[host]

    async def connect(self, host: str, address: str) -> str:
        """Returns the address at which a machine reaches another one.

        Args:
            host: IP address of the machine that connects.
            address: `IP:PORT` of the other one.
        """
        if (host, address) not in self._proxies:
            proxy = f"{deployment.HOST}:{deployment.find_port()}"
            self._proxies[host, address] = proxy
            await self._tasks.start(self._serve, proxy, host, address)
        return self._proxies[host, address]

    def make_transport(self, host: str) -> entry_peers.Transport:
        """Returns what opens the links of the instance on a machine."""

        async def open_connection(
            address: str,
            hello: messages.Hello,
            settings: protocol_settings.InnerSettings,
        ) -> connection.Connection:
            proxy = await self.connect(host, address)
            return await client.open_connection(proxy, hello, settings)

        return entry_peers.Transport(open_connection=open_connection)

    async def _serve(
        self,
        proxy: str,
        host: str,
        address: str,
        *,
        task_status: anyio.abc.TaskStatus[None],
    ) -> None:
        listen_host, _, listen_port = proxy.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=listen_host, local_port=int(listen_port)
        )
        ends = self.links.get(host), self.links.get(address.split(":")[0])

        async def forward_all(stream: anyio.abc.SocketStream) -> None:
            await _forward_both(stream, address, *ends)

        async with listener:
            task_status.started()
            await listener.serve(forward_all)


async def _forward_both(
    client_stream: anyio.abc.SocketStream,
    address: str,
    near: MachineLink | None,
    far: MachineLink | None,
) -> None:
    """Forwards one connection in both directions until it ends."""
    host, _, port = address.rpartition(":")
    async with client_stream:
        try:
            target = await anyio.connect_tcp(host, int(port))
        except OSError:
            return
        async with target, anyio.create_task_group() as tasks:
            tasks.start_soon(_forward, client_stream, target, near, far, tasks)
            tasks.start_soon(_forward, target, client_stream, far, near, tasks)


async def _forward(
    source: anyio.abc.SocketStream,
    sink: anyio.abc.SocketStream,
    sender: MachineLink | None,
    receiver: MachineLink | None,
    tasks: anyio.abc.TaskGroup,
) -> None:
    raw = source.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    ends = (anyio.EndOfStream, anyio.BrokenResourceError)
    with contextlib.suppress(*ends, anyio.ClosedResourceError):
        while True:
            chunk = await source.receive(CHUNK_BYTES)
            if sender is not None:
                await sender.outgoing.carry(len(chunk))
            if receiver is not None:
                await receiver.incoming.carry(len(chunk))
            if any(
                end is not None and end.is_cut for end in (sender, receiver)
            ):
                await anyio.sleep_forever()
            await sink.send(chunk)
    tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def run_network() -> AsyncIterator[Network]:
    """Runs the links of machines until the context ends."""
    async with anyio.create_task_group() as tasks:
        yield Network(tasks)
        tasks.cancel_scope.cancel()
