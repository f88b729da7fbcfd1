"""Tests that no message of a neighbour makes a task of the gateway fail."""

import json
import random
import socket
import struct
import zlib
from collections.abc import AsyncIterator, Iterable, Iterator
from contextlib import asynccontextmanager

import msgspec
import trio
import trio.testing
from nose2.tools import params

from scaleloom_fleet.gateway.document_copies import TargetsCopy
from scaleloom_fleet.gateway.origin_messages import (
    PREFIX,
    AnnouncedOrigins,
    OriginQuery,
)
from scaleloom_fleet.gateway.peer_documents import fetch_documents
from scaleloom_fleet.utils.addresses import Address
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    FIRST_GATEWAY_HOST,
    TARGETS_TOPIC,
    Site,
    ask_raw,
    config,
    entry,
    eventually,
    request_bytes,
    running_site,
)
from tests.fixtures.states import captured_states
from tests.fixtures.stub_server import free_listener, port_of, raw_answer

HUGE = 2**63 - 1
NEWEST_VERSION = 2**62
ODD_VALUES = (
    *(None, True, -1, 0, 1, HUGE, -HUGE, 2**64 - 1, 1e300, -1e300, 0.5),
    *("", "x", "\x00", "é" * 300, "127.0.0.1:0", "9.9.9.9:9"),
    *([], {}, [[]], [None], {"": None}),
)
# JSON alone can write these.
ODD_JSON = ("1e999", "-1e999", "9" * 5000, '"\\ud800"', "[" * 3000, "NaN")
KEYS = (
    *("", "x", "é" * 100, "evacuate/", "evacuate/b", "rollout/"),
    *("rollout/plain", "plain", "9.9.9.9:9", "127.0.0.1:x", "config", "targets"),
    *("evacuations", "rollouts", "holders", "op", "g-1", "a b"),
    "0123456789abcdef/ended/0123456789abcdef",
    "0123456789abcdef/tried/ffffffffffffffff",
    "ffffffffffffffff/tried/0000000000000001",
)
OTHER_TOPICS = (
    *("keyed.scaleloom-routers", "keyed.scaleloom-copies", "keyed.scaleloom-holders"),
    *("keyed.scaleloom-rollouts", "keyed.scaleloom-crashes", "keyed.op"),
)
ORDER = {"service": "plain", "target-version": "v2", "duration-s": 5.0}
# As the gateway sends it: the sender, its group, versions, load, and what follows.
REPORT = [
    ["127.0.0.9:9000", 1, True],
    ["a", 0],
    *(1, 1, 1, 10),
    {1: 1},
    [[1, 1]],
    {1: [1, 0, 1, 100]},
    0,
    [["127.0.0.8:9000", 1, True]],
    [1, ["b"]],
    [1, []],
    [[["plain", 1, 1, 100, [], []], False, 0, []]],
    [[1, 1]],
]
DOCUMENTS = [zlib.compress(b"{}"), 5, 10, zlib.compress(b"\x80"), True, ["i-1"]]
RANDOM_COUNT = 300
SETTLE_S = 0.5
DAMAGED_CALLERS = 100


@asynccontextmanager
async def undisturbed_site() -> AsyncIterator[Site]:
    """Yield a site whose gateway serves afterwards."""
    async with running_site() as site:
        yield site
        site.store.reframe = None
        for runner in site.runners:
            runner.behaviour = None
            site.put_entry(runner, seq=9)
        site.store.put(CONFIG_TOPIC, "config", config(NEWEST_VERSION))

        async def serves() -> bool:
            return (await site.ask("/safe/1", "r-after")).status == 200

        await eventually(serves, 30.0)


def replaced(document: object, path: tuple, value: object) -> object:
    """Return a copy of `document` with `value` at `path`."""
    if not path:
        return value
    copy = dict(document) if isinstance(document, dict) else list(document)
    copy[path[0]] = replaced(document[path[0]], path[1:], value)
    return copy


def paths(document: object) -> Iterator[tuple]:
    """Yield the path of each part of `document`."""
    yield ()
    is_list = isinstance(document, list)
    parts = dict(enumerate(document)) if is_list else document
    if isinstance(parts, dict):
        for key, part in parts.items():
            for path in paths(part):
                yield (key, *path)


def odd_jsons(document: object) -> Iterator[bytes]:
    """Yield `document` as JSON with each part replaced by odd values."""
    mark = "--mark--"
    for path in paths(document):
        text = json.dumps(replaced(document, path, mark))
        for value in (*map(json.dumps, ODD_VALUES), *ODD_JSON):
            yield text.replace(f'"{mark}"', value).encode()


def odd_packs(document: object) -> Iterator[bytes]:
    """Yield `document` as msgpack with each part replaced by odd values."""
    for path in paths(document):
        for value in (*ODD_VALUES, b"", b"\x00" * 9):
            yield msgspec.msgpack.encode(replaced(document, path, value))


