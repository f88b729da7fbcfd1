"""Tests that malformed and unusual requests do not crash a gateway."""

from unittest import mock

import trio
from nose2.tools import params

from scaleloom_core.process_limits import Resource
from scaleloom_fleet.conf.gateway_schema import GatewayObserveSection
from scaleloom_fleet.gateway import accepting
from scaleloom_fleet.gateway.overload_refusals import READ_TIMEOUT_S
from scaleloom_standins.ports import free_port
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    FIRST_GATEWAY_HOST,
    Site,
    ask_on,
    ask_raw,
    config,
    eventually,
    request_bytes,
    route,
    running_site,
)

HEAD_REQUEST = b"HEAD /safe/1 HTTP/1.1\r\nHost: x\r\n\r\n"
BODY_TOO_LONG = (
    b"HEAD /safe/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n"
)
LENGTH_TEMPLATE = b"POST /once/1 HTTP/1.1\r\nHost: x\r\nContent-Length: %s\r\n\r\n"
PAGE_LINES = (
    b"HEAD /metrics HTTP/1.1",
    b"CONNECT /metrics HTTP/1.1",
    b"HEAD /scaleloom/ready HTTP/1.1",
    b"CONNECT /scaleloom/ready HTTP/1.1",
)
SETTLE_S = 0.5


async def _still_serves(site: Site) -> bool:
    """Return whether the gateway serves a request a little later."""
    await trio.sleep(SETTLE_S)
    return (await site.ask("/safe/1", "r-later")).status == 200


@params("exceeded_by_request", "exceeded_by_caller")
@runs_on_paused_clock
async def test_a_head_request_is_refused_at_a_limit(check):
    async with running_site() as site:
        with mock.patch.object(accepting, check, return_value=Resource.MEMORY):
            port = site.gateways[0].front_port
            answer = await ask_raw(port, HEAD_REQUEST, "HEAD")
        assert answer.status == 503
        assert await _still_serves(site)


@runs_on_paused_clock
async def test_a_head_request_without_a_route_is_answered():
    async with running_site() as site:
        answer = await site.ask("/none/1", method="HEAD")
        assert answer.status == 404


@params(BODY_TOO_LONG, LENGTH_TEMPLATE % (b"9" * 4500))
@runs_on_paused_clock
async def test_an_invalid_length_does_not_crash_the_gateway(data):
    async with running_site() as site:
        await ask_raw(site.gateways[0].front_port, data, data.split()[0].decode())
        assert await _still_serves(site)


@params(*PAGE_LINES)
@runs_on_paused_clock
async def test_an_unusual_page_request_does_not_crash_the_gateway(line):
    port = free_port()
    observe = GatewayObserveSection(metrics_address=f"{FIRST_GATEWAY_HOST}:{port}")
    async with running_site(observe=observe) as site:
        is_ready_page = b"ready" in line
        page_port = (
            site.gateways[0].settings.ready_address.port if is_ready_page else port
        )
        method = line.split()[0].decode()
        await ask_raw(page_port, line + b"\r\nHost: x\r\n\r\n", method)
        assert await _still_serves(site)


@runs_on_paused_clock
async def test_garbage_after_a_head_request_is_rejected():
    async with running_site() as site:
        data = request_bytes("/none/1", method="HEAD") + b"x\r\n\r\n"
        await ask_raw(site.gateways[0].front_port, data, "HEAD")
        assert await _still_serves(site)


# More than the kernel buffers for a peer that reads nothing.
ENDLESS_BODY = b"x" * 16_000_000


@params("/once/1", "/none/1")
@runs_on_paused_clock
async def test_a_caller_that_is_still_sending_gets_its_rejection(path):
    # The router closed under the body, and the caller saw only a reset.
    async with running_site() as site:
        answer = await site.ask(path, method="POST", body=ENDLESS_BODY)
    assert (answer.status, answer.is_complete) == (413, True)


@runs_on_paused_clock
async def test_a_caller_that_sends_slowly_at_a_limit_gets_its_refusal():
    data = request_bytes("/once/1", method="POST", body=b"x" * 60_000)
    async with running_site() as site:
        with mock.patch.object(
            accepting, "exceeded_by_caller", return_value=Resource.MEMORY
        ):
            port = site.gateways[0].front_port
            async with await trio.open_tcp_stream(FIRST_GATEWAY_HOST, port) as stream:
                await stream.send_all(data[:1000])
                await trio.sleep(READ_TIMEOUT_S + 0.1)
                await stream.send_all(data[1000:30_000])
                await trio.sleep(0.1)
                answer = await ask_on(stream, data[30_000:], "POST")
        assert (answer.status, answer.is_complete) == (503, True)
        assert await _still_serves(site)


@runs_on_paused_clock
async def test_an_answer_survives_a_pipelined_request_behind_the_last_one():
    closing = request_bytes("/safe/1", "r-1", Connection="close")
    async with running_site() as site:
        port = site.gateways[0].front_port
        pipelined = closing + request_bytes("/safe/1", "r-2", body=ENDLESS_BODY)
        answer = await ask_raw(port, pipelined)
        assert (answer.status, answer.is_complete) == (200, True)
        assert await _still_serves(site)


@runs_on_paused_clock
async def test_a_proper_request_behind_a_change_of_the_limits_is_not_rejected():
    # Connections that rested kept the limits of the configuration before.
    raised = config(2, route("added", "safe"))
    raised["limits"]["max-body-bytes"] = 200_000
    async with running_site() as site:
        port = site.gateways[0].front_port
        async with await trio.open_tcp_stream(FIRST_GATEWAY_HOST, port) as stream:
            first = await ask_on(stream, request_bytes("/safe/1", "r-1"), "GET")
            site.store.put(CONFIG_TOPIC, "config", raised)

            async def is_in_force() -> bool:
                return (await site.ask("/added/1", "r-2")).status == 200

            await eventually(is_in_force)
            data = request_bytes("/once/1", "r-3", method="POST", body=b"x" * 150_000)
            second = await ask_on(stream, data, "POST")
    assert (first.status, second.status) == (200, 200)
