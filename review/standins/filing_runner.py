"""A runner that takes filings with long bodies, and works on each for a while."""

import asyncio
import hashlib
import sys
from pathlib import Path

from standins.http import LIMIT_BYTES, Request, answer_head, read_request

WORK_S = 2.4


class FilingRunner:
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
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Run one request, and answer with the digest of its body."""
        self._runs.write(request.id + "\n")
        self._runs.flush()
        await asyncio.sleep(WORK_S)
        body = hashlib.sha256(request.body).hexdigest().encode()
        headers = {
            "Request-Id": request.id,
            "Response-Seal": f"{self._id}.{request.id}",
            "Content-Length": str(len(body)),
        }
        writer.write(answer_head(200, headers) + body)
        await writer.drain()


async def main(runner_id: str, host: str, port: str, runs_path: str) -> None:
    """Serve until the process is killed."""
    runner = FilingRunner(runner_id, Path(runs_path))
    server = await asyncio.start_server(
        runner.serve, host, int(port), limit=LIMIT_BYTES
    )
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
