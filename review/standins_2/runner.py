"""
A stand-in for a runner: a process of its own that ends as the platform's do.

It writes its entry, says `draining` at SIGTERM, serves on, and ends. What it does with
a request is in the last segments of the path, such as ``/unframed/parts=4/gap=250``.
"""

import asyncio
import json
import os
import signal
import struct
import sys
import time
from pathlib import Path

from wire import Message, head_bytes, read_answer, read_request


class Runner:
    """One runner, described by the fields of its settings."""

    def __init__(self, settings: dict) -> None:
        self.settings = settings
        self.id = settings["id"]
        self.state = "ready"
        self.seq = 0
        self._record = Path(settings["record"]).open("a", buffering=1)

    def note(self, event: str, **fields: object) -> None:
        """Add a line to the record."""
        line = {"t": round(time.time(), 3), "runner": self.id, "event": event, **fields}
        self._record.write(json.dumps(line) + "\n")

    async def run(self) -> None:
        """Serve until the planned end."""
        settings = self.settings
        server = await asyncio.start_server(
            self._serve, settings["host"], settings["port"], limit=1 << 20
        )
        stop = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
        async with server:
            beats = asyncio.create_task(self._beat())
            await stop.wait()
            self.state = "draining"
            if settings.get("says_draining", True):
                await self._write_entry()
            else:
                beats.cancel()
                await self._write_entry(is_gone=True)
            self.note("leaving, taken by the store")
            await asyncio.sleep(settings["drain_s"] + settings["longer_s"])
            if settings.get("says_draining", True):
                await self._write_entry(is_gone=True)
            self.note("ends")
            os._exit(0)

    async def _beat(self) -> None:
        """Write the entry at each heartbeat."""
        while True:
            await self._write_entry()
            await asyncio.sleep(self.settings["heartbeat_s"])

    async def _write_entry(self, is_gone: bool = False) -> None:
        """Write or delete the entry; return once the store has taken it."""
        settings, self.seq = self.settings, self.seq + 1
        entry = {
            "service": settings["service"],
            "address": f"{settings['host']}:{settings['port']}",
            "zone": settings["zone"],
            "version": settings.get("version", "v1"),
            "slots": settings["slots"],
            "state": self.state,
            "cold-left-ms": 0,
            "seq": self.seq,
        }
        value = b"" if is_gone else json.dumps(entry).encode()
        record = bytes([len(self.id)]) + self.id.encode() + value
        body = struct.pack(">I", len(record)) + record
        host, port = settings["store"].split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        headers = [("Host", "store"), ("Content-Length", str(len(body)))]
        line = "POST /scaleloom/log-append?topic=keyed.servers&part=0 HTTP/1.1"
        writer.write(head_bytes(line, headers) + body)
        await read_answer(reader)
        writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._answer(request, writer):
                    break
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the connection is kept."""
        request_id = request.find("Request-Id") or ""
        same = [("Request-Id", request_id)]
        if request.find("Expect-Instance") not in (None, self.id):
            headers = [*same, ("Instance-Id", self.id), ("Content-Length", "0")]
            writer.write(head_bytes("HTTP/1.1 421 Misdirected Request", headers))
            await writer.drain()
            return True
        words = request.target.strip("/").split("/")[1:]
        plan = dict(word.partition("=")[::2] for word in words)
        self.note("run", id=request_id, target=request.target)
        same.append(("Response-Seal", f"seal-of-{self.id}-{request_id}"))
        return await self._play(plan, request_id, same, writer)

    async def _play(
        self,
        plan: dict[str, str],
        request_id: str,
        headers: list[tuple[str, str]],
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer as the plan says; return whether the connection is kept."""
        parts, gap_s = int(plan.get("parts", 4)), int(plan.get("gap", 50)) / 1000
        is_stream, is_framed = "stream" in plan, "unframed" not in plan
        kind = "text/event-stream" if is_stream else "application/octet-stream"
        headers = [*headers, ("Content-Type", kind)]
        if is_framed:
            headers.append(("Transfer-Encoding", "chunked"))
        else:
            headers.append(("Connection", "close"))
        await asyncio.sleep(int(plan.get("first", 0)) / 1000)
        writer.write(head_bytes("HTTP/1.1 200 OK", headers))
        for number in range(1, parts + 1):
            text = f"part {number} of {parts} of {request_id}"
            data = f"id: {number}\ndata: {text}\n\n" if is_stream else f"[{text}]\n"
            raw = data.encode()
            writer.write(b"%x\r\n%s\r\n" % (len(raw), raw) if is_framed else raw)
            await writer.drain()
            if self.settings.get("notes_parts", True):
                self.note("sent", id=request_id, part=number, of=parts)
            if number < parts:
                await asyncio.sleep(gap_s)
        if is_framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        self.note("whole", id=request_id, parts=parts)
        return is_framed


if __name__ == "__main__":
    asyncio.run(Runner(json.loads(sys.argv[1])).run())
