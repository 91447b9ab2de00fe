"""A requester of streams, which takes a broken stream up elsewhere."""

import asyncio

import standins


class Stream:
    """What a requester holds of one stream.

    Attributes:
        record: Where it writes what it sends and gets.
        request_id: Id of the attempt that brought the first event.
        events: Id and data of each event, in order of arrival.
        tries: Address, id, status and end of each attempt.
    """

    def __init__(self, record: standins.Record, request_id: str) -> None:
        self.record = record
        self.request_id = request_id
        self.events: list[tuple[int, str]] = []
        self.tries: list[tuple[str, str, int, str]] = []
        self.is_complete = False

    @property
    def versions(self) -> set[str]:
        """Software versions of the servers whose events it holds."""
        return {data.split(" ")[1] for _, data in self.events}

    async def attempt(
        self, address: str, path: str, headers: dict[str, str], timeout_s: float
    ) -> None:
        """Sends the request once, after the last event if there is one."""
        number = len(self.tries)
        request_id = self.request_id if not number else f"{self.request_id}r{number}"
        sent = {**headers, "X-Request-Id": request_id}
        if self.events:
            sent["Last-Event-Id"] = str(self.events[-1][0])
            sent["Resumes"] = self.request_id
        else:
            self.request_id = request_id
        after = sent.get("Last-Event-Id", "none")
        self.record.write(f"{request_id} sent to {address}, last event {after}")
        status, end = 0, "complete"
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                host, _, port = address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                lines = [f"POST {path} HTTP/1.1", "Content-Length: 4"]
                lines += [f"{name}: {value}" for name, value in sent.items()]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\nbody")
                head = await standins.read_head(reader)
                if head is None:
                    end = "connection ended without an answer"
                else:
                    status = int(head.line.split(" ")[1])
                    if status == 200:
                        await self._read_events(reader)
                        self.is_complete = True
                    else:
                        end = "refused"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            end = f"broken: {type(error).__name__}"
        except TimeoutError:
            end = "no end in time"
        finally:
            if writer is not None:
                writer.close()
        self.record.write(f"{request_id} answered {status}, {end}")
        self.tries.append((address, request_id, status, end))

    async def _read_events(self, reader: asyncio.StreamReader) -> None:
        pending = b""
        while True:
            size = int(await reader.readline(), 16)
            data = await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return
            pending += data
            while b"\n\n" in pending:
                event, _, pending = pending.partition(b"\n\n")
                lines = dict(
                    line.split(": ", 1) for line in event.decode().split("\n")
                )
                self.events.append((int(lines["id"]), lines["data"]))
