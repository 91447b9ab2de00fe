"""Stand-ins of the platform, of servers and of requesters for the scripts.

Everything but the entry instances runs in one asyncio process. The store keeps
objects by kind and name, with one counter of revisions, conditional writes,
lists and watches. Only the standard library is used.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
STORE_LATENCY_S = 0.004
START_TIMEOUT_S = 20.0
HOSTS = tuple(f"127.0.0.{number}" for number in (1, 2, 3, 4, 12, 13))
"""Loopback addresses of the stand-ins and the instances."""

STARTED_AT = time.monotonic()


def clock() -> float:
    """Returns the seconds since the script began."""
    return time.monotonic() - STARTED_AT


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")

    def write(self, text: str) -> None:
        self._file.write(f"{clock():9.3f} s  {text}\n")
        self._file.flush()


def find_ports(count: int) -> list[int]:
    """Returns consecutive ports that are free on the loopback addresses used.

    They lie below those that the kernel gives to outgoing connections.
    """
    for _ in range(200):
        first = random.randrange(20000, 32000)
        ports = list(range(first, first + count))
        pairs = [(host, port) for host in HOSTS for port in ports]
        opened = [socket.socket() for _ in pairs]
        try:
            for one, pair in zip(opened, pairs, strict=True):
                one.bind(pair)
            return ports
        except OSError:
            continue
        finally:
            for one in opened:
                one.close()
    raise CannotRunError("no free ports")


class Head:
    """Start line and headers of a message."""

    def __init__(self, line: str, pairs: list[tuple[str, str]]) -> None:
        self.line = line
        self.pairs = pairs
        self.values = {name.lower(): value for name, value in pairs}


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Returns the head of the next message, None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    pairs = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            pairs.append((name.strip(), value.strip()))
    return Head(lines[0], pairs)


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Returns the body of a message with a length or chunks."""
    if "chunked" in head.values.get("transfer-encoding", ""):
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return b"".join(parts)
            parts.append(part)
    return await reader.readexactly(int(head.values.get("content-length", "0")))


