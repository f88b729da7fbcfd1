"""Tests of neighbours that send more than documents of any site take."""

import tracemalloc
import zlib
from collections.abc import Iterator
from contextlib import contextmanager
from types import SimpleNamespace

import msgspec
import trio
from nose2.tools import params
from returns.result import Failure, Success

from scaleloom_fleet.gateway.documents import MAX_CONFIG_BYTES, MAX_TARGETS_BYTES
from scaleloom_fleet.gateway.interfaces import NewestPage, StoredRecord, Topic
from scaleloom_fleet.gateway.peer_documents import fetch_documents
from scaleloom_fleet.gateway.peer_messages import PeerDocuments
from scaleloom_fleet.gateway.store_access import StoreAccess
from scaleloom_fleet.gateway.store_client import MAX_RESPONSE_BYTES, StoreClient
from scaleloom_fleet.http1.links import OutgoingRequest
from scaleloom_fleet.utils.addresses import Address
from scaleloom_fleet.utils.decompression import decompress
from tests.fixtures.fleets import runs_in_trio
from tests.fixtures.gateways import config, running_site
from tests.fixtures.states import captured_states
from tests.fixtures.stub_server import free_listener, port_of

CALL_LIMIT_S = 5.0
SENT_BYTES = 40_000_000
PART = b"x" * 65_536
PAGE_RECORD_BYTES = 1_000_000
# The parts of a body and the whole of it, at the same time.
MAX_COPIES = 3
CONTENT_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % SENT_BYTES
CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TO_CLOSE = b"HTTP/1.1 200 OK\r\n\r\n"


@contextmanager
def _traced_peak() -> Iterator[list[int]]:
    """Yield a list to which the peak of traced memory is added at the end."""
    peaks: list[int] = []
    tracemalloc.start()
    try:
        yield peaks
    finally:
        peaks.append(tracemalloc.get_traced_memory()[1])
        tracemalloc.stop()


async def _serve(nursery: trio.Nursery, head: bytes, part: bytes) -> Address:
    """Return the address of a server that answers with `head` and much more."""
    listener = free_listener()

    async def answer(stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some()
            try:
                await stream.send_all(head)
                for _ in range(SENT_BYTES // len(part)):
                    await stream.send_all(part)
            except trio.BrokenResourceError:
                return

    nursery.start_soon(trio.serve_listeners, answer, [listener])
    return Address("127.0.0.1", port_of(listener))


@params(
    (CONTENT_LENGTH, PART),
    (CHUNKS, b"%x\r\n%s\r\n" % (len(PART), PART)),
    (TO_CLOSE, PART),
)
def test_an_answer_of_the_store_without_end_is_given_up(head, part):
    @runs_in_trio
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            address = await _serve(nursery, head, part)
            client = StoreClient(address, CALL_LIMIT_S, lambda *arguments: None)
            with _traced_peak() as peaks:
                answer = await client.call(
                    OutgoingRequest(b"GET", b"/", [(b"Host", b"x")])
                )
            nursery.cancel_scope.cancel()
        assert "exceeds the limit" in str(answer.failure())
        assert peaks[0] < MAX_COPIES * MAX_RESPONSE_BYTES

    run()


@runs_in_trio
async def test_a_topic_of_the_store_without_end_is_given_up():
    pages: list[str | None] = []

    class Client:
        async def call(self, after: str | None) -> Success:
            pages.append(after)
            return Success(after)

    def decode(after: str | None) -> Success:
        key = str(len(pages))
        record = StoredRecord(key, bytes(PAGE_RECORD_BYTES), len(pages))
        return Success(NewestPage([record], True, 1 << 30))

    adapter = SimpleNamespace(
        newest_request=lambda topic, after: after, decode_newest=decode
    )
    access = StoreAccess(SimpleNamespace(adapter=adapter))
    result = await access.read_newest(Client(), Topic.TARGETS)
    assert isinstance(result, Failure)
    assert len(pages) * PAGE_RECORD_BYTES < MAX_TARGETS_BYTES + 2 * PAGE_RECORD_BYTES
    assert not access.has_read(Topic.TARGETS)


@runs_in_trio
async def test_a_peer_that_sends_without_end_is_given_up():
    with captured_states() as states:
        async with running_site() as site:
            address = await _serve(site.nursery, b"", PART)
            with _traced_peak() as peaks:
                await fetch_documents(states[0], address)
            assert states[0].routing.version == 1
    assert peaks[0] < SENT_BYTES / 2


@params(
    (b"", {}),
    (b"", {"i-9": b" " * SENT_BYTES}),
    (b" " * SENT_BYTES, {}),
)
def test_documents_of_a_peer_that_grow_beyond_all_bounds_are_not_applied(data, targets):
    @runs_in_trio
    async def run() -> None:
        document = msgspec.json.encode(config(9)) + data
        entries = zlib.compress(msgspec.msgpack.encode(targets)) if targets else b""
        sent = PeerDocuments(zlib.compress(document), 10**9, 0, entries)
        listener = free_listener()

        async def answer(stream: trio.SocketStream) -> None:
            async with stream:
                await stream.receive_some()
                await stream.send_all(msgspec.msgpack.encode(sent))

        with captured_states() as states:
            async with running_site() as site:
                site.nursery.start_soon(trio.serve_listeners, answer, [listener])
                with _traced_peak() as peaks:
                    address = Address("127.0.0.1", port_of(listener))
                    await fetch_documents(states[0], address)
                # What follows the limit is not decompressed.
                assert states[0].routing.version == (1 if data else 9)
                assert "i-9" not in states[0].listed_documents
        assert peaks[0] < MAX_COPIES * MAX_TARGETS_BYTES

    run()


@params(0, 1, MAX_CONFIG_BYTES)
def test_documents_up_to_the_limit_are_decompressed(size):
    document = b"x" * size
    assert decompress(zlib.compress(document), size) == document


@params(
    (zlib.compress(b"xx"), 1),
    (zlib.compress(b"xx")[:-1], 2),
    (b"", 2),
    (b"no", 2),
)
def test_documents_that_are_invalid_or_too_long_are_not_decompressed(data, limit):
    try:
        decompress(data, limit)
    except zlib.error:
        return
    raise AssertionError("decompressed")
