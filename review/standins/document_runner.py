"""A runner that answers with long documents, a piece at a time."""

import asyncio

from standins import runner
from standins.http import Request, chunk

PIECE_COUNT = 60
PIECE_BYTES = 50_000
# A document of 3 MB takes 1.5 s.
PIECE_PAUSE_S = 0.025


def piece(runner_id: str, request_id: str, number: int) -> bytes:
    """Return one piece of the document that a run of a request makes."""
    line = f"{runner_id} {request_id} {number:04d}\n".encode()
    return (line * (PIECE_BYTES // len(line) + 1))[:PIECE_BYTES]


def document(runner_id: str, request_id: str) -> bytes:
    """Return the whole body of the answer of one run of a request."""
    pieces = (piece(runner_id, request_id, n) for n in range(PIECE_COUNT))
    return b"".join(pieces)


async def respond(
    runner_id: str, request: Request, writer: asyncio.StreamWriter
) -> None:
    """Send the document."""
    writer.write(runner.success(runner_id, request))
    for number in range(PIECE_COUNT):
        await asyncio.sleep(PIECE_PAUSE_S)
        writer.write(chunk(piece(runner_id, request.id, number)))
        await writer.drain()
    writer.write(chunk(b""))


if __name__ == "__main__":
    runner.run(respond)
