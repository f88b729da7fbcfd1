"""Tests of back-off and draining signals on every path of an answer."""

import socket
import time
from email.utils import formatdate

import trio
from nose2.tools import params

from scaleloom_core.ids import TargetId
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.http1.links import Link
from tests.fixtures import stub_targets
from tests.fixtures.backoff import DRAIN_S, DRAINING_HEADERS, Callers, TargetMonitor
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Site, running_site
from tests.fixtures.states import captured_states
from tests.fixtures.stub_server import ReceivedRequest, raw_answer
from tests.fixtures.stub_targets import StubTarget, request_id

BACKOFF_S = 2.0
# A router sends requests again within half a second after a back-off.
RESUME_S = 0.5
LIST_READ_S = 0.3
DISCONNECT_DELAY_S = 0.01
# Fewer requests than the other target has slots.
BURST = 12


async def _ask_until_reached(
    callers: Callers, site: Site, target: StubTarget, path: str
):
    """Send requests until one has reached `target`."""
    with trio.fail_after(5.0):
        while not target.received:
            async with trio.open_nursery() as nursery:
                for _ in range(len(site.runners)):
                    nursery.start_soon(callers.ask, site.gateways[0], path)


async def _count_reached(
    site: Site, callers: Callers, target: StubTarget, path: str
) -> int:
    """Return how many requests of a burst reach a target."""
    before = len(target.received)
    async with trio.open_nursery() as nursery:
        for _ in range(BURST):
            nursery.start_soon(callers.ask, site.gateways[0], path)
    return len(target.received) - before


@params("0", "0.0", "soon", "-5", "nan", "inf", "1e3", "", "3 s", "9" * 500)
@runs_on_paused_clock
async def test_an_unreadable_retry_after_leaves_the_target_in_use(header_value):
    monitor = TargetMonitor()
    async with running_site(2) as site:
        for target in site.runners:
            target.behaviour = monitor.watch()
        first = site.runners[0]
        first.behaviour = monitor.ask_for_backoff(0.0, header_value)
        callers = Callers(site)
        await _ask_until_reached(callers, site, first, "/safe/1")
        first.behaviour = monitor.watch()
        assert await _count_reached(site, callers, first, "/safe/1") > 0
    assert callers.statuses() == {200}


@params("2", "2.0", "02.000")
@runs_on_paused_clock
async def test_retry_after_is_read_in_seconds_with_fractions(header_value):
    await _check_backoff(header_value)


@runs_on_paused_clock
async def test_a_retry_after_date_counts_from_the_date_of_the_answer():
    # The target's clock is an hour ahead.
    begins_s = time.time() + 3600.0
    until = formatdate(begins_s + BACKOFF_S, usegmt=True)
    await _check_backoff(f"{until}\r\nDate: {formatdate(begins_s, usegmt=True)}")


async def _check_backoff(header_value: str) -> None:
    """Check that a target is used again only after the back-off that it asked for."""
    monitor = TargetMonitor()
    async with running_site(2) as site:
        for target in site.runners:
            target.behaviour = monitor.watch()
        first = site.runners[0]
        first.behaviour = monitor.ask_for_backoff(BACKOFF_S, header_value)
        callers = Callers(site)
        await _ask_until_reached(callers, site, first, "/safe/1")
        first.behaviour = monitor.watch()
        await trio.sleep(RESUME_S)
        assert await _count_reached(site, callers, first, "/safe/1") == 0
        ends_s = monitor.backoffs[-1].from_s + BACKOFF_S
        await trio.sleep_until(ends_s + RESUME_S)
        assert await _count_reached(site, callers, first, "/safe/1") >= BURST / 3
    assert callers.statuses() == {200}


