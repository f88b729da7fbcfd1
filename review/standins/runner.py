"""What all runners have in common: a listener, and the requests that they run."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.http import LIMIT_BYTES, Request, answer_head, read_request

# Sends the answer of the runner with an id to a request.
Respond = Callable[[str, Request, asyncio.StreamWriter], Awaitable[None]]


class Runner:
    """
    A runner, which runs what is meant for it.

    Parameters
    ----------
    runs_path : Path
        The file to which it writes a line for each request that it runs.
    """

    def __init__(self, runner_id: str, runs_path: Path, respond: Respond) -> None:
        self._id = runner_id
        self._runs = runs_path.open("a")
        self._respond = respond

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
                self._runs.write(request.id + "\n")
                self._runs.flush()
                await self._respond(self._id, request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def success(runner_id: str, request: Request, length: int | None = None) -> bytes:
    """Return the head of a success; its body comes in chunks if it has no length."""
    framing = {"Transfer-Encoding": "chunked"}
    if length is not None:
        framing = {"Content-Length": str(length)}
    seal = f"{runner_id}.{request.id}"
    headers = {"Request-Id": request.id, "Response-Seal": seal, **framing}
    return answer_head(200, headers)


async def _serve_forever(
    respond: Respond, runner_id: str, host: str, port: str, runs_path: str
) -> None:
    """Serve until the process is killed."""
    runner = Runner(runner_id, Path(runs_path), respond)
    server = await asyncio.start_server(
        runner.serve, host, int(port), limit=LIMIT_BYTES
    )
    async with server:
        await server.serve_forever()


def run(respond: Respond) -> None:
    """Run a runner with the arguments of this process."""
    asyncio.run(_serve_forever(respond, *sys.argv[1:]))
