"""A runner that answers short lookups at once."""

import asyncio
import sys
from pathlib import Path

from standins.http import LIMIT_BYTES, Request, answer_head, read_request


class LookupRunner:
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
                writer.write(self._answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _answer(self, request: Request) -> bytes:
        """Run one request, unless another runner is meant, and return the answer."""
        if request.headers.get("expect-instance", self._id) != self._id:
            headers = {"Request-Id": request.id, "Content-Length": "0"}
            return answer_head(421, headers)
        self._runs.write(request.id + "\n")
        self._runs.flush()
        body = f"{self._id} {request.id}".encode()
        headers = {
            "Request-Id": request.id,
            "Response-Seal": f"{self._id}.{request.id}",
            "Content-Length": str(len(body)),
        }
        return answer_head(200, headers) + body


async def main(runner_id: str, host: str, port: str, runs_path: str) -> None:
    """Serve until the process is killed."""
    runner = LookupRunner(runner_id, Path(runs_path))
    server = await asyncio.start_server(
        runner.serve, host, int(port), limit=LIMIT_BYTES
    )
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