@runs_on_paused_clock
async def test_an_endless_backoff_ends_when_the_target_restarts():
    monitor = TargetMonitor()
    async with running_site(2) as site:
        first, other = site.runners
        other.behaviour = monitor.watch()
        site.put_entry(first, born=1_764_721_000_000)
        await trio.sleep(LIST_READ_S)
        first.behaviour = monitor.ask_for_backoff(1e9, "1000000000")
        callers = Callers(site)
        await _ask_until_reached(callers, site, first, "/safe/1")
        first.behaviour = monitor.watch()
        await trio.sleep(2 * RESUME_S)
        assert await _count_reached(site, callers, first, "/safe/1") == 0
        site.put_entry(first, born=1_764_721_060_000)
        await trio.sleep(LIST_READ_S)
        assert await _count_reached(site, callers, first, "/safe/1") > 0


@runs_on_paused_clock
async def test_a_backoff_elapses_while_the_machine_is_suspended():
    monitor = TargetMonitor()
    async with running_site(2) as site:
        first, other = site.runners
        other.behaviour = monitor.watch()
        first.behaviour = monitor.ask_for_backoff(BACKOFF_S)
        callers = Callers(site)
        await _ask_until_reached(callers, site, first, "/safe/1")
        first.behaviour = monitor.watch()
        trio.lowlevel.current_clock().jump(BACKOFF_S + RESUME_S)
        await trio.sleep(LIST_READ_S)
        assert await _count_reached(site, callers, first, "/safe/1") > 0


@runs_on_paused_clock
async def test_if_all_targets_back_off_the_caller_is_refused_at_once_with_retry_after():
    monitor = TargetMonitor()
    async with running_site(2) as site:
        for target in site.runners:
            target.behaviour = monitor.ask_for_backoff(BACKOFF_S)
        callers = Callers(site)
        gateway = site.gateways[0]
        while len({backoff.target for backoff in monitor.backoffs}) < 2:
            await callers.ask(gateway)
        for target in site.runners:
            target.behaviour = monitor.watch()
        arrived = len(monitor.arrivals)
        sent_s = trio.current_time()
        refused = [await callers.ask(gateway, path) for path in ("/safe/1", "/once/1")]
        assert trio.current_time() - sent_s < 0.05
        assert [answer.status for answer in refused] == [503, 503]
        first_s = min(backoff.from_s + backoff.length_s for backoff in monitor.backoffs)
        for answer in refused:
            retry_at_s = sent_s + float(answer.headers["retry-after"])
            assert first_s <= retry_at_s <= first_s + RESUME_S + 0.05
        await trio.sleep(float(refused[-1].headers["retry-after"]))
        assert (await callers.ask(gateway)).status == 200
        assert len(monitor.arrivals) == arrived + 1


@runs_on_paused_clock
async def test_a_waiting_request_is_refused_at_once_when_the_last_target_backs_off():
    monitor = TargetMonitor()
    released = trio.Event()

    async def answer_when_released(
        target: StubTarget, request: ReceivedRequest
    ) -> bool:
        await released.wait()
        return await monitor.ask_for_backoff(BACKOFF_S)(target, request)

    async with running_site(1) as site:
        (target,) = site.runners
        target.behaviour = answer_when_released
        callers = Callers(site)
        async with trio.open_nursery() as nursery:
            # 8 slots, and as many queued requests.
            for _ in range(16):
                nursery.start_soon(callers.ask, site.gateways[0], "/once/1")
            await trio.sleep(0.02)
            nursery.start_soon(callers.ask, site.gateways[0], "/stream-once/1")
            await trio.sleep(0.01)
            released.set()
            sent_s = trio.current_time()
            while not callers.answers["/stream-once/1"]:
                await trio.sleep(0.001)
            assert trio.current_time() - sent_s < 0.03
        (answer,) = callers.answers["/stream-once/1"]
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) >= BACKOFF_S - 0.1


