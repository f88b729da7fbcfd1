"""Callers of the service with long messages."""

import random

import h11
import trio

from scaleloom_fleet.http1.links import body_delimiter
from soak.callers import THINK_TIME_S, CallerResult, Observations
from soak.long_answer_checks import find_long_problem
from soak.long_routes import (
    FILE_KINDS,
    FILE_TIMEOUT_S,
    LONG_KINDS,
    LONG_MAX_BODY_BYTES,
    UPLOAD_KINDS,
    UPLOAD_RANGE_BYTES,
)
from soak.observed_streams import ObservedStream
from soak.processes import GatewayProcess
from soak.resuming_callers import GatewayLinks
from soak.site import SoakSite
from soak.targets import GATEWAY_HEADER
from soak.upload_checks import find_upload_problem
from tests.fixtures.gateways import Answer, request_bytes
from tests.fixtures.stub_targets import chunk

LONG_CALLER_COUNT = 16
FILE_CALLER_COUNT = 40
UPLOAD_CALLER_COUNT = 12
PATIENCE_S = 1.5
# Those that may be sent to a second target more often.
ASKED_KINDS = ("long-safe", *LONG_KINDS)
LONG_TIMEOUT_S = 2.0
# A caller takes no more of an answer to pieces than a long one has.
MAX_EVENTS = 4_000
MAX_EVENTS_IN_TURN = 100
KEPT_BYTES = 100
READ_BYTES = 65_536
# More than the 1 MiB that a gateway holds back for a second attempt, and less.
LONG_RANGE_PARTS = (1_500, 3_000)
USUAL_RANGE_PARTS = (10, 60)
CHUNKED_SHARE = 0.4
CHUNK_BYTES = 60_000
BODY_RANGE_BYTES = (200_000, LONG_MAX_BODY_BYTES)
NEW_CONNECTION_SHARE = 0.3
_USUAL_DEADLINE = b"Deadline-Ms: 2000"
_BODY = b"x" * max(UPLOAD_RANGE_BYTES)


async def ask_for_long_answers(
    site: SoakSite, observations: Observations, number: int
) -> None:
    """Ask for long answers, one after another."""
    rng = random.Random(site.rng.random())
    links = GatewayLinks()
    for iteration in range(1_000_000):
        gateway, kind = rng.choice(site.gateways), rng.choice(ASKED_KINDS)
        request_id = f"{kind}-{number}-{iteration}"
        headers = {GATEWAY_HEADER.replace("-", "_"): gateway.name}
        is_long = site.neighbours.are_answers_long
        part_count = rng.randrange(*LONG_RANGE_PARTS if is_long else USUAL_RANGE_PARTS)
        data = request_bytes(f"/{kind}/{part_count}", request_id, **headers)
        link = await _take(links, gateway, rng)
        if link is not None:
            limits_s = (LONG_TIMEOUT_S, LONG_TIMEOUT_S + PATIENCE_S)
            result = await _ask(link, gateway, kind, request_id, data, limits_s)
            await _give_back(links, link, result)
            problem = find_long_problem(result, part_count)
            _record(site, observations, result, problem)
        await trio.sleep(THINK_TIME_S)


async def send_bodies_in_surges(
    site: SoakSite, observations: Observations, number: int
) -> None:
    """Send requests with long bodies, one after another, while there is a surge."""
    rng = random.Random(site.rng.random())
    links = GatewayLinks()
    for iteration in range(1_000_000):
        await site.neighbours.surge.wait()
        gateway = site.neighbours.surge_to or rng.choice(site.gateways)
        kind = rng.choice(FILE_KINDS)
        request_id = f"{kind}-{number}-{iteration}"
        length = rng.randrange(*BODY_RANGE_BYTES)
        data = _file_bytes(gateway, rng, kind, request_id, length)
        link = await _take(links, gateway, rng)
        if link is not None:
            result = await _send_file(links, link, gateway, kind, request_id, data)
            problem = find_upload_problem(site, result, length)
            _record(site, observations, result, problem)
        await trio.sleep(THINK_TIME_S)


async def send_early_answered_uploads(
    site: SoakSite, observations: Observations, number: int
) -> None:
    """Send long uploads on each kind of route while targets answer them early."""
    rng = random.Random(site.rng.random())
    links = GatewayLinks()
    for iteration in range(1_000_000):
        await site.neighbours.uploads.wait()
        gateway, kind = rng.choice(site.gateways), rng.choice(UPLOAD_KINDS)
        request_id = f"early-{kind}-{number}-{iteration}"
        length = rng.randrange(*UPLOAD_RANGE_BYTES)
        data = _file_bytes(gateway, rng, kind, request_id, length)
        link = await _take(links, gateway, rng)
        if link is not None:
            result = await _send_file(links, link, gateway, kind, request_id, data)
            problem = find_upload_problem(site, result, length)
            _record(site, observations, result, problem)
        await trio.sleep(THINK_TIME_S)


async def _send_file(
    links: GatewayLinks,
    link: trio.SocketStream,
    gateway: GatewayProcess,
    kind: str,
    request_id: str,
    data: bytes,
) -> CallerResult:
    """Send one request with a long body, and return what came of it."""
    limits_s = (FILE_TIMEOUT_S, FILE_TIMEOUT_S + PATIENCE_S)
    result = await _ask(link, gateway, kind, request_id, data, limits_s)
    await _give_back(links, link, result)
    return result


