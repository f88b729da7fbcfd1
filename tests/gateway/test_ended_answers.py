"""
Tests of answers that end with their connection and that the router itself ends.

Guards against such answers that reach callers as complete: the router ended one for a
reason of its own, and closed the caller's connection normally.
"""

import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from unittest import mock

import msgspec
import trio
from nose2.tools import params

from scaleloom_fleet.conf.gateway_schema import (
    GatewayInstanceSection,
    GatewayStopSection,
    LimitsSection,
)
from scaleloom_fleet.gateway.caller_answer import CallerAnswer
from scaleloom_fleet.gateway.settings_reload import reload_settings
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.http1.links import BodyDelimiter
from tests.fixtures import unframed
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    Answer,
    Site,
    ask_on,
    config,
    eventually,
    request_bytes,
    running_site,
)
from tests.fixtures.states import captured_states
from tests.fixtures.unframed import goes_on_unframed

REFERENCE = Path(__file__).parents[2] / "docs" / "reference" / "gateway.ini"
# Path of a request, and the version of HTTP that its caller speaks.
REQUESTS = (
    ("/safe/1", b"HTTP/1.1"),
    ("/once/1", b"HTTP/1.0"),
    ("/stream-once/1", b"HTTP/1.1"),
    ("/stream-once/1", b"HTTP/1.0"),
    ("/stream/1", b"HTTP/1.1"),
)
STOP = GatewayStopSection(notice_s=0.1, grace_s=1.0)
# Every answer has ended by then: its deadline passes after 2 s.
ENDED_S = 4.0
BEGUN_S = 0.3
SMALL_BUFFER_BYTES = 4096


@dataclass
class Play:
    """An answer under way, and what sends and receives it."""

    site: Site
    state: GatewayState
    stream: trio.SocketStream
    answer: Answer


async def _pass_deadline(play: Play) -> None:
    """Do nothing, so that the deadline of the request passes."""


async def _exceed_link(play: Play) -> None:
    """Let more wait for the router's link than it may."""
    settings = msgspec.structs.replace(
        play.state.settings,
        instance=GatewayInstanceSection(name="g-1", data_centre="a", link_mbps=0.001),
        limits=LimitsSection(link_queue_s=0.001),
    )
    play.state.apply_settings(settings)
    play.state.record_sent_bytes(1_000_000)
    assert (await play.site.ask("/once/2", "r-2")).status == 503


async def _exceed_memory(play: Play) -> None:
    """Set a limit of the memory below what is in use."""
    limits = LimitsSection(memory_mb=1.0)
    settings = msgspec.structs.replace(play.state.settings, limits=limits)
    play.state.apply_settings(settings)
    assert (await play.site.ask("/once/2", "r-2")).status == 503


async def _stop(play: Play) -> None:
    """Stop the router, whose grace ends before the answer does."""
    play.site.gateways[0].stop.set()


async def _kill(play: Play) -> None:
    """End the router without a graceful stop."""
    await play.site.gateways[0].kill()


async def _reload(play: Play) -> None:
    """Reload other settings."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "gateway.ini"
        text = REFERENCE.read_text(encoding="utf-8")
        path.write_text(text.replace("# load_multiple = 2.0", "load_multiple = 3.0"))
        assert reload_settings(play.state, path)


async def _change_configuration(play: Play) -> None:
    """Take the route and its service away."""
    changed = config(2)
    changed["routes"] = [{**changed["routes"][0], "path-prefix": "/other/"}]
    play.site.store.put(CONFIG_TOPIC, "config", changed)

    async def is_in_force() -> bool:
        return play.state.routing.version == 2

    await eventually(is_in_force)


async def _fail_task(play: Play) -> None:
    """Let the task fail that receives from the caller."""
    (caller,) = play.state.connections
    caller._notify_reader = mock.Mock(side_effect=RuntimeError("a fault"))
    await play.stream.send_all(b"G")


async def _fail_request(play: Play) -> None:
    """Let the request itself fail."""

    async def fail(*_) -> None:
        raise RuntimeError("a fault")

    with mock.patch.object(CallerAnswer, "send_part", fail):
        await trio.sleep(2 * unframed.PIECE_INTERVAL_S)


async def _retire_targets(play: Play) -> None:
    """Take all targets out of the list."""
    for target in play.site.runners:
        play.site.drop_entry(target)


WAYS: tuple[Callable[[Play], Awaitable[None]], ...] = (
    _pass_deadline,
    _exceed_link,
    _exceed_memory,
    _stop,
    _kill,
    _reload,
    _change_configuration,
    _fail_task,
    _fail_request,
    _retire_targets,
)


@asynccontextmanager
async def _playing(behaviour) -> AsyncIterator[tuple[Site, GatewayState]]:
    """Yield a site whose targets all have `behaviour`, and its router's state."""
    with captured_states() as states:
        async with running_site(allows_task_failures=True, stop=STOP) as site:
            for target in site.runners:
                target.behaviour = behaviour
            yield site, states[0]


