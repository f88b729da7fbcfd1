"""Tests of starts and stops of gateway processes whose ports are in use."""

import signal
import socket
from collections.abc import Iterator
from contextlib import AsyncExitStack, contextmanager

import trio
from nose2.tools import params

from scaleloom_standins.ports import free_port
from soak.processes import GatewayProcess
from tests.fixtures.fleets import runs_in_trio
from tests.fixtures.gateways import ask_on, ask_raw, eventually, request_bytes
from tests.fixtures.processes import (
    GRACE_S,
    change_settings,
    connect_when_open,
    prepared_site,
    started_gateway,
    stop_in_time,
)

HOST = "127.0.0.1"
WAITING = "waiting for port"
METRICS_REQUEST = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
# The objective of the route and more; its callers wait for 2 s.
REFUSAL_LIMIT_S = 1.5
PORTS = ("front", "ready", "documents", "datagrams")


@contextmanager
def _occupied(gateway: GatewayProcess, port_name: str) -> Iterator[None]:
    """Occupy one of a gateway's ports."""
    port, kind = {
        "front": (gateway.front_port, socket.SOCK_STREAM),
        "ready": (gateway.ready_port, socket.SOCK_STREAM),
        "documents": (gateway.peer_port, socket.SOCK_STREAM),
        "datagrams": (gateway.peer_port, socket.SOCK_DGRAM),
    }[port_name]
    with socket.socket(socket.AF_INET, kind) as occupied:
        occupied.bind((HOST, port))
        if kind is socket.SOCK_STREAM:
            occupied.listen()
        yield


@params(*PORTS)
@runs_in_trio
async def test_a_start_waits_for_a_port_in_use(port_name):
    async with prepared_site() as gateway, AsyncExitStack() as stack:
        with _occupied(gateway, port_name):
            started = stack.enter_context(started_gateway(gateway))
            line = await started.wait_line(WAITING)
            assert "in use" in line["why"]
            assert started.read_lines("started") == []
        await started.wait_ready()
        answer = await ask_raw(gateway.front_port, request_bytes("/safe/1"))
        assert answer.status == 200
        assert started.read_lines("port opened")
        await stop_in_time(started, signal.SIGTERM)


@params(*PORTS)
@runs_in_trio
async def test_a_start_that_waits_for_a_port_stops_as_asked(port_name):
    async with prepared_site() as gateway:
        with _occupied(gateway, port_name), started_gateway(gateway) as started:
            await started.wait_line(WAITING)
            await stop_in_time(started, signal.SIGTERM)


@params("ready", "documents", "datagrams")
@runs_in_trio
async def test_a_caller_of_a_start_that_stops_is_refused(port_name):
    async with prepared_site() as gateway:
        with _occupied(gateway, port_name), started_gateway(gateway) as started:
            stream = await connect_when_open(gateway.front_port)
            await started.wait_line(WAITING)
            started.process.send_signal(signal.SIGTERM)
            answer = await ask_on(stream, request_bytes("/safe/1"), "GET")
            assert (answer.status, answer.is_complete) == (503, True)
            assert await started.wait_end(GRACE_S) == 0


@params("ready", "documents", "datagrams")
@runs_in_trio
async def test_a_caller_of_a_start_that_waits_for_a_port_is_refused_soon(port_name):
    async with prepared_site() as gateway:
        with _occupied(gateway, port_name), started_gateway(gateway) as started:
            stream = await connect_when_open(gateway.front_port)
            await started.wait_line(WAITING)
            with trio.fail_after(REFUSAL_LIMIT_S):
                answer = await ask_on(stream, request_bytes("/safe/1"), "GET")
            assert (answer.status, answer.is_complete) == (503, True)
            assert float(answer.headers["retry-after"]) > 0
            await stop_in_time(started, signal.SIGTERM)


@runs_in_trio
async def test_the_metrics_page_comes_up_when_its_port_is_free():
    port = free_port()
    address = f"{HOST}:{port}"
    async with prepared_site() as gateway, AsyncExitStack() as stack:
        change_settings(gateway, {"observe": {"metrics_address": address}})
        with socket.create_server((HOST, port)):
            started = stack.enter_context(started_gateway(gateway))
            await started.wait_line(WAITING)
            await started.wait_ready()

        async def is_served() -> bool:
            return (await ask_raw(port, METRICS_REQUEST)).status == 200

        await eventually(is_served)
        await stop_in_time(started, signal.SIGTERM)
