"""A runner that answers with long documents, a piece at a time."""

import asyncio
import sys
from pathlib import Path

from standins.http import LIMIT_BYTES, Request, answer_head, chunk, read_request

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


class DocumentRunner:
    """A runner with one listener."""

    def __init__(self, runner_id: str, runs_path: Path) -> None:
        self._id = runner_id
        self._runs = runs_path.open("a")

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests on one connection."""
        try:
            while (request := await read_request(reader)) is not None:
                if request.headers.get("expect-instance", self._id) != self._id:
                    headers = {"Request-Id": request.id, "Content-Length": "0"}
                    writer.write(answer_head(421, headers))
                    continue
                await self._run(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Run one request, and send its document."""
        self._runs.write(request.id + "\n")
        self._runs.flush()
        headers = {
            "Request-Id": request.id,
            "Response-Seal": f"{self._id}.{request.id}",
            "Content-Type": "text/plain",
            "Transfer-Encoding": "chunked",
        }
        writer.write(answer_head(200, headers))
        for number in range(PIECE_COUNT):
            await asyncio.sleep(PIECE_PAUSE_S)
            writer.write(chunk(piece(self._id, request.id, number)))
            await writer.drain()
        writer.write(chunk(b""))
        await writer.drain()


async def main(runner_id: str, host: str, port: str, runs_path: str) -> None:
    """Serve until the process is killed."""
    runner = DocumentRunner(runner_id, Path(runs_path))
    server = await asyncio.start_server(
        runner.serve, host, int(port), limit=LIMIT_BYTES
    )
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
