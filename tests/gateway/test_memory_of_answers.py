"""Tests of gateways whose memory is used up, and of the answers that they pass on."""

import trio
from nose2.tools import params

from scaleloom_core.memory_account import SHORT_MESSAGE_BYTES, STEP_BYTES, MemoryUse
from tests.fixtures import stub_targets
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import ask_on, eventually, request_bytes
from tests.fixtures.memory_sites import LONG_BODY, MemorySite, long_request, memory_site
from tests.fixtures.stub_server import ReceivedRequest, raw_answer
from tests.fixtures.stub_targets import StubTarget

HALF = len(LONG_BODY) // 2
# More than the kernel buffers for a caller that reads nothing.
UNREAD_EVENTS = (b"data: " + b"x" * 1000 + b"\n\n") * 16_000
FAILURE = 500


class HalvedAnswers:
    """
    Targets that send the second half of an answer once they may go on.

    Parameters
    ----------
    may_go_on : trio.Event
        Set for the second half.
    """

    def __init__(self) -> None:
        self.may_go_on = trio.Event()

    async def answer(self, target: StubTarget, request: ReceivedRequest) -> bool:
        """Send the two halves of a long answer."""
        data = raw_answer(200, target.seal(request), LONG_BODY)
        await request.stream.send_all(data[:-HALF])
        await self.may_go_on.wait()
        await request.stream.send_all(data[-HALF:])
        return True


@runs_on_paused_clock
async def test_an_answer_that_does_not_fit_is_passed_on_as_it_comes():
    async with memory_site() as memory:
        halves = HalvedAnswers()
        memory.behave(halves.answer)
        memory.fill()
        port = memory.site.gateways[0].front_port
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            await stream.send_all(request_bytes("/safe/1"))
            begun = await stream.receive_some()
            assert begun.startswith(b"HTTP/1.1 200 ")
            halves.may_go_on.set()
            received = bytearray(begun)
            while len(received.partition(b"\r\n\r\n")[2]) < len(LONG_BODY):
                received += await stream.receive_some()
            assert received.endswith(b"\r\n\r\n" + LONG_BODY)
        memory.empty()
        await memory.wait_released()


@runs_on_paused_clock
async def test_an_answer_that_fits_is_reserved_until_it_is_passed_on():
    async with memory_site() as memory:
        halves = HalvedAnswers()
        memory.behave(halves.answer)
        memory.start("r-1", request_bytes("/safe/1"))

        async def is_reserved() -> bool:
            return memory.state.memory.reserved[MemoryUse.ANSWERS] >= HALF

        await eventually(is_reserved)
        assert not memory.answers
        halves.may_go_on.set()
        await memory.wait_answers(1)
        assert memory.answers["r-1"].body == LONG_BODY
        await memory.wait_released()


async def _never_read(memory: MemorySite, data: bytes) -> None:
    """Send a request, and read nothing of the answer until something is reserved."""
    port = memory.site.gateways[0].front_port
    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
        await stream.send_all(data)

        async def is_reserved() -> bool:
            return memory.long_bytes > SHORT_MESSAGE_BYTES

        await eventually(is_reserved)


@params("/safe/1", "/stream-once/1", "/stream/1")
def test_what_waits_for_a_slow_caller_is_reserved(path):
    async def answer(target: StubTarget, request: ReceivedRequest) -> bool:
        data = raw_answer(200, target.seal(request), UNREAD_EVENTS)
        await request.stream.send_all(data)
        return True

    @runs_on_paused_clock
    async def run() -> None:
        async with memory_site() as memory:
            memory.behave(answer)
            await _never_read(memory, request_bytes(path))
            await memory.wait_released()

    run()


@params(
    (len(LONG_BODY), False, FAILURE),
    (STEP_BYTES, True, FAILURE),
    (len(LONG_BODY), True, 502),
)
def test_a_long_failure_is_forwarded_if_it_fits(size, is_full, status):
    body = bytes(size)

    async def answer(target: StubTarget, request: ReceivedRequest) -> bool:
        data = raw_answer(FAILURE, target.seal(request), body)
        await request.stream.send_all(data)
        return True

    @runs_on_paused_clock
    async def run() -> None:
        async with memory_site() as memory:
            memory.behave(answer)
            if is_full:
                memory.fill()
            await memory.ask("r-1", request_bytes("/once/1"), "GET")
            received = memory.answers["r-1"]
            assert (received.status, received.is_complete) == (status, True)
            assert (received.body == body) is (status == FAILURE)
            if is_full:
                memory.empty()
            await memory.wait_released()

    run()


@params(("/stream-once/1", True), ("/stream/1", False))
def test_a_body_is_kept_only_while_it_may_be_sent_again(path, is_released):
    @runs_on_paused_clock
    async def run() -> None:
        async with memory_site() as memory:
            memory.behave(stub_targets.stall_stream)
            port = memory.site.gateways[0].front_port
            async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                await stream.send_all(long_request(path, "r-1"))
                assert b" 200 " in await stream.receive_some()
                reserved = memory.state.memory.reserved[MemoryUse.REQUESTS]
                assert bool(reserved) is not is_released
            await memory.wait_released()

    run()


@runs_on_paused_clock
async def test_long_answers_on_one_connection_arrive_whole():
    async def answer(target: StubTarget, request: ReceivedRequest) -> bool:
        size = int(request.target.rpartition("/")[2])
        data = raw_answer(200, target.seal(request), bytes(size))
        await request.stream.send_all(data)
        return True

    async with memory_site() as memory:
        memory.behave(answer)
        port = memory.site.gateways[0].front_port
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            for size in (0, 1, STEP_BYTES, STEP_BYTES + 1, len(LONG_BODY), 2_000_000):
                for path in ("safe", "once", "stream-once"):
                    data = request_bytes(f"/{path}/{size}", f"r-{path}-{size}")
                    received = await ask_on(stream, data, "GET")
                    assert received.body == bytes(size)


@runs_on_paused_clock
async def test_an_incomplete_event_is_reserved():
    may_go_on = trio.Event()
    event = b"id: 1\ndata: " + LONG_BODY + b"\n\n"

    async def answer(target: StubTarget, request: ReceivedRequest) -> bool:
        head = stub_targets.stream_head(target, request)
        await request.stream.send_all(head + stub_targets.chunk(event[:-1]))
        await may_go_on.wait()
        await request.stream.send_all(stub_targets.chunk(event[-1:]) + b"0\r\n\r\n")
        return True

    async with memory_site() as memory:
        memory.behave(answer)
        memory.start("r-1", request_bytes("/stream/1"))

        async def is_reserved() -> bool:
            return memory.state.memory.reserved[MemoryUse.ANSWERS] >= len(LONG_BODY)

        await eventually(is_reserved)
        may_go_on.set()
        await memory.wait_answers(1)
        assert memory.answers["r-1"].body == event
        await memory.wait_released()
