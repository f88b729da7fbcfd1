"""Tests of a graceful stop: no request that was read is lost."""

import socket
from unittest import mock

import msgspec
import trio
import trio.testing
from nose2.tools import params

from scaleloom_core.process_limits import Resource
from scaleloom_fleet.conf.gateway_schema import GatewayStopSection
from scaleloom_fleet.gateway import accepting
from scaleloom_fleet.gateway.accepting import serve_connection
from scaleloom_fleet.gateway.documents import (
    apply_config_document,
    apply_target_documents,
)
from scaleloom_fleet.gateway.process import make_state
from scaleloom_fleet.http1.callers import FIRST_REQUEST_S, CallerConnection
from scaleloom_fleet.utils import listening
from scaleloom_standins.ports import free_port
from tests.fixtures import stub_targets
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    Answer,
    ask_on,
    ask_raw,
    config,
    entry,
    eventually,
    gateway_settings,
    request_bytes,
    running_site,
)
from tests.fixtures.states import captured_states
from tests.fixtures.stub_server import free_listener, port_of, serve_http
from tests.fixtures.stub_targets import StubTarget

WAITING_CALLERS = 5
RECONNECTING_CALLERS = 10_000


@runs_on_paused_clock
async def test_a_stopping_gateway_is_not_ready_and_keeps_serving():
    async with running_site() as site:
        (gateway,) = site.gateways
        gateway.stop.set()

        async def is_not_ready() -> bool:
            return not await gateway.is_ready()

        await eventually(is_not_ready, limit_s=0.15)
        answer = await site.ask("/once/1")
    assert (answer.status, answer.headers["connection"]) == (200, "close")


@runs_on_paused_clock
async def test_a_stop_completes_and_closes_idle_connections():
    async with running_site() as site:
        (gateway,) = site.gateways
        port = gateway.front_port
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            await ask_on(stream, request_bytes("/once/1"), "GET")
            gateway.stop.set()
            with trio.fail_after(1.5):
                assert await stream.receive_some() == b""
                await gateway.stopped.wait()


@runs_on_paused_clock
async def test_requests_that_arrive_as_connections_close_are_answered_or_unread():
    """Send requests continuously around the moment at which idle connections close."""
    outcomes: list[tuple[Answer, int]] = []
    async with running_site() as site:
        (gateway,) = site.gateways
        port = gateway.front_port

        async def keep_asking(name: str) -> None:
            async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                for number in range(100_000):
                    request_id = f"{name}-{number}"
                    data = request_bytes("/once/1", request_id)
                    answer = await ask_on(stream, data, "GET")
                    outcomes.append((answer, site.run_count(request_id)))
                    if not answer.is_complete or "connection" in answer.headers:
                        return

        async with trio.open_nursery() as nursery:
            for number in range(30):
                nursery.start_soon(keep_asking, str(number))
            await trio.lowlevel.checkpoint()
            gateway.stop.set()
        await gateway.stopped.wait()
    lost = [runs for answer, runs in outcomes if not answer.is_complete and runs]
    assert lost == []


def _close_as_bytes_arrive(caller: CallerConnection) -> None:
    """Make `caller` leave before the task that waits for its bytes runs."""
    notify = caller._notify_reader

    def notify_and_leave() -> None:
        notify()
        if caller.unread_bytes:
            caller.close_when_idle()

    caller._notify_reader = notify_and_leave


@runs_on_paused_clock
async def test_a_connection_is_not_closed_under_a_request_that_just_arrived():
    """Ask a connection to close in the very step in which bytes have arrived."""
    target = StubTarget("i-1")
    listener = free_listener()
    target.port = port_of(listener)
    state = make_state(gateway_settings("127.0.0.1", 1, free_port()))
    apply_config_document(state, msgspec.json.encode(config(1)))
    documents = {target.id: msgspec.json.encode(entry(target))}
    apply_target_documents(state, documents, 1, 0.0)
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_http, listener, target.answer)
        nursery.start_soon(serve_connection, state, ours)
        await trio.testing.wait_all_tasks_blocked()
        (caller,) = state.connections
        await trio.sleep(FIRST_REQUEST_S)
        _close_as_bytes_arrive(caller)
        theirs.sendall(request_bytes("/once/1"))
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(theirs))
        answer = await ask_on(stream, b"", "GET")
        nursery.cancel_scope.cancel()
    assert target.runs["r-1"] == 1
    assert (answer.status, answer.is_complete) == (200, True)


