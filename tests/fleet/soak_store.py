"""Stand-in of the platform's store for soak runs, with the faults it may have.

Objects by kind and name, one counter of revisions, conditional writes, lists
and watches. Servers write their entries with `PUT /beats/NAME`; an entry that
is not written for three heartbeats is removed.
"""

import copy
import dataclasses
import json
import time
from typing import Any
import urllib.parse

import anyio
import anyio.abc
import soak_http

PAGE_ITEMS = 500
ENTRY_TTL_S = 3.6
EXPIRY_PERIOD_S = 0.3
LATENCY_S = 0.004
SERVERS = "servers"

Object = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """State of the store at a moment."""

    taken_at: float
    revision: int
    objects: dict[str, dict[str, Object]]


class SilentError(Exception):
    """The store ends a connection without a response."""


class Store:
    """The store.

    Attributes:
        address: `IP:PORT` on which it listens.
        era: How often it came back from a copy, plus one.
        is_down: Whether it ends every connection without a response.
        slow_s: Additional time of each call.
        loses_replies: Whether writes take effect without a response.
        acks: Times at which servers became draining or gone, by name.
    """

    def __init__(self, address: str, shown_hosts: dict[str, str]) -> None:
        """Starts without objects.

        Args:
            address: `IP:PORT` to listen on.
            shown_hosts: Hosts that stand in its responses, by those that
                instances register.
        """
        self.address = address
        self._shown_hosts = shown_hosts
        self.era = 1
        self.is_down = False
        self.slow_s = 0.0
        self.loses_replies = False
        self.acks: dict[str, float] = {}
        self._revision = 1
        self._objects: dict[str, dict[str, Object]] = {}
        self._events: list[tuple[int, str, Object]] = []
        self._oldest = 0
        self._changed = anyio.Event()
        self._beaten_at: dict[str, float] = {}
        self._retired: set[str] = set()
        self._connections: set[soak_http.Connection] = set()
        self._copies: list[Copy] = []

    async def run(self) -> None:
        """Serves until cancelled."""
        host, _, port = self.address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        async with anyio.create_task_group() as tasks, listener:
            tasks.start_soon(self._maintain)
            await listener.serve(self._serve)

    # What the operator and the servers write.

    def put(self, kind: str, name: str, spec: object) -> Object:
        """Creates or replaces an object and returns it."""
        found = self._objects.get(kind, {}).get(name)
        if found is not None and found["Spec"] == spec:
            return found
        self._revision += 1
        created = found["Metadata"]["CreateRev"] if found else self._revision
        item = {
            "Metadata": {
                "Name": name,
                "Revision": self._revision,
                "CreateRev": created,
                "Finalizers": [],
                "Deleting": False,
            },
            "Spec": spec,
            "Status": None,
        }
        self._objects.setdefault(kind, {})[name] = item
        self._publish(kind, item, deleted=False)
        return item

    def remove(self, kind: str, name: str) -> None:
        """Removes an object that may exist."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is None:
            return
        self._revision += 1
        item["Metadata"] = {**item["Metadata"], "Revision": self._revision}
        if kind == SERVERS:
            self.acks.setdefault(name, time.monotonic())
        self._publish(kind, item, deleted=True)

    def retire(self, name: str) -> None:
        """Removes the entry of a server, which stays away."""
        self._retired.add(name)
        self._beaten_at.pop(name, None)
        self.remove(SERVERS, name)

    def get_entry(self, name: str) -> Object | None:
        """Returns what a server last wrote, or None."""
        item = self._objects.get(SERVERS, {}).get(name)
        return None if item is None else item["Spec"]

    def get_leases(self) -> dict[str, object]:
        """Returns the objects of the system's own kinds, by kind and name."""
        return {
            f"{kind}/{name}": item["Spec"]
            for kind, items in self._objects.items()
            if kind.startswith("tamaracktide")
            for name, item in items.items()
        }

    # Faults.

    async def go_down(self) -> None:
        """Ends all connections; no call gets a response from now on."""
        self.is_down = True
        for connection in list(self._connections):
            await connection.close()

    def restore(self, age_s: float) -> None:
        """Comes back from a copy of at least an age, if there is one."""
        before = time.monotonic() - age_s
        copies = [c for c in self._copies if c.taken_at <= before]
        self.is_down = False
        if not copies:
            return
        operator = {
            kind: dict(self._objects.get(kind, {}))
            for kind in ("config", "versions")
        }
        restored = copy.deepcopy(copies[-1])
        self._revision, self._objects = restored.revision, restored.objects
        self._events = [e for e in self._events if e[0] <= self._revision]
        self._copies = [c for c in copies if c.revision <= self._revision]
        self.era += 1
        for kind, items in operator.items():
            for name, item in items.items():
                self.put(kind, name, item["Spec"])
        for name in self._retired:
            self.remove(SERVERS, name)
        self._wake()

    def discard_history(self) -> None:
        """Forgets all events, so that older watches get 410."""
        self._events.clear()
        self._oldest = self._revision

    async def _maintain(self) -> None:
        while True:
            now = time.monotonic()
            state = copy.deepcopy(self._objects)
            self._copies.append(Copy(now, self._revision, state))
            del self._copies[:-40]
            for name, beaten_at in list(self._beaten_at.items()):
                if not self.is_down and now > beaten_at + ENTRY_TTL_S:
                    del self._beaten_at[name]
                    self.remove(SERVERS, name)
            await anyio.sleep(EXPIRY_PERIOD_S)

    def _publish(self, kind: str, item: Object, *, deleted: bool) -> None:
        event = {"Object": copy.deepcopy(item), "Deleted": deleted}
        self._events.append((self._revision, kind, event))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    # Calls.

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        connection = soak_http.Connection(stream)
        self._connections.add(connection)
        try:
            while not self.is_down:
                head = await connection.read_head()
                parts = [part async for part in connection.read_body(head)]
                await anyio.sleep(LATENCY_S + self.slow_s)
                if not self.is_down:
                    await self._handle(connection, head, b"".join(parts))
        except (*soak_http.CLOSED, OSError, SilentError):
            pass
        finally:
            self._connections.discard(connection)
            with anyio.CancelScope(shield=True):
                await connection.close()

    async def _handle(
        self,
        connection: soak_http.Connection,
        head: soak_http.Head,
        body: bytes,
    ) -> None:
        method, target, _ = head.line.split(" ", 2)
        path, _, text = target.partition("?")
        parts = [urllib.parse.unquote(part) for part in path.split("/")[1:]]
        query = dict(urllib.parse.parse_qsl(text))
        if parts[0] == "beats":
            status, content = self._take_beat(parts[1], json.loads(body))
        elif method == "GET":
            status, content = await self._read(parts[1:], query)
        else:
            status, content = self._write(method, parts[1:], query, body)
            if self.loses_replies:
                raise SilentError
        headers = {
            "Content-Type": "application/json",
            "Store-Era": str(self.era),
        }
        text = json.dumps(content)
        for host, shown in self._shown_hosts.items():
            text = text.replace(f'"ip": "{host}"', f'"ip": "{shown}"')
        data = text.encode()
        await connection.send(soak_http.make_response(status, headers, data))

    def _take_beat(self, name: str, entry: Object) -> tuple[int, object]:
        if name in self._retired:
            return 200, {}
        self._beaten_at[name] = time.monotonic()
        if entry["State"] != "ready":
            self.acks.setdefault(name, time.monotonic())
        else:
            self.acks.pop(name, None)
        self.put(SERVERS, name, entry)
        return 200, {}

    async def _read(
        self, parts: list[str], query: dict[str, str]
    ) -> tuple[int, object]:
        items = self._objects.get(parts[0], {})
        if len(parts) > 1:
            found = items.get(parts[1])
            return (404, {}) if found is None else (200, found)
        if "Watch" in query:
            return await self._watch(parts[0], query)
        names = [
            name for name in sorted(items) if name > query.get("after", "")
        ]
        return 200, {
            "items": [items[name] for name in names[:PAGE_ITEMS]],
            "Truncated": len(names) > PAGE_ITEMS,
            "CurrentRev": self._revision,
        }

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, object]:
        since, era = int(query["Watch"]), self.era
        if since > self._revision or since < self._oldest:
            return 410, {}
        with anyio.move_on_after(int(query.get("WaitMs", "0")) / 1000):
            while not self._list_events(kind, since):
                await self._changed.wait()
                if self.era != era or self.is_down:
                    raise SilentError
        events = self._list_events(kind, since)
        return 200, {"events": events, "CurrentRev": self._revision}

    def _list_events(self, kind: str, since: int) -> list[Object]:
        return [e for r, k, e in self._events if r > since and k == kind]

    def _write(
        self, method: str, parts: list[str], query: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        content = json.loads(body or b"{}")
        metadata = content.get("Metadata", {})
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else metadata["Name"]
        found = self._objects.get(kind, {}).get(name)
        expected = metadata.get("Revision") or query.get("Revision")
        if method == "POST":
            if found is not None:
                return 409, found
        elif found is None:
            return 404, {}
        elif expected and int(expected) != found["Metadata"]["Revision"]:
            return 409, found
        if method == "DELETE":
            self.remove(kind, name)
            return 200, found
        return 200, self.put(kind, name, content.get("Spec"))
