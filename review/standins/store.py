"""A stand-in of the platform's store, as PROTOCOL.md and its news describe it.

Objects by kind and name, one counter of revisions, conditional writes, lists,
watches, and the header `Store-Era`. `restore` is the drill: the store comes
back from a copy some seconds old.
"""

import asyncio
import copy
import json
import time
import urllib.parse

from standins import web

PAGE_ITEMS = 500


class Store:
    """The store; what servers and the operator write, they write by `put`."""

    def __init__(self, host: str, port: int) -> None:
        self.era = 1
        self.revision = 1
        self.is_away = False
        self.objects: dict[str, dict[str, dict]] = {}
        self.writes: list[tuple[float, str, str, int]] = []
        self._events: list[tuple[int, str, dict]] = []
        self._oldest = 1
        self._changed = asyncio.Event()
        self.server = web.Server(self._handle, host, port)

    # What the operator and the servers write.

    def put(self, kind: str, name: str, spec: object) -> int:
        """Creates or replaces an object; returns its revision.

        A write that changes nothing does not increase the revision.
        """
        found = self.objects.get(kind, {}).get(name)
        if found is not None and found["Spec"] == spec:
            return found["Metadata"]["Revision"]
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
        self.objects.setdefault(kind, {})[name] = item
        self._publish(kind, item, False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        self.revision += 1
        item = copy.deepcopy(self.objects[kind].pop(name))
        item["Metadata"]["Revision"] = self.revision
        self._publish(kind, item, True)

    # The drill.

    def make_copy(self) -> tuple:
        return copy.deepcopy((self.revision, self.objects))

    def go_away(self) -> None:
        """No call is answered any more, waiting watches are cut off."""
        self.is_away = True
        self.server.stop()

    async def restore(self, saved: tuple | None) -> None:
        """Comes back, from a copy if one is given."""
        if saved is not None:
            self.revision, self.objects = copy.deepcopy(saved)
            self._events = [e for e in self._events if e[0] <= self.revision]
            self.era += 1
        self.is_away = False
        await self.server.start()

    # Calls.

    def _publish(self, kind: str, item: dict, deleted: bool) -> None:
        event = {"Object": copy.deepcopy(item), "Deleted": deleted}
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _reply(self, writer, status: int, body: object) -> None:
        headers = {
            "Content-Type": "application/json",
            "Store-Era": str(self.era),
        }
        await web.reply(writer, status, json.dumps(body).encode(), headers)

    async def _handle(self, request: web.Request, writer) -> None:
        if self.is_away:
            raise web.Abort
        path, _, query = request.target.partition("?")
        parts = [urllib.parse.unquote(p) for p in path.split("/")[2:]]
        values = dict(urllib.parse.parse_qsl(query))
        if request.method == "GET":
            await self._read(parts, values, writer)
        else:
            await self._write(request, parts, values, writer)

    async def _read(self, parts, values, writer) -> None:
        kind = parts[0]
        items = self.objects.get(kind, {})
        if len(parts) > 1:
            found = items.get(parts[1])
            if found is None:
                await self._reply(writer, 404, {"Error": "none"})
            else:
                await self._reply(writer, 200, found)
            return
        if "Watch" in values:
            await self._watch(kind, values, writer)
            return
        names = [n for n in sorted(items) if n > values.get("after", "")]
        page = {
            "items": [items[n] for n in names[:PAGE_ITEMS]],
            "Truncated": len(names) > PAGE_ITEMS,
            "CurrentRev": self.revision,
        }
        await self._reply(writer, 200, page)

    async def _watch(self, kind, values, writer) -> None:
        since = int(values["Watch"])
        era = self.era
        if since > self.revision:
            await self._reply(writer, 410, {"Error": "history gone"})
            return
        ends_at = time.monotonic() + int(values.get("WaitMs", "0")) / 1000
        while True:
            events = [e for r, k, e in self._events if r > since and k == kind]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                break
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                pass
            if self.era != era or self.is_away:
                raise web.Abort
        body = {"events": events, "CurrentRev": self.revision}
        await self._reply(writer, 200, body)

    async def _write(self, request, parts, values, writer) -> None:
        kind = parts[0]
        body = json.loads(request.body or b"{}")
        meta = body.get("Metadata", {})
        name = parts[1] if len(parts) > 1 else meta["Name"]
        found = self.objects.get(kind, {}).get(name)
        expected = meta.get("Revision") or values.get("Revision")
        if request.method == "POST":
            if found is not None:
                await self._reply(writer, 409, found)
                return
        elif found is None:
            await self._reply(writer, 404, {"Error": "none"})
            return
        elif expected and int(expected) != found["Metadata"]["Revision"]:
            await self._reply(writer, 409, found)
            return
        if request.method == "DELETE":
            self.remove(kind, name)
            await self._reply(writer, 200, found)
            return
        self.put(kind, name, body.get("Spec"))
        item = self.objects[kind][name]
        self.writes.append(
            (time.monotonic(), kind, name, item["Metadata"]["Revision"])
        )
        await self._reply(writer, 200, item)
