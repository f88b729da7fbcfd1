"""A runner that takes filings with long bodies, and works on each for a while."""

import asyncio
import hashlib

from standins import runner
from standins.http import Request

WORK_S = 2.4


async def respond(
    runner_id: str, request: Request, writer: asyncio.StreamWriter
) -> None:
    """Answer with the digest of the body."""
    await asyncio.sleep(WORK_S)
    body = hashlib.sha256(request.body).hexdigest().encode()
    writer.write(runner.success(runner_id, request, len(body)) + body)


if __name__ == "__main__":
    runner.run(respond)
