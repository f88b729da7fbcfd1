"""HTTP/1.1 messages on asyncio streams, as far as the stand-ins need them."""

import asyncio
import socket
from dataclasses import dataclass

LIMIT_BYTES = 1 << 20
HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True)
class Head:
    """The first line of a message, and its headers by lower-case name."""

    first_line: str
    headers: dict[str, str]

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first_line.split(" ")[1])


@dataclass(frozen=True)
class Request:
    """A received request."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Return the id of the client attempt."""
        return self.headers.get("request-id", "")


@dataclass(frozen=True)
class Answer:
    """
    What a client got for one request.

    Parameters
    ----------
    status : int or None
        None if the connection ended before a head.
    is_complete : bool
        Whether the body ended as its framing says.
    """

    status: int | None
    headers: dict[str, str]
    body: bytes
    is_complete: bool


def free_port(host: str) -> int:
    """Return a TCP port that is free at `host`."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Return the head of the next message, or None if the connection has ended."""
    try:
        raw = await reader.readuntil(HEAD_END)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first_line, *lines = raw.removesuffix(HEAD_END).decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    return Head(first_line, headers)


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request, or None if the connection has ended."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head.first_line.split(" ")
    body = b"".join([part async for part in body_parts(reader, head.headers)])
    return Request(method, target, head.headers, body)


async def body_parts(reader: asyncio.StreamReader, headers: dict[str, str]):
    """
    Yield the parts of a body that has a length or chunks.

    Raises
    ------
    asyncio.IncompleteReadError, ConnectionError
        If the connection ends before the body does.
    """
    if "chunked" not in headers.get("transfer-encoding", ""):
        left = int(headers.get("content-length", "0"))
        while left:
            part = await reader.read(min(left, LIMIT_BYTES))
            if not part:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(part)
            yield part
        return
    while True:
        size_line = await reader.readline()
        if not size_line.endswith(b"\r\n"):
            raise asyncio.IncompleteReadError(size_line, None)
        size = int(size_line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


def chunk(data: bytes) -> bytes:
    """Return `data` as one chunk."""
    return b"%x\r\n" % len(data) + data + b"\r\n"


def answer_head(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} x"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + HEAD_END


async def send_request(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
) -> Answer:
    """Send one request on a new connection, and return its answer."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    try:
        reader, writer = await asyncio.open_connection(host, port, limit=LIMIT_BYTES)
    except ConnectionError:
        return Answer(None, {}, b"", False)
    try:
        writer.write("\r\n".join(lines).encode() + HEAD_END + body)
        head = await read_head(reader)
        if head is None:
            return Answer(None, {}, b"", False)
        return await _read_answer(reader, head)
    except ConnectionError:
        return Answer(None, {}, b"", False)
    finally:
        writer.close()


async def _read_answer(reader: asyncio.StreamReader, head: Head) -> Answer:
    """Return the answer that begins with `head`."""
    parts: list[bytes] = []
    is_complete = True
    try:
        async for part in body_parts(reader, head.headers):
            parts.append(part)
    except (asyncio.IncompleteReadError, ConnectionError):
        is_complete = False
    return Answer(head.status, head.headers, b"".join(parts), is_complete)