@runs_on_paused_clock
async def test_a_request_whose_link_opens_during_a_backoff_goes_to_another_target():
    # The target answers one request while the link for another is still being opened.
    monitor = TargetMonitor()
    with captured_states() as states:
        async with running_site(2) as site:
            first, other = site.runners
            for target in site.runners:
                target.behaviour = monitor.watch()
            callers = Callers(site)
            pools = states[0].link_pools
            acquire = pools.acquire
            is_late = trio.Event()

            async def acquire_late(target, is_repeatable):
                link = await acquire(target, is_repeatable)
                if target.id == first.id and not is_late.is_set():
                    is_late.set()
                    first.behaviour = monitor.ask_for_backoff(BACKOFF_S)
                    async with trio.open_nursery() as nursery:
                        for _ in range(BURST):
                            nursery.start_soon(callers.ask, site.gateways[0])
                    await trio.sleep(RESUME_S)
                return link

            pools.acquire = acquire_late
            while not is_late.is_set():
                await callers.ask(site.gateways[0])
            await trio.sleep(BACKOFF_S)
    assert monitor.backoffs
    assert [
        monitor.arrivals_during(backoff)
        for backoff in monitor.backoffs
        if monitor.arrivals_during(backoff)
    ] == []
    assert callers.statuses() == {200}


def _with_draining_header(head: bytes) -> bytes:
    """Return the head of an answer with the header of a draining target added."""
    return head.replace(b"\r\n\r\n", b"\r\nServer-Leaving: 1\r\n\r\n", 1)


async def _complete(target: StubTarget, request: ReceivedRequest) -> bool:
    target.runs[request_id(request)] += 1
    complete = raw_answer(200, target.seal(request), stub_targets.body_of(request))
    await request.stream.send_all(_with_draining_header(complete))
    return True


async def _server_error(target: StubTarget, request: ReceivedRequest) -> bool:
    await request.stream.send_all(
        _with_draining_header(raw_answer(500, target.seal(request), b"no"))
    )
    return True


async def _client_error(target: StubTarget, request: ReceivedRequest) -> bool:
    await request.stream.send_all(
        _with_draining_header(raw_answer(404, target.seal(request), b"no"))
    )
    return True


async def _not_run(target: StubTarget, request: ReceivedRequest) -> bool:
    headers = {"Request-Id": request_id(request), "Not-Run": "1", **DRAINING_HEADERS}
    await request.stream.send_all(raw_answer(503, headers))
    return True


async def _not_run_and_cut(target: StubTarget, request: ReceivedRequest) -> bool:
    headers = {"Request-Id": request_id(request), "Not-Run": "1", **DRAINING_HEADERS}
    complete = raw_answer(503, headers, b"not now")
    await request.stream.send_all(complete[:-3])
    return False


async def _wrong_target(target: StubTarget, request: ReceivedRequest) -> bool:
    headers = {"Request-Id": request_id(request), **DRAINING_HEADERS}
    await request.stream.send_all(raw_answer(421, headers))
    return True


async def _cut(target: StubTarget, request: ReceivedRequest) -> bool:
    complete = raw_answer(200, target.seal(request), stub_targets.body_of(request))
    await request.stream.send_all(_with_draining_header(complete)[:-4])
    return False


async def _surplus_first(target: StubTarget, request: ReceivedRequest) -> bool:
    headers = {"Request-Id": "someone-else", **DRAINING_HEADERS}
    await request.stream.send_all(raw_answer(200, headers, b"not yours"))
    return await stub_targets.answer_normally(target, request)


async def _stream_then_silence(target: StubTarget, request: ReceivedRequest) -> bool:
    await request.stream.send_all(
        _with_draining_header(stub_targets.stream_head(target, request))
    )
    await trio.sleep(5.0)
    return False


async def _interim_first(target: StubTarget, request: ReceivedRequest) -> bool:
    await request.stream.send_all(b"HTTP/1.1 103 Early Hints\r\n\r\n")
    return await _complete(target, request)


DRAINING_ANSWERS = (
    ("/safe/1", _complete),
    ("/once/1", _complete),
    ("/safe/1", _server_error),
    ("/once/1", _server_error),
    ("/safe/1", _client_error),
    ("/safe/1", _not_run),
    ("/once/1", _not_run_and_cut),
    ("/safe/1", _wrong_target),
    ("/safe/1", _cut),
    ("/safe/1", _surplus_first),
    ("/safe/1", _interim_first),
    ("/stream/1", _stream_then_silence),
)


