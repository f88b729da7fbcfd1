"""The little of HTTP/1.1 that the stand-ins of this review speak."""

import asyncio
from dataclasses import dataclass, field

Headers = list[tuple[str, str]]
READ_BYTES = 65536


@dataclass
class Message:
    """A request or an answer, with its whole body."""

    first_line: str
    headers: Headers
    body: bytes = b""
    is_complete: bool = True
    end: str = ""
    parts: list[bytes] = field(default_factory=list)

    def find(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        wanted = name.lower()
        return next((v for n, v in self.headers if n.lower() == wanted), None)

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first_line.split()[1])

    @property
    def target(self) -> str:
        """Return the path and query of a request."""
        return self.first_line.split()[1]


def head_bytes(first_line: str, headers: Headers) -> bytes:
    """Return a head as it is sent."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next head, or None if the connection ends before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")[:-2]
    headers = [tuple(map(str.strip, line.split(":", 1))) for line in lines[1:]]
    return Message(lines[0], headers)


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Return the next request with its body, or None at the end."""
    message = await read_head(reader)
    if message is None:
        return None
    length = int(message.find("Content-Length") or 0)
    try:
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


async def read_answer(reader: asyncio.StreamReader) -> Message | None:
    """Return the next answer, and how its body ended, or None if none came."""
    message = await read_head(reader)
    while message is not None and message.status < 200:
        message = await read_head(reader)
    if message is None:
        return None
    try:
        await _read_body(reader, message)
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
        message.is_complete, message.end = False, "closed early"
    except ConnectionError as error:
        message.is_complete, message.end = False, type(error).__name__
    return message


async def _read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of an answer into `message`."""
    if message.find("Transfer-Encoding"):
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        message.end = "last chunk"
    elif message.find("Content-Length") is not None:
        missing = int(message.find("Content-Length"))
        while missing:
            part = await reader.read(min(missing, READ_BYTES))
            if not part:
                raise asyncio.IncompleteReadError(b"", missing)
            message.body += part
            missing -= len(part)
        message.end = "whole length"
    elif message.status not in (204, 304):
        while part := await reader.read(READ_BYTES):
            message.body += part
        message.end = "normal end of the connection"
