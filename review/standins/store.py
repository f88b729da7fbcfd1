"""The platform's store: keyed topics, appended to, read and listed over HTTP."""

import asyncio
import base64
import json
import struct
import time
from urllib.parse import parse_qsl

from standins.http import LIMIT_BYTES, Request, answer_head, free_port, read_request

CONFIG_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"
PAGE_LIMIT = 500
OFFSETS_BYTES = 16


def _tells_of_change(request: Request, body: bytes) -> bool:
    """Return whether an answer brings records of the operator to one who waits."""
    is_wait = "log-read" in request.target and CONFIG_TOPIC in request.target
    return is_wait and len(body) > OFFSETS_BYTES


class Store:
    """
    The store of one deployment, which answers every call at once.

    Parameters
    ----------
    loses_changes : bool
        Whether the answers that tell of a new configuration are lost. A connection
        that has lost an answer says nothing more.
    lost_count, sent_count : int
        How many answers were lost, and how many were sent.
    """

    def __init__(self, host: str) -> None:
        self.loses_changes = False
        self.lost_count = self.sent_count = 0
        self.host = host
        self.port = free_port(host)
        self._records: dict[tuple[str, str], list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Event()

    async def listen(self) -> None:
        """Accept connections of gateways."""
        await asyncio.start_server(self._serve, self.host, self.port, limit=LIMIT_BYTES)

    def put(self, topic: str, key: str, document: object) -> None:
        """Write `document` under `key` of a topic, or delete the key if it is None."""
        value = b"" if document is None else json.dumps(document).encode()
        self._append((topic, "0"), key, value)

    def _append(self, place: tuple[str, str], key: str, value: bytes) -> None:
        """Append one record to a partition."""
        self._records.setdefault(place, []).append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls on one connection."""
        try:
            while (request := await read_request(reader)) is not None:
                status, body = await self._answer(request)
                if self.loses_changes and _tells_of_change(request, body):
                    self.lost_count += 1
                    await reader.read()
                    return
                self.sent_count += 1
                head = answer_head(status, {"Content-Length": str(len(body))})
                writer.write(head + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # At the end of a run the loop cancels what still waits.
            pass
        finally:
            writer.close()

    async def _answer(self, request: Request) -> tuple[int, bytes]:
        """Return the status and the body of the answer to one call."""
        path, _, text = request.target.partition("?")
        query = dict(parse_qsl(text))
        place = (query["topic"], query.get("part", "0"))
        page = path.rpartition("/")[2]
        if page == "log-append":
            return self._take(place, query, request.body)
        if page == "log-newest":
            return self._newest(place, query.get("since-rev", ""))
        if page == "log-read":
            return await self._read(place, query)
        return 404, b""

    def _take(
        self, place: tuple[str, str], query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        """Append the records in `body`, if the partition ends where asked."""
        first = len(self._records.get(place, []))
        if int(query.get("at", first)) != first:
            return 412, json.dumps({"end": first}).encode()
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            record = body[position + 4 : position + 4 + length]
            key_end = 1 + record[0]
            self._append(place, record[1:key_end].decode(), record[key_end:])
            position += 4 + length
        end = len(self._records.get(place, []))
        return 200, json.dumps({"offset": first, "end": end}).encode()

    def _newest(self, place: tuple[str, str], after: str) -> tuple[int, bytes]:
        """Return the newest record of each key behind the key `after`."""
        records = self._records.get(place, [])
        newest = {key: (n, value) for n, (key, value) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value and key > after
        ]
        page = {"items": items[:PAGE_LIMIT], "more": len(items) > PAGE_LIMIT}
        return 200, json.dumps({**page, "end": len(records)}).encode()

    async def _read(
        self, place: tuple[str, str], query: dict[str, str]
    ) -> tuple[int, bytes]:
        """Return the records from an offset on, once there are any."""
        start = int(query["from"])
        until_s = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while len(self._records.get(place, [])) <= start:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        records = self._records.get(place, [])
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            record = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(record)) + record
        return 200, body
