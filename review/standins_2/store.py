"""A stand-in for the platform's store: a keyed log that loses nothing."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qsl, urlsplit

from wire import Message, head_bytes, read_request

PAGE_ITEMS = 500


class Door:
    """One address of the store, and the connections that came in there."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    def close(self) -> None:
        """Refuse new connections, and reset those that are open."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class Store:
    """The topics, and the server that offers them."""

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.calls: list[str] = []
        self._changed = asyncio.Event()

    async def listen(self, host: str, port: int) -> Door:
        """Serve at an address."""
        door = Door()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            """Serve one connection."""
            door.writers.add(writer)
            try:
                await self._serve(reader, writer)
            finally:
                door.writers.discard(writer)

        door.server = await asyncio.start_server(serve, host, port)
        return door

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record to partition 0 of a keyed topic; return its offset."""
        return self._append(f"{topic}/0", [(key, value)])

    def _append(self, name: str, records: list[tuple[str, bytes]]) -> int:
        """Append records, and wake the calls that wait for them."""
        log = self.topics.setdefault(name, [])
        offset = len(log)
        log += records
        self._changed.set()
        self._changed = asyncio.Event()
        return offset

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        try:
            while (request := await read_request(reader)) is not None:
                status, body = await self._answer(request)
                headers = [("Content-Length", str(len(body)))]
                writer.write(head_bytes(f"HTTP/1.1 {status} -", headers) + body)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, bytes]:
        """Return the status and the body of the answer to a call."""
        url = urlsplit(request.target)
        query = dict(parse_qsl(url.query))
        name = f"{query.get('topic')}/{query.get('part', '0')}"
        page = url.path.rsplit("/", 1)[-1]
        self.calls.append(f"{page} {name}")
        if page == "log-append":
            return self._append_call(name, query, request.body)
        if page == "log-read":
            return await self._read_call(name, query)
        if page == "log-newest":
            return self._newest_call(name, query)
        return 404, b""

    def _append_call(self, name: str, query: dict, body: bytes) -> tuple[int, bytes]:
        """Append the records of a call, if its condition holds."""
        log = self.topics.setdefault(name, [])
        if "at" in query and int(query["at"]) != len(log):
            return 412, json.dumps({"end": len(log)}).encode()
        records, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            record = body[position + 4 : position + 4 + length]
            records.append(
                (record[1 : 1 + record[0]].decode(), record[1 + record[0] :])
            )
            position += 4 + length
        offset = self._append(name, records)
        return 200, json.dumps({"offset": offset, "end": len(log)}).encode()

    async def _read_call(self, name: str, query: dict) -> tuple[int, bytes]:
        """Return the records from an offset on, as soon as there are some."""
        begin = int(query["from"])
        end_s = asyncio.get_running_loop().time() + int(query.get("wait-ms", 0)) / 1000
        while len(self.topics.get(name, [])) <= begin:
            left_s = end_s - asyncio.get_running_loop().time()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        log = self.topics.get(name, [])
        body = struct.pack(">QQ", len(log), 0)
        for key, value in log[begin:]:
            record = bytes([len(key.encode())]) + key.encode() + value
            body += struct.pack(">I", len(record)) + record
        return 200, body

    def _newest_call(self, name: str, query: dict) -> tuple[int, bytes]:
        """Return a page of the newest records of each key."""
        log = self.topics.get(name, [])
        newest = {key: (value, at) for at, (key, value) in enumerate(log)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": at}
            for key, (value, at) in sorted(newest.items())
            if value and key > query.get("since-rev", "")
        ]
        page = {
            "items": items[:PAGE_ITEMS],
            "more": len(items) > PAGE_ITEMS,
            "end": len(log),
        }
        return 200, json.dumps(page).encode()