@params(*DRAINING_ANSWERS)
@runs_on_paused_clock
async def test_a_target_that_reported_draining_is_sent_nothing(path, behaviour):
    monitor = TargetMonitor()
    async with running_site(3) as site:
        for target in site.runners:
            target.behaviour = monitor.watch()
        first = site.runners[0]
        first.behaviour = monitor.report_draining(behaviour)
        callers = Callers(site)
        await _ask_until_reached(callers, site, first, path)
        first.behaviour = monitor.watch()
        await trio.sleep(DRAIN_S)
        assert await _count_reached(site, callers, first, "/safe/1") == 0
        site.drop_entry(first)
        await trio.sleep(LIST_READ_S)
        site.put_entry(first)
        await trio.sleep(LIST_READ_S)
        assert await _count_reached(site, callers, first, "/safe/1") == 0


@runs_on_paused_clock
async def test_a_backoff_counts_if_the_caller_disconnected_before_the_answer_arrived():
    # Guards against soak seed 8040 (beside load): "i-7 asked g-1 for 1.79 s and got 27
    # requests". The caller disconnected 10 ms after its request, the link was closed,
    # and the answer, the only one of that target to that router, was never read.
    monitor = TargetMonitor()

    async def ask_for_backoff_late(
        target: StubTarget, request: ReceivedRequest
    ) -> bool:
        await trio.sleep(2 * DISCONNECT_DELAY_S)
        return await monitor.ask_for_backoff(BACKOFF_S)(target, request)

    async with running_site(2) as site:
        for target in site.runners:
            target.behaviour = monitor.watch()
        first = site.runners[0]
        first.behaviour = ask_for_backoff_late
        callers = Callers(site)
        while not first.received:
            with trio.move_on_after(DISCONNECT_DELAY_S):
                await _count_reached(site, callers, first, "/safe/1")
        await trio.sleep(RESUME_S)
        assert monitor.backoffs
        first.behaviour = monitor.watch()
        assert await _count_reached(site, callers, first, "/safe/1") == 0


@runs_on_paused_clock
async def test_an_abandoned_attempt_is_soon_cancelled_at_its_target():
    async with running_site(1) as site:
        (target,) = site.runners
        target.behaviour = stub_targets.stay_silent
        with trio.move_on_after(DISCONNECT_DELAY_S):
            await site.ask("/safe/1")
        # A disconnect must reach the target within half a second.
        await trio.sleep(RESUME_S / 2)
        assert (len(target.received), target.cancelled) == (1, 1)


@runs_on_paused_clock
async def test_signals_that_have_arrived_count_when_an_attempt_is_abandoned():
    with captured_states() as states:
        async with running_site(2) as site:
            first = site.runners[0]
            complete = _with_draining_header(raw_answer(503, {"Request-Id": "r-1"}))
            _abandon_with(states[0], first.id, complete[:40])
            assert states[0].view.records[first.id].is_ready
            _abandon_with(states[0], first.id, complete)
            assert not states[0].view.records[first.id].is_ready


def _abandon_with(state: GatewayState, target: str, answer: bytes) -> None:
    """Abandon a link on which an answer, or a part of one, has arrived."""
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    theirs.sendall(answer)
    state.abandoned_links.abandon(TargetId(target), Link(ours))
    theirs.close()


@runs_on_paused_clock
async def test_a_backoff_is_not_a_failure():
    monitor = TargetMonitor()
    with captured_states() as states:
        async with running_site(2) as site:
            for target in site.runners:
                target.behaviour = monitor.watch()
            first = site.runners[0]
            first.behaviour = monitor.ask_for_backoff(BACKOFF_S)
            callers = Callers(site)
            await _ask_until_reached(callers, site, first, "/safe/1")
            record = states[0].view.records[first.id]
            assert (record.failure_ratio, record.group_failures.samples) == (0.0, 0)
            assert record.ejection_s == 0.0
            assert not record.is_cold(10.0, trio.current_time())
            counted = states[0].outcomes.pop_all()
            assert all(outcomes.failed == 0 for outcomes in counted.values())