def make_answer(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns an answer with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    writer.transport.abort()


class Listener:
    """Accepts connections and can end with all of them."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def listen(self, host: str, port: int = 0) -> None:
        self._server = await asyncio.start_server(
            self._accept, host, port, limit=1 << 22
        )
        shown = self._server.sockets[0].getsockname()
        self.address = f"{shown[0]}:{shown[1]}"

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        raise NotImplementedError

    def stop(self) -> None:
        """Refuses new connections and resets the open ones."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)


class Store(Listener):
    """The platform's store."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.era = 1
        self.refuses = False
        self.refused_calls = 0
        self.is_away = False
        self.objects: dict[str, dict[str, dict]] = {}
        self.revision = 100
        self.events: list[tuple[int, str, dict]] = []
        self._changed = asyncio.Event()
        self._record = record
        self._beaten_at: dict[str, float] = {}
        self.shown_ips: dict[str, str] = {}

    def put(self, kind: str, name: str, spec: object) -> dict:
        """Creates or replaces an object."""
        found = self.objects.setdefault(kind, {}).get(name)
        if found is not None and found["Spec"] == spec:
            return found
        self.revision += 1
        created = found["Metadata"]["CreateRev"] if found else self.revision
        item = {
            "Metadata": {
                "Name": name,
                "Revision": self.revision,
                "CreateRev": created,
                "Finalizers": [],
                "Deleting": False,
            },
            "Spec": spec,
            "Status": None,
        }
        self.objects[kind][name] = item
        self._publish(kind, item, deleted=False)
        return item

    def remove(self, kind: str, name: str) -> None:
        """Removes an object that may exist."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is None:
            return
        self.revision += 1
        item = {**item, "Metadata": {**item["Metadata"], "Revision": self.revision}}
        self._publish(kind, item, deleted=True)

    def beat(self, name: str, entry: dict) -> bool:
        """Takes a heartbeat of a server; returns whether it is accepted."""
        if self.refuses or self.is_away:
            return False
        self._beaten_at[name] = clock()
        self.put("servers", name, entry)
        return True

    async def expire(self) -> None:
        """Removes the entries of silent servers, until cancelled."""
        while True:
            await asyncio.sleep(0.3)
            for name, at in list(self._beaten_at.items()):
                if not self.refuses and clock() > at + 3 * HEARTBEAT_S:
                    del self._beaten_at[name]
                    self._record.write(f"store: entry of {name} expires")
                    self.remove("servers", name)

    def _publish(self, kind: str, item: dict, *, deleted: bool) -> None:
        self.events.append(
            (self.revision, kind, {"Object": item, "Deleted": deleted})
        )
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def make_copy(self) -> tuple[int, dict[str, dict[str, dict]]]:
        """Returns the state of the store as it is now."""
        return self.revision, {k: dict(v) for k, v in self.objects.items()}

    async def drill(
        self, copy: tuple[int, dict[str, dict[str, dict]]], away_s: float
    ) -> None:
        """Is away for a moment and comes back from a copy."""
        self._record.write("store: away")
        self.is_away = True
        self._wake()
        for writer in list(self._writers):
            reset(writer)
        await asyncio.sleep(away_s)
        self.revision = copy[0]
        self.objects = {kind: dict(items) for kind, items in copy[1].items()}
        self.events = [e for e in self.events if e[0] <= self.revision]
        self.era += 1
        self.is_away = False
        self._beaten_at = dict.fromkeys(self.objects.get("servers", {}), clock())
        self._record.write(
            f"store: back from a copy, revision {self.revision}, era {self.era}"
        )

    def set_refusing(self, refuses: bool) -> None:
        """Begins or ends to answer every call with 503."""
        self.refuses = refuses
        self._record.write(f"store: {'503 to all calls' if refuses else 'serves'}")
        self._wake()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (head := await read_head(reader)) is not None:
            body = await read_body(reader, head)
            await asyncio.sleep(STORE_LATENCY_S)
            if self.is_away:
                reset(writer)
                return
            if self.refuses:
                self.refused_calls += 1
                status, content = 503, {}
            else:
                era = self.era
                status, content = await self._handle(head, body)
                if self.is_away or self.era != era:
                    reset(writer)
                    return
            headers = {
                "Content-Type": "application/json",
                "Store-Era": str(self.era),
            }
            text = json.dumps(content)
            for ip, shown in self.shown_ips.items():
                text = text.replace(f'"ip": "{ip}"', f'"ip": "{shown}"')
            writer.write(make_answer(status, headers, text.encode()))
            await writer.drain()

    async def _handle(self, head: Head, body: bytes) -> tuple[int, object]:
        method, target, _ = head.line.split(" ", 2)
        path, _, text = target.partition("?")
        parts = [urllib.parse.unquote(part) for part in path.split("/")[2:]]
        query = dict(urllib.parse.parse_qsl(text))
        if method == "GET":
            return await self._read(parts, query)
        content = json.loads(body or b"{}")
        metadata = content.get("Metadata", {})
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else metadata["Name"]
        found = self.objects.get(kind, {}).get(name)
        expected = metadata.get("Revision") or query.get("Revision")
        if method == "POST" and found is not None:
            return 409, found
        if method != "POST" and found is None:
            return 404, {}
        if (
            method != "POST"
            and expected
            and int(expected) != found["Metadata"]["Revision"]
        ):
            return 409, found
        if method == "DELETE":
            self.remove(kind, name)
            return 200, found
        return 200, self.put(kind, name, content.get("Spec"))

    async def _read(
        self, parts: list[str], query: dict[str, str]
    ) -> tuple[int, object]:
        kind = parts[0]
        items = self.objects.get(kind, {})
        if len(parts) > 1:
            found = items.get(parts[1])
            return (404, {}) if found is None else (200, found)
        if "Watch" not in query:
            names = [n for n in sorted(items) if n > query.get("after", "")]
            return 200, {
                "items": [items[n] for n in names],
                "Truncated": False,
                "CurrentRev": self.revision,
            }
        since = int(query["Watch"])
        if since > self.revision:
            return 410, {}
        until = clock() + int(query.get("WaitMs", "0")) / 1000
        while not (events := self._list_events(kind, since)):
            if self.refuses or self.is_away:
                return 503, {}
            left_s = until - clock()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        if self.refuses:
            return 503, {}
        return 200, {"events": events, "CurrentRev": self.revision}

    def _list_events(self, kind: str, since: int) -> list[dict]:
        return [e for r, k, e in self.events if k == kind and r > since]


class Proxy(Listener):
    """Passes connections on, and can be cut without a sign to either end."""

    def __init__(self, target: str) -> None:
        super().__init__()
        self.target = target
        self._is_open = asyncio.Event()
        self._is_open.set()

    def cut(self) -> None:
        """Holds back all bytes, of new connections too."""
        self._is_open.clear()

    def heal(self) -> None:
        """Passes bytes on again."""
        self._is_open.set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._is_open.wait()
        host, _, port = self.target.rpartition(":")
        there_reader, there = await asyncio.open_connection(host, int(port))
        self._writers.add(there)
        pumps = [
            asyncio.create_task(self._pump(reader, there)),
            asyncio.create_task(self._pump(there_reader, writer)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            self._writers.discard(there)
            there.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            await self._is_open.wait()
            writer.write(data)
            await writer.drain()


class Server(Listener):
    """A server of a plain service, or of streams without an engine."""

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        service: str,
        zone: str = "z1",
        slots: int = 6,
        work_s: float = 0.045,
    ) -> None:
        super().__init__()
        self.store, self.record, self.name = store, record, name
        self.service, self.zone, self.slots = service, zone, slots
        self.work_s = work_s
        self.extra_headers: dict[str, str] = {}
        self.state = "ready"
        self.remaining_ms: int | None = None
        self.is_beating = True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.arrived: list[tuple[float, str]] = []
        self.ran: list[tuple[float, str]] = []
        self.version = "v1"

    def make_entry(self) -> dict:
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": self.version,
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }
        if self.remaining_ms is not None:
            entry["RemainingMs"] = self.remaining_ms
        return entry

    def beat_now(self) -> bool:
        """Writes its entry; returns whether the store has taken it."""
        self.sequence += 1
        return self.store.beat(self.name, self.make_entry())

    async def beat(self) -> None:
        """Writes its entry until cancelled."""
        while True:
            if self.is_beating:
                self.beat_now()
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (head := await read_head(reader)) is not None:
            body = await read_body(reader, head)
            await self.answer(head, body, writer)
            await writer.drain()

    def describe(self, request_id: str) -> dict[str, str]:
        """Returns the headers of all answers."""
        headers = {"X-Request-Id": request_id, "X-Instance-Id": self.name}
        headers.update(self.extra_headers)
        return headers

    async def answer(
        self, head: Head, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Runs a request and answers it."""
        request_id = head.values.get("x-request-id", "")
        headers = self.describe(request_id)
        expected = head.values.get("x-expect-instance", self.name)
        if expected != self.name:
            headers["X-Not-Executed"] = "1"
            writer.write(make_answer(421, headers))
            return
        self.arrived.append((clock(), request_id))
        self.ran.append((clock(), request_id))
        self.record.write(f"server {self.name}: {request_id} arrives and runs")
        headers["X-Response-Signature"] = f"{self.name}.{request_id}"
        await self.run(request_id, headers, body, writer)

    async def run(
        self,
        request_id: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answers after the work."""
        await asyncio.sleep(self.work_s)
        writer.write(make_answer(200, headers, b"done " + request_id.encode()))


class Reply:
    """What a requester got."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.error = ""


async def send(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Reply:
    """Sends a request on a new connection, as requesters may."""
    reply = Reply()
    reply.sent_at = clock()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = await read_head(reader)
            if head is None:
                reply.error = "connection ended without an answer"
            else:
                reply.status = int(head.line.split(" ")[1])
                reply.headers = head.values
                reply.body = await read_body(reader, head)
                reply.is_whole = True
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        reply.error = repr(error)
    finally:
        if writer is not None:
            writer.close()
    reply.ended_at = clock()
    return reply


_TAG = re.compile(r"\{\{([#^/]?)([A-Za-z0-9_.@,]+)(\|json)?\}\}")


def _find(fields: object, path: str) -> object:
    if path == ".":
        return fields
    for part in path.split("."):
        if isinstance(fields, list):
            index = int(part)
            fields = fields[index] if index < len(fields) else None
        elif isinstance(fields, dict):
            fields = fields.get(part)
        else:
            return None
    return fields


def render(text: str, fields: dict) -> str:
    """Fills in a template of settings as DEPLOY.md says."""
    section = re.compile(r"\{\{([#^])([A-Za-z0-9_.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def render_section(match: re.Match) -> str:
        value = _find(fields, match[2])
        shown = bool(value) if match[1] == "#" else not value
        return match[3] if shown else ""

    text = section.sub(render_section, text)

    def render_value(match: re.Match) -> str:
        value = _find(fields, match[2])
        if match[3]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return _TAG.sub(render_value, text)


BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "MaxSkewMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetryBudgetExtra": 54,
    "RecoveryS": 12,
    "LeaseMs": 3000,
    "version_ms": 5000,
}


class Instance:
    """An entry instance, started with the command of the deploy file."""

    def __init__(
        self,
        record: Record,
        directory: pathlib.Path,
        name: str,
        host: str,
        ports: list[int],
        store: str,
        zone: str = "z1",
        seeds: tuple[str, ...] = (),
    ) -> None:
        self.record, self.name, self.host = record, name, host
        self.front = f"{host}:{ports[0]}"
        self.ready = f"{host}:{ports[1]}"
        control = f"{host}:{ports[2]}"
        self._fields = {
            "NodeName": name,
            "Zone": zone,
            "Ip": host,
            "Listen": {"Front": self.front, "Ready": self.ready, "Control": control},
            "InternalPorts": [ports[3], ports[5]],
            "Seeds": list(seeds) or [control],
            "Bootstrap": True,
            "Bounds": BOUNDS,
            "Platform": {"Address": store},
        }
        self._settings = directory / f"{name}.json"
        self._log_path = directory / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, *, first: bool = True) -> None:
        """Starts the process and waits until it is ready."""
        import tomllib

        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        self._fields["Bootstrap"] = first
        template = (ROOT / role["template"]).read_text()
        self._settings.write_text(render(template, self._fields))
        words = role["run"].split(" ")
        if words[0] == "python3":
            words[0] = sys.executable
        log = self._log_path.open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", ""),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "TAMARACKTIDE_SETTINGS": str(self._settings),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.write(f"instance {self.name}: started")
        until = clock() + START_TIMEOUT_S
        while clock() < until:
            reply = await send(
                self.ready, "GET", "/readiness", {"Host": "x"}, timeout_s=1.0
            )
            if reply.status == 200:
                self.record.write(f"instance {self.name}: ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready: {self.read_log()[-2000:]}")

    def read_log(self) -> str:
        return self._log_path.read_text(errors="replace")

    def signal(self, number: int) -> None:
        """Sends a signal to the process that `start` started."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)
            name = signal.Signals(number).name
            self.record.write(f"instance {self.name}: {name}")

    async def stop(self) -> None:
        """Ends the process."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()


class CannotRunError(Exception):
    """The case could not run."""


def make_manifest(routes: list[dict], services: list[dict], version: int = 7) -> dict:
    """Returns a manifest as PROTOCOL.md and `fleetbench wire` show it."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


def make_service(name: str, **extra: object) -> dict:
    """Returns a service of a manifest."""
    return {
        "Name": name,
        "HealthPath": "/health",
        "MaxConnections": 100,
        "Protocol": "h1",
        "Tls": False,
        **extra,
    }


def make_route(name: str, prefix: str, kind: str, service: str, **extra: object) -> dict:
    """Returns a route of a manifest."""
    return {
        "Name": name,
        "Host": "ficu95.example",
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 1200,
        "TargetLatencyMs": 150,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": 1,
        **extra,
    }


def main(case) -> None:
    """Runs a case and exits with its verdict.

    Args:
        case: Coroutine function of the record, the temporary folder, and
            whether there is trouble; returns what was broken, empty if
            nothing was.
    """
    folder = pathlib.Path(sys.argv[1])
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write(f"trouble: {trouble}")

    def end(number: int, frame: object) -> None:
        raise KeyboardInterrupt

    # The processes that were started end with this one.
    signal.signal(signal.SIGTERM, end)
    try:
        with tempfile.TemporaryDirectory() as directory:
            broken = asyncio.run(case(record, pathlib.Path(directory), trouble))
    except CannotRunError as error:
        record.write(f"cannot run: {error}")
        print(f"cannot run: {error}")
        sys.exit(2)
    except KeyboardInterrupt:
        record.write("ended from outside")
        sys.exit(2)
    for line in broken:
        record.write(f"BROKEN {line}")
        print(f"BROKEN {line}")
    if not broken:
        record.write("the rule held")
        print("the rule held")
    sys.exit(1 if broken else 0)