async def _end_answer(site: Site, state: GatewayState, data: bytes, way) -> Answer:
    """Return the answer to `data`, which `way` ends once it has begun."""
    gateway, answer = site.gateways[0], Answer(None)
    stream = await trio.open_tcp_stream(gateway.host, gateway.front_port)
    with trio.fail_after(ENDED_S):
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(ask_on, stream, data, "GET", answer)
            await trio.sleep(BEGUN_S)
            assert answer.body
            await way(Play(site, state, stream, answer))
    return answer


def _is_broken(answer: Answer) -> bool:
    """Return whether the caller got a part of an answer and can see that."""
    is_delimited = answer.delimiter is BodyDelimiter.CONNECTION
    return answer.status == 200 and is_delimited and not answer.is_complete


@params(*((way, *request) for way in WAYS for request in REQUESTS))
@runs_on_paused_clock
async def test_an_answer_that_the_router_ends_is_visibly_broken(way, path, version):
    async with _playing(goes_on_unframed()) as (site, state):
        data = request_bytes(path).replace(b"HTTP/1.1", version)
        answer = await _end_answer(site, state, data, way)
    assert _is_broken(answer), (answer.status, answer.is_complete, answer.delimiter)


@params(*((count, *request) for count in (0, 3) for request in REQUESTS))
@runs_on_paused_clock
async def test_an_answer_that_pauses_until_the_deadline_is_visibly_broken(
    count, path, version
):
    async with _playing(goes_on_unframed(count)) as (site, state):
        data = request_bytes(path).replace(b"HTTP/1.1", version)
        answer = await _end_answer(site, state, data, _pass_deadline)
    assert _is_broken(answer), (answer.status, answer.is_complete, answer.delimiter)


async def _read_late(site: Site, data: bytes, way) -> tuple[Answer, bytes]:
    """Return the answer to `data` of a caller that reads only after `way` was gone."""
    gateway = site.gateways[0]
    connection = trio.socket.socket()
    connection.setsockopt(
        trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, SMALL_BUFFER_BYTES
    )
    await connection.connect((gateway.host, gateway.front_port))
    async with trio.SocketStream(connection) as stream:
        await stream.send_all(data)
        await trio.sleep(BEGUN_S)
        await way(site)
        await trio.sleep(ENDED_S)
        return await ask_on(stream, b"", "GET")


async def _stop_site(site: Site) -> None:
    """Stop the router."""
    site.gateways[0].stop.set()


async def _kill_site(site: Site) -> None:
    """End the router without a graceful stop."""
    await site.gateways[0].kill()


async def _leave_site(site: Site) -> None:
    """Do nothing, so that the deadline of the request passes."""


SLOW_WAYS = (_leave_site, _stop_site, _kill_site)


def _floods_unframed(target, request):
    """Begin an answer without a length that a slow caller doesn't take."""

    async def answer() -> bool:
        head = unframed.unframed_head(target, request, 200)
        is_stream = request.target.startswith("/stream")
        await request.stream.send_all(head)
        number = 0
        while True:
            number += 1
            piece = b"id: %d\ndata: %s\n\n" % (number, b"x" * 60_000)
            await request.stream.send_all(piece if is_stream else b"x" * 60_000)

    return answer()


@params(*((way, *request) for way in SLOW_WAYS for request in REQUESTS))
@runs_on_paused_clock
async def test_an_answer_to_a_caller_that_reads_slowly_is_visibly_broken(
    way, path, version
):
    async with _playing(_floods_unframed) as (site, _):
        data = request_bytes(path).replace(b"HTTP/1.1", version)
        answer = await _read_late(site, data, way)
    assert _is_broken(answer), (answer.status, answer.is_complete, answer.delimiter)
