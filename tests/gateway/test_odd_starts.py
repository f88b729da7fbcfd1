"""Tests of starts with odd settings, streams and limits, with separate processes."""

import os
import signal
from collections.abc import Iterator
from contextlib import AsyncExitStack, contextmanager

import trio
from nose2.tools import params

from tests.fixtures.fleets import runs_in_trio
from tests.fixtures.gateways import ask_on, ask_raw, request_bytes
from tests.fixtures.processes import (
    StartedGateway,
    change_settings,
    prepared_site,
    started_gateway,
    stop_in_time,
)

BAD_SETTINGS = 78
HOST = "127.0.0.1"
FEW_DESCRIPTORS = 64
CALLERS = 100
ANSWER_LIMIT_S = 20.0
PIPE_FILLER = b"x" * 4096


async def _check_serves(started: StartedGateway) -> None:
    """Check that a gateway becomes ready, serves, and stops as asked."""
    await started.wait_ready()
    answer = await ask_raw(started.settings.front_port, request_bytes("/safe/1"))
    assert answer.status == 200
    await stop_in_time(started, signal.SIGTERM)


@params((0,), (1,), (2,), (0, 1, 2))
@runs_in_trio
async def test_a_gateway_without_standard_streams_serves(*closed):
    async with prepared_site() as gateway:
        with started_gateway(gateway, closed=closed) as started:
            await _check_serves(started)


@contextmanager
def _unread_log(kind: str) -> Iterator[int]:
    """Yield a descriptor to which a log can't be written."""
    if kind == "full device":
        descriptor = os.open("/dev/full", os.O_WRONLY)
        yield descriptor
        os.close(descriptor)
        return
    reader, descriptor = os.pipe()
    if kind == "gone reader":
        os.close(reader)
    else:
        os.set_blocking(descriptor, False)
        try:
            while True:
                os.write(descriptor, PIPE_FILLER)
        except BlockingIOError:
            os.set_blocking(descriptor, True)
    yield descriptor
    os.close(descriptor)
    if kind != "gone reader":
        os.close(reader)


@params("full device", "gone reader", "full pipe")
@runs_in_trio
async def test_a_gateway_whose_log_cannot_be_written_serves(kind):
    async with prepared_site() as gateway:
        with _unread_log(kind) as descriptor:
            with started_gateway(gateway, stdout=descriptor) as started:
                await _check_serves(started)


@runs_in_trio
async def test_callers_beyond_few_descriptors_are_answered():
    async with prepared_site() as gateway, AsyncExitStack() as stack:
        change_settings(gateway, {"limits": {"descriptors": "4100"}})
        started = stack.enter_context(started_gateway(gateway, FEW_DESCRIPTORS))
        await started.wait_line("fewer descriptors than in the settings")
        await started.wait_ready()
        statuses: list[int | None] = []
        with trio.fail_after(ANSWER_LIMIT_S):
            for number in range(CALLERS):
                stream = await trio.open_tcp_stream(HOST, gateway.front_port)
                await stack.enter_async_context(stream)
                data = request_bytes("/safe/1", f"r-{number}")
                statuses.append((await ask_on(stream, data, "GET")).status)
        assert set(statuses) == {200, 503}
        await stop_in_time(started, signal.SIGTERM)


@params(
    ("listen", "ready", "127.0.0.1:99999", "cannot use 127.0.0.1:99999"),
    ("listen", "front", "nowhere", "[listen] front"),
    ("platform", "adapter", "no_such_module", "[platform] adapter"),
    ("platform", "adapter", "json", "[platform] adapter"),
    ("platform", "timeout_s", "inf", "[platform] timeout_s"),
    ("targets", "silence_s", "1e300", "[targets] silence_s"),
    ("stop", "grace_s", "nan", "[stop] grace_s"),
    ("stop", "unknown", "1", "[stop] unknown"),
)
@runs_in_trio
async def test_settings_that_only_an_operator_can_mend_end_the_start(
    section, key, value, named
):
    async with prepared_site() as gateway:
        change_settings(gateway, {section: {key: value}})
        with started_gateway(gateway) as started:
            assert await started.wait_end() == BAD_SETTINGS
            assert named in gateway.log_path.read_text()


@params("a,b:c,,1.2.3.4", "127.0.0.2:1", "x" * 300)
@runs_in_trio
async def test_seeds_that_are_no_addresses_are_ignored(seeds):
    async with prepared_site() as gateway:
        change_settings(gateway, {"listen": {"seeds": seeds}})
        with started_gateway(gateway) as started:
            await _check_serves(started)


@runs_in_trio
async def test_an_address_that_the_machine_lacks_is_waited_for():
    async with prepared_site() as gateway:
        change_settings(gateway, {"listen": {"ready": "192.0.2.7:1024"}})
        with started_gateway(gateway) as started:
            line = await started.wait_line("waiting for port")
            assert line["purpose"] == "readiness page"
            await stop_in_time(started, signal.SIGTERM)


@params("", "[listen]\nfront = 127", "\x00\x01", "[targets]\nsilence_s = 1e300\n")
@runs_in_trio
async def test_odd_settings_at_a_reload_leave_the_former_in_force(text):
    async with prepared_site() as gateway:
        with started_gateway(gateway) as started:
            await started.wait_ready()
            gateway.settings_path.write_text(text)
            started.process.send_signal(signal.SIGHUP)
            await started.wait_line("invalid settings not applied")
            await _check_serves(started)
