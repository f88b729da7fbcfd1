"""A runner that answers short lookups at once."""

import asyncio

from standins import runner
from standins.http import Request


async def respond(
    runner_id: str, request: Request, writer: asyncio.StreamWriter
) -> None:
    """Answer with the ids of the runner and the request."""
    body = f"{runner_id} {request.id}".encode()
    writer.write(runner.success(runner_id, request, len(body)) + body)


if __name__ == "__main__":
    runner.run(respond)