@runs_on_paused_clock
async def test_a_stop_waits_for_an_answer_in_flight():
    async with running_site(runner_count=1) as site:
        (gateway,) = site.gateways
        released = trio.Event()

        async def answer_later(target, request) -> bool:
            await released.wait()
            return await stub_targets.answer_normally(target, request)

        site.runners[0].behaviour = answer_later
        answers: list[Answer] = []

        async def ask() -> None:
            data = request_bytes("/once/1")
            answers.append(await ask_raw(gateway.front_port, data))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)

            async def has_arrived() -> bool:
                return bool(site.runners[0].received)

            await eventually(has_arrived)
            gateway.stop.set()

            async def is_not_ready() -> bool:
                return not await gateway.is_ready()

            await eventually(is_not_ready)
            released.set()
        await gateway.stopped.wait()
    assert (answers[0].status, answers[0].is_complete) == (200, True)


@runs_on_paused_clock
async def test_a_late_request_is_refused_if_it_may_outlast_the_stop():
    """Send on a connection that was busy when idle ones were closed."""
    stop = GatewayStopSection(notice_s=0.1, grace_s=1.5)
    async with running_site(runner_count=1, stop=stop) as site:
        (gateway,) = site.gateways
        (target,) = site.runners
        released = trio.Event()

        async def answer_later(target, request) -> bool:
            await released.wait()
            return await stub_targets.answer_normally(target, request)

        target.behaviour = answer_later
        answers: list[Answer] = []

        async def ask(path: str, request_id: str, deadline_ms: str) -> None:
            data = request_bytes(path, request_id)
            data = data.replace(b"Deadline-Ms: 2000", b"Deadline-Ms: %s" % deadline_ms)
            answers.append(await gateway.ask(data))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, "/once/1", "held", b"2000")

            async def has_arrived() -> bool:
                return bool(target.received)

            await eventually(has_arrived)
            gateway.stop.set()

            async def late_ones_are_refused() -> bool:
                answer = await gateway.ask(request_bytes("/safe/1", "late"))
                is_refused = answer.status == 503
                return is_refused and float(answer.headers["retry-after"]) < 0.5

            target.behaviour = stub_targets.answer_normally
            await eventually(late_ones_are_refused, limit_s=0.8)
            ran_before = target.runs["late"]
            await ask("/safe/1", "late", b"2000")
            assert target.runs["late"] == ran_before
            await ask("/safe/1", "short", b"100")
            released.set()
    assert [answer.status for answer in answers] == [503, 200, 200]


@params("/once/1", "/safe/1", "/stream-once/1")
@runs_on_paused_clock
async def test_requests_in_flight_at_the_end_of_the_grace_period_are_answered(path):
    # They ended with a closed connection, with neither an answer nor a refusal.
    stop = GatewayStopSection(notice_s=0.1, grace_s=1.0)
    async with running_site(stop=stop) as site:
        (gateway,) = site.gateways
        for target in site.runners:
            target.behaviour = stub_targets.stay_silent
        answers: list[Answer] = []

        async def ask() -> None:
            answers.append(await site.ask(path))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)

            async def has_arrived() -> bool:
                return any(target.received for target in site.runners)

            await eventually(has_arrived)
            gateway.stop.set()
            with trio.fail_after(stop.grace_s):
                await gateway.stopped.wait()
    assert [(a.status, a.is_complete) for a in answers] == [(504, True)]