async def _take(
    links: GatewayLinks, gateway: GatewayProcess, rng: random.Random
) -> trio.SocketStream | None:
    """Return a connection to a gateway, sometimes a new one."""
    link = await links.take(gateway)
    if link is not None and rng.random() < NEW_CONNECTION_SHARE:
        await trio.aclose_forcefully(link)
        link = await links.take(gateway)
    return link


async def _give_back(
    links: GatewayLinks, link: trio.SocketStream, result: CallerResult
) -> None:
    """Keep a connection for the next request, if the whole request was sent on it."""
    if result.sent_s is None or result.is_disconnected:
        await trio.aclose_forcefully(link)
    else:
        await links.give_back(result.gateway, link, result.answer)


def _record(
    site: SoakSite,
    observations: Observations,
    result: CallerResult,
    problem: str | None,
) -> None:
    """Record a result without its body, and what is wrong with that."""
    result.answer.body = result.answer.body[:KEPT_BYTES]
    observations.results.append(result)
    if problem is not None:
        text = f"{result.request_id} of {result.gateway.name}: {problem}"
        site.neighbours.long_problems.append(text)


def _file_bytes(
    gateway: GatewayProcess, rng: random.Random, kind: str, request_id: str, length: int
) -> bytes:
    """Return a request with a body of `length` bytes, with a length or in chunks."""
    headers = {GATEWAY_HEADER.replace("-", "_"): gateway.name}
    is_chunked = rng.random() < CHUNKED_SHARE
    body = _BODY[:length]
    if is_chunked:
        headers["Transfer_Encoding"] = "chunked"
        pieces = (body[at : at + CHUNK_BYTES] for at in range(0, length, CHUNK_BYTES))
        head = request_bytes(f"/{kind}/1", request_id, "POST", **headers)
        data = head + b"".join(chunk(piece) for piece in pieces) + b"0\r\n\r\n"
    else:
        data = request_bytes(f"/{kind}/1", request_id, "POST", body, **headers)
    deadline = b"Deadline-Ms: %d" % (1000 * FILE_TIMEOUT_S)
    return data.replace(_USUAL_DEADLINE, deadline, 1)


async def _ask(
    link: trio.SocketStream,
    gateway: GatewayProcess,
    kind: str,
    request_id: str,
    data: bytes,
    limits_s: tuple[float, float],
) -> CallerResult:
    """Send one request, and return what came of it within the second limit."""
    deadline_s, patience_s = limits_s
    was_stopping, incarnation = gateway.is_stopping, gateway.incarnation
    answer, observed = Answer(None), ObservedStream(link)
    method = "POST" if kind in UPLOAD_KINDS else "GET"
    started_s = trio.current_time()
    with trio.move_on_after(patience_s) as scope:
        await read_while_sending(observed, data, method, answer)
    return CallerResult(
        kind,
        request_id,
        gateway,
        incarnation,
        started_s,
        trio.current_time(),
        answer,
        was_stopping,
        scope.cancelled_caught,
        deadline_s=deadline_s,
        sent_s=observed.sent_s,
        is_reset=observed.is_reset,
        is_large=kind in UPLOAD_KINDS,
    )


async def read_while_sending(
    link: ObservedStream, data: bytes, method: str, answer: Answer
) -> None:
    """Send a request, and read the answer that may come before its last byte."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send, link, data)
        try:
            await _read_answer(link, method, answer)
        except (trio.BrokenResourceError, h11.RemoteProtocolError):
            pass
        nursery.cancel_scope.cancel()


async def _send(link: ObservedStream, data: bytes) -> None:
    """Send a request, unless the connection ends before."""
    try:
        await link.send_all(data)
    except trio.BrokenResourceError:
        pass


async def _read_answer(link: ObservedStream, method: str, answer: Answer) -> None:
    """Read an answer into `answer`, as far as it comes."""
    protocol = h11.Connection(h11.CLIENT)
    protocol.send(h11.Request(method=method, target="/", headers=[("Host", "x")]))
    protocol.send(h11.EndOfMessage())
    pieces: list[bytes] = []
    try:
        await _read_events(link, protocol, method, answer, pieces)
    finally:
        answer.body = b"".join(pieces)


async def _read_events(
    link: ObservedStream,
    protocol: h11.Connection,
    method: str,
    answer: Answer,
    pieces: list[bytes],
) -> None:
    """Read an answer to its end; from some number of events on, only its bytes."""
    for count in range(MAX_EVENTS):
        if count % MAX_EVENTS_IN_TURN == 0:
            await trio.lowlevel.checkpoint()
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await link.receive_some(READ_BYTES))
        elif isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.headers = {k.decode(): v.decode() for k, v in event.headers}
            answer.delimiter = body_delimiter(event, method.encode())
        elif isinstance(event, h11.Data):
            pieces.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            answer.is_complete = True
            return
        elif isinstance(event, h11.ConnectionClosed):
            return
    while await link.receive_some(READ_BYTES):
        pass