def damaged(whole: bytes) -> Iterator[bytes]:
    """Yield `whole` with random bytes changed, cut off, or doubled."""
    rng = random.Random(len(whole))
    for _ in range(RANDOM_COUNT):
        data = bytearray(whole)
        for _ in range(rng.randint(1, 4)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        yield bytes(data[: rng.randint(0, 2 * len(data))])


async def put_all(site: Site, topic: str, key: str, values: Iterable[bytes]) -> None:
    """Append records, and wait until they were read."""
    for value in values:
        site.store.topic(topic).append(key, value)
    await trio.sleep(SETTLE_S)


def odd_configs() -> Iterator[bytes]:
    """Yield odd configurations, each newer than the one before."""
    whole = config(1)
    whole["routes"] = whole["routes"][:1]
    whole["services"][0]["engine"] = {"slots": 8, "kv-capacity": 1000}
    for number, document in enumerate(odd_jsons(whole)):
        yield document.replace(b'"version": 1', b'"version": %d' % (number + 2))


@runs_on_paused_clock
async def test_odd_configurations():
    with captured_states() as states:
        async with undisturbed_site() as site:
            for number, document in enumerate(odd_configs()):
                site.store.topic(CONFIG_TOPIC).append("config", document)
                if number % 20 == 0:
                    await trio.sleep(0.2)
                    await site.ask("/safe/1", f"r-{number}")
            assert states[0].routing.version > number / 2


@runs_on_paused_clock
async def test_odd_entries_of_targets():
    async with undisturbed_site() as site:
        document = {**entry(site.runners[0]), "version": "v1", "born": 1}
        for number, odd in enumerate(odd_jsons(document)):
            site.store.topic(TARGETS_TOPIC).append(f"i-odd-{number % 7}", odd)
            if number % 7 == 0:
                await trio.sleep(0.06)
                await site.ask("/safe/1", f"r-{number}")


@params(*OTHER_TOPICS)
@runs_on_paused_clock
async def test_odd_records_of_other_topics(topic):
    packs = [*odd_packs([1, ["b"]]), *odd_packs([1, [["plain", "v2", 5.0, 1]]])]
    targets = msgspec.msgpack.encode(TargetsCopy(1, {"i-1": b"{}"}))
    values = [
        *(b"", b"x", b"\xff", b"[" * 3000, zlib.compress(b"")),
        *odd_jsons(ORDER),
        *(zlib.compress(pack) for pack in (*packs, targets, *damaged(targets))),
    ]
    async with undisturbed_site() as site:
        for key in KEYS:
            chosen = random.Random(key).sample(values, 12)
            await put_all(site, topic, key, chosen)


def _reframed(number: int, answer: bytes) -> bytes:
    """Return one of many odd forms of an answer of the store."""
    head, _, body = answer.partition(b"\r\n\r\n")
    forms = [
        b"",
        body,
        answer[: len(answer) // 2],
        raw_answer(200, {}, b""),
        raw_answer(200, {}, body[: len(body) // 2]),
        raw_answer(200, {}, body + body),
        raw_answer(200, {}, b"\xff" * 40),
        raw_answer(200, {}, b"[" * 100_000),
        raw_answer(200, {}, b'{"items": [], "more": true, "end": 1e999}'),
        raw_answer(200, {}, b'{"items": [], "more": true, "end": -5}'),
        raw_answer(200, {}, b'{"items": [], "more": false, "end": %d}' % 2**70),
        raw_answer(200, {}, struct.pack(">QQ", 2**64 - 1, 2**64 - 1)),
        raw_answer(200, {}, struct.pack(">QQI", 1, 0, 2**32 - 1)),
        raw_answer(200, {}, struct.pack(">QQIB", 1, 0, 0, 9)),
        raw_answer(200, {}, struct.pack(">QQIBB", 1, 0, 2, 1, 255)),
        b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 4500 + b"\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=" + b"9" * 400 + b"\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffffff",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\n\r\n" + answer,
        b"HTTP/9.9 999 \xff\r\n\xff: \xff\r\n\r\n",
        b"\x00" * 70_000,
        answer + answer,
    ]
    return forms[number % len(forms)]


@runs_on_paused_clock
async def test_odd_answers_of_the_store():
    counts = 0

    def reframe(page: str, answer: bytes) -> bytes:
        nonlocal counts
        counts += 1
        return _reframed(counts, answer)

    async with undisturbed_site() as site:
        site.store.reframe = reframe
        for number in range(12):
            await trio.sleep(0.5)
            site.store.put(CONFIG_TOPIC, "config", config(number + 2))
    assert counts > 48


def odd_datagrams() -> Iterator[bytes]:
    """Yield datagrams that peers may not send."""
    report = msgspec.msgpack.encode(REPORT)
    yield from (b"", PREFIX, PREFIX + b"\x91\x01", b"\xc0", b"\x91" * 3000)
    yield from odd_packs(REPORT)
    yield from damaged(report)
    messages = (
        AnnouncedOrigins("v1", b"\x01" * 12),
        OriginQuery(-1, "plain"),
        OriginQuery(2**64 - 1, ""),
        OriginQuery(0, "x" * 900),
    )
    for message in messages:
        packed = msgspec.msgpack.encode(message)
        yield PREFIX + packed
        decoded = msgspec.msgpack.decode(packed)
        yield from (PREFIX + odd for odd in odd_packs(decoded))
        yield from (PREFIX + odd for odd in damaged(packed))


@runs_on_paused_clock
async def test_odd_datagrams():
    async with undisturbed_site() as site:
        address = (FIRST_GATEWAY_HOST, site.peer_port)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.bind((FIRST_GATEWAY_HOST, 0))
            for number, datagram in enumerate(odd_datagrams()):
                sender.sendto(datagram, address)
                if number % 50 == 0:
                    await trio.sleep(0.1)
                    await site.ask("/safe/1", f"r-{number}")
            await trio.sleep(3.0)


@runs_on_paused_clock
async def test_odd_queries_and_documents_of_peers():
    with captured_states() as states:
        async with undisturbed_site() as site:
            for query in (*odd_packs([1, 1, 1]), b"\xff" * 4000):
                await _send_to_peer_port(site, query)
            answers = [
                *odd_packs(DOCUMENTS),
                *damaged(msgspec.msgpack.encode(DOCUMENTS)),
            ]
            await _fetch_all(states[0], answers)


async def _send_to_peer_port(site: Site, query: bytes) -> None:
    """Send a query for documents, and close."""
    stream = await trio.open_tcp_stream(FIRST_GATEWAY_HOST, site.peer_port)
    async with stream:
        await stream.send_all(query)
        await trio.testing.wait_all_tasks_blocked()


async def _fetch_all(state, answers: Iterable[bytes]) -> None:
    """Let a router fetch documents from a peer that sends each of `answers`."""
    listener = free_listener()
    peer = Address(FIRST_GATEWAY_HOST, port_of(listener))
    left = iter(answers)

    async def answer(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(current)
        await stream.aclose()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, answer, [listener])
        for current in left:
            await fetch_documents(state, peer)
        nursery.cancel_scope.cancel()


def odd_heads() -> Iterator[bytes]:
    """Yield requests and answers whose heads are odd."""
    values = (
        *(b"", b"-1", b"1e999", b"9" * 3000, b"\xff", b"\xb2", b"0x10", b"1,1", b" "),
        *(b"nan", b"inf", b"-0", b"1_0", b"\t", b'"', b"a:1,b:", b":,", b"," * 500),
    )
    names = (
        *(b"Deadline-Ms", b"Retry-After", b"Content-Length", b"Last-Event-Id"),
        *(b"Prompt-Prefix", b"Token-Count", b"Keep-Alive", b"Server-Leaving"),
        *(b"Idempotency-Key", b"Authorization", b"Request-Id", b"Expect-Instance"),
        *(b"Transfer-Encoding", b"Host", b"Priority", b"Model", b"Begun-By"),
    )
    for name in names:
        for value in values:
            yield b"%s: %s\r\n" % (name, value)
            yield b"%s: %s\r\n%s: %s\r\n" % (name, value, name, value[::-1])


@runs_on_paused_clock
async def test_odd_heads_of_callers():
    async def answer(runner, asked) -> bool:
        await asked.stream.send_all(raw_answer(200, runner.seal(asked), b"x"))
        return True

    async with undisturbed_site() as site:
        for runner in site.runners:
            runner.behaviour = answer
        port = site.gateways[0].front_port
        for number, line in enumerate(odd_heads()):
            path = ("/safe/1", "/once/1", "/stream/1")[number % 3]
            usual = request_bytes(path, f"r-{number}")
            first, _, rest = usual.partition(b"\r\n")
            await ask_raw(port, first + b"\r\n" + line + rest)
        for data in (*damaged(request_bytes("/safe/1")),)[:DAMAGED_CALLERS]:
            stream = await trio.open_tcp_stream(FIRST_GATEWAY_HOST, port)
            async with stream:
                await stream.send_all(data)
                await trio.testing.wait_all_tasks_blocked()


@params("/safe/1", "/once/1", "/stream/1")
@runs_on_paused_clock
async def test_odd_heads_of_targets(path):
    lines = iter(odd_heads())

    async def answer(runner, asked) -> bool:
        line = next(lines, b"")
        whole = raw_answer(200, runner.seal(asked), b"x")
        first, _, rest = whole.partition(b"\r\n")
        await asked.stream.send_all(first + b"\r\n" + line + rest)
        return False

    async with undisturbed_site() as site:
        for runner in site.runners:
            runner.behaviour = answer
        for number in range(200):
            await site.ask(path, f"r-{number}")