@runs_on_paused_clock
async def test_a_stop_waits_for_a_refusal_in_progress():
    # The process ended while it still read the request that it was about to refuse.
    stop = GatewayStopSection(notice_s=0.1, grace_s=3.0)
    data = request_bytes("/once/1")
    async with running_site(stop=stop) as site:
        (gateway,) = site.gateways
        exceeded = mock.Mock(return_value=Resource.MEMORY)
        with mock.patch.object(accepting, "exceeded_by_caller", exceeded):
            port = gateway.front_port
            async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                await stream.send_all(data[:-4])

                async def is_accepted() -> bool:
                    return exceeded.called

                await eventually(is_accepted)
                gateway.stop.set()
                await trio.sleep(0.3)
                answer = await ask_on(stream, data[-4:], "GET")
        await gateway.stopped.wait()
    assert (answer.status, answer.is_complete) == (503, True)


@params(0.0, 0.2)
@runs_on_paused_clock
async def test_callers_that_wait_at_the_port_at_the_end_of_a_stop_are_answered(
    notice_s,
):
    """Stop a gateway whose accept loop does not get its turn before the end."""
    stop = GatewayStopSection(notice_s=notice_s, grace_s=3.0)
    answers: list[Answer] = []

    async def accept_never(state, listener, nursery) -> None:
        await trio.sleep_forever()

    async with running_site(stop=stop) as site:
        with mock.patch.object(accepting, "accept_forever", accept_never):
            gateway = site.start_gateway(site.store_port, stop=stop)
            await gateway.wait_ready()

        async def ask(number: int) -> None:
            answers.append(await gateway.ask(request_bytes("/safe/1", f"r-{number}")))

        async with trio.open_nursery() as nursery:
            for number in range(WAITING_CALLERS):
                nursery.start_soon(ask, number)
            await trio.testing.wait_all_tasks_blocked()
            gateway.stop.set()
        await gateway.stopped.wait()
    assert [answer.is_complete for answer in answers] == [True] * WAITING_CALLERS
    assert {answer.status for answer in answers} <= {200, 503}


@runs_on_paused_clock
async def test_a_connection_counts_before_its_task_has_run():
    state = make_state(gateway_settings("127.0.0.1", 1, free_port()))
    with listening.open_listener("127.0.0.1", 0) as listener:
        async with trio.open_nursery() as nursery:
            state.may_accept_callers.set()
            state.config_and_targets_loaded.set()
            async with await trio.open_tcp_stream(*listener.getsockname()):
                await accepting.accept_rest(state, listener, nursery)
                assert len(state.connections) == 1
                assert listener.fileno() < 0
                nursery.cancel_scope.cancel()
    assert not state.connections


@runs_on_paused_clock
async def test_connections_without_end_do_not_hold_a_stop():
    """Stop while callers that are turned away connect again at once."""
    state = make_state(gateway_settings("127.0.0.1", 1, free_port()))
    accepted: list[socket.socket] = []

    def accept_another(listener: socket.socket) -> socket.socket | None:
        if len(accepted) >= RECONNECTING_CALLERS:
            return None
        accepted.append(socket.socket())
        return accepted[-1]

    scope = trio.CancelScope()
    with (
        listening.open_listener("127.0.0.1", 0) as listener,
        mock.patch.object(accepting.sockets, "accept_nowait", accept_another),
        mock.patch.object(accepting, "closes_unread", return_value=True),
    ):
        async with trio.open_nursery() as nursery:
            with scope:
                scope.deadline = trio.current_time()
                await accepting.accept_rest(state, listener, nursery)
    assert scope.cancelled_caught
    assert len(accepted) <= accepting.ACCEPT_BATCH


@runs_on_paused_clock
async def test_a_new_connection_is_left_time_for_its_first_request():
    # A stop closed it at once, under the request that its caller was sending.
    with captured_states() as states:
        async with running_site(runner_count=1) as site:
            port = site.gateways[0].front_port
            async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                await trio.testing.wait_all_tasks_blocked()
                (caller,) = states[0].connections
                caller.close_when_idle()
                await trio.testing.wait_all_tasks_blocked()
                answer = await ask_on(stream, request_bytes("/safe/1"), "GET")
                assert (answer.status, answer.is_complete) == (200, True)
            async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                await trio.sleep(FIRST_REQUEST_S + 0.01)
                (caller,) = states[0].connections
                caller.close_when_idle()
                assert await stream.receive_some() == b""
