"""Tests of targets that read nothing of a large body for a while, and then go on."""

import re
import socket
from collections.abc import Awaitable, Callable

import trio
from nose2.tools import params

from tests.fixtures.fleets import runs_in_trio
from tests.fixtures.gateways import Site, eventually, running_site
from tests.fixtures.stub_server import free_listener, port_of
from tests.fixtures.stub_targets import StubTarget, chunk, event

BODY = b"x" * 60_000
# Takes up less than the body.
RECEIVE_BUFFER_BYTES = 4096
READ_BYTES = 65536
# Longer than sent bytes may stay unacknowledged; the kernel's timers run on real time.
LONG_SILENCE_S = 1.3
SHORT_SILENCE_S = 0.3
OK = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-slow\r\n"
STREAM = OK + b"Transfer-Encoding: chunked\r\n\r\n" + chunk(event(1))
STREAM_END = chunk(event(2)) + b"0\r\n\r\n"
SHORT = OK + b"Content-Length: 2\r\n\r\nok"

Handler = Callable[[trio.SocketStream], Awaitable[None]]


def _reading_late(before: bytes, after: bytes, silence_s: float) -> Handler:
    """Return a handler that sends a part of the answer before it reads the body."""

    async def answer_once(stream: trio.SocketStream) -> None:
        received = b""
        while b"\r\n\r\n" not in received:
            received += await stream.receive_some(READ_BYTES)
        head, _, begun = received.partition(b"\r\n\r\n")
        request_id = re.search(rb"(?i)request-id: (\S+)", head)[1]
        left = len(BODY) - len(begun) if head.startswith(b"POST") else 0
        await stream.send_all(before.replace(b"%s", request_id))
        if left:
            await trio.sleep(silence_s)
        while left > 0:
            left -= len(await stream.receive_some(READ_BYTES))
        await stream.send_all(after.replace(b"%s", request_id))

    async def handle(stream: trio.SocketStream) -> None:
        async with stream:
            try:
                await answer_once(stream)
            except trio.BrokenResourceError:
                pass

    return handle


async def _serve(site: Site, handle: Handler) -> None:
    """Replace the target by one that reads late, and wait until that is known."""
    listener = free_listener()
    listener.socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    site.nursery.start_soon(trio.serve_listeners, handle, [listener])
    site.drop_entry(site.runners[0])
    site.put_entry(StubTarget("slow", port_of(listener)))

    async def is_listed() -> bool:
        answer = await site.ask("/safe/0", "r-0")
        return answer.headers.get("response-seal") == "seal-slow"

    await eventually(is_listed)


@params(
    ("/stream-once/1", STREAM, STREAM_END, SHORT_SILENCE_S),
    ("/once/1", b"", SHORT, SHORT_SILENCE_S),
    ("/stream-once/1", STREAM, STREAM_END, LONG_SILENCE_S),
    ("/stream-once/1", b"", STREAM + STREAM_END, LONG_SILENCE_S),
    ("/once/1", b"", SHORT, LONG_SILENCE_S),
)
def test_requests_end_as_their_target_reads_nothing_for_a_while(
    path, before, after, silence_s
):
    @runs_in_trio
    async def run() -> None:
        async with running_site(runner_count=1) as site:
            await _serve(site, _reading_late(before, after, silence_s))
            answer = await site.ask(path, method="POST", body=BODY)
        assert (answer.status, answer.is_complete) == (200, True), answer

    run()
