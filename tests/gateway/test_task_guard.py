"""Tests that the failure of one task ends neither the process nor the task's work."""

from unittest import mock

import trio
import trio.testing
from nose2.tools import params

from scaleloom_fleet.conf.gateway_schema import GatewayObserveSection
from scaleloom_fleet.gateway import (
    accepting,
    page_server,
    process,
    readiness,
)
from scaleloom_fleet.gateway.abandoned_links import AbandonedLinks
from scaleloom_fleet.gateway.config_watch import ConfigWatch
from scaleloom_fleet.gateway.crash_log import CrashLog
from scaleloom_fleet.gateway.document_copies import DocumentCopies
from scaleloom_fleet.gateway.link_pools import LinkPools
from scaleloom_fleet.gateway.list_watch import ListWatch
from scaleloom_fleet.gateway.peer_documents import DocumentServer
from scaleloom_fleet.gateway.peer_exchange import PeerExchange
from scaleloom_fleet.gateway.prefix_holder_copies import PrefixHolderCopies
from scaleloom_fleet.gateway.process import make_state
from scaleloom_fleet.gateway.rollout_decider import RolloutDecider
from scaleloom_fleet.gateway.target_probes import TargetProber
from scaleloom_fleet.gateway.task_guard import (
    FIRST_PAUSE_S,
    MAX_PAUSE_S,
    keep_running,
    run_once,
)
from scaleloom_fleet.gateway.wait_queue import WaitQueue
from scaleloom_standins.ports import free_port
from tests.fixtures.expositions import parse_page
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    FIRST_GATEWAY_HOST,
    ask_raw,
    eventually,
    gateway_settings,
    request_bytes,
    running_site,
)
from tests.fixtures.logs import FieldsHandler

FAILURES = (RuntimeError, MemoryError, RecursionError, OSError, UnicodeError)
TASKS = (
    (accepting, "accept_forever", "accept"),
    (readiness, "answer_forever", "readiness"),
    (PeerExchange, "serve_documents", "documents"),
    (ListWatch, "follow", "targets"),
    (ConfigWatch, "follow", "configuration"),
    (PeerExchange, "receive_forever", "datagrams"),
    (PeerExchange, "report_forever", "reports"),
    (PeerExchange, "announce_origins_forever", "origins"),
    (PeerExchange, "fetch_forever", "fetches"),
    (PeerExchange, "register_forever", "registration"),
    (DocumentCopies, "read_until_loaded", "copy_reads"),
    (DocumentCopies, "write_forever", "copy_writes"),
    (PrefixHolderCopies, "read", "holder_reads"),
    (PrefixHolderCopies, "write_forever", "holder_writes"),
    (RolloutDecider, "decide_forever", "rollouts"),
    (CrashLog, "follow", "crash_reads"),
    (CrashLog, "write_forever", "crash_writes"),
    (CrashLog, "prune_forever", "crash_pruning"),
    (TargetProber, "probe_forever", "probes"),
    (AbandonedLinks, "drain_forever", "abandoned_links"),
    (LinkPools, "sweep_forever", "idle_links"),
    (process, "watch_links", "silent_links"),
    (WaitQueue, "dispatch_forever", "wait_queue"),
    (process, "watch_lateness", "lateness"),
    (process, "record_start_time", "start_time"),
    (process, "write_lines", "log"),
    (process, "serve_page", "metrics"),
)


def _failing_first(task, failure: type[Exception]):
    """Return `task` as a mock that fails at its first call."""
    failures = [failure("unexpected")]

    async def run(*arguments, **options):
        if failures:
            raise failures.pop()
        return await task(*arguments, **options)

    return mock.Mock(side_effect=run)


@params(*TASKS)
@runs_on_paused_clock
async def test_a_task_that_fails_is_started_again(owner, name, label):
    failure = FAILURES[len(label) % len(FAILURES)]
    failing = _failing_first(getattr(owner, name), failure)

    # A plain function is bound to its instance like the method that it replaces.
    def run(*arguments, **options):
        return failing(*arguments, **options)

    port = free_port()
    observe = GatewayObserveSection(metrics_address=f"{FIRST_GATEWAY_HOST}:{port}")
    with (
        mock.patch.object(owner, name, run),
        FieldsHandler.capture("scaleloom.tasks", "task failed") as failures,
    ):
        async with running_site(allows_task_failures=True, observe=observe) as site:
            assert (await site.ask("/safe/1")).status == 200
            await trio.sleep(2 * FIRST_PAUSE_S)
            request = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
            page = parse_page((await ask_raw(port, request)).body)
    assert failing.call_count == 2
    assert [fields["task"] for fields in failures] == [label]
    assert failures[0]["exc_info"][0] is not None
    assert page.value("scaleloom_task_failures_total", task=label) == 1


@runs_on_paused_clock
async def test_the_pauses_grow_up_to_a_limit():
    state = make_state(gateway_settings(FIRST_GATEWAY_HOST, 1, free_port()))
    began_s: list[float] = []

    async def fail() -> None:
        began_s.append(trio.current_time())
        if len(began_s) < 10:
            raise RuntimeError("again")

    await keep_running(state, "task", fail)
    pauses_s = [later - s for s, later in zip(began_s, began_s[1:])]
    assert abs(pauses_s[0] - FIRST_PAUSE_S) < 0.01
    assert pauses_s == sorted(pauses_s)
    assert abs(pauses_s[-1] - MAX_PAUSE_S) < 0.01


@runs_on_paused_clock
async def test_a_cancelled_task_is_not_started_again():
    state = make_state(gateway_settings(FIRST_GATEWAY_HOST, 1, free_port()))
    counts: list[int] = []

    async def fail_as_it_is_cancelled() -> None:
        counts.append(1)
        try:
            await trio.sleep_forever()
        finally:
            raise RuntimeError("while it ends")

    async def run_nursery() -> None:
        async with trio.open_nursery() as inner:
            inner.start_soon(fail_as_it_is_cancelled)
            inner.start_soon(trio.sleep_forever)

    with trio.move_on_after(1.0) as scope:
        await keep_running(state, "task", run_nursery)
    assert scope.cancelled_caught
    assert counts == [1]


@params(
    (accepting, "_serve_requests", "caller"),
    (page_server, "_serve_requests", "page"),
    (DocumentServer, "_respond", "document"),
)
@runs_on_paused_clock
async def test_a_connection_that_fails_ends_alone(owner, name, label):
    async with running_site(allows_task_failures=True) as site:
        gateway = site.gateways[0]
        port = {
            "caller": gateway.front_port,
            "page": gateway.settings.ready_address.port,
            "document": site.peer_port,
        }[label]
        failing = mock.AsyncMock(side_effect=RuntimeError("unexpected"))
        with (
            mock.patch.object(owner, name, failing),
            FieldsHandler.capture("scaleloom.tasks", "task failed") as failures,
        ):
            answer = await ask_raw(port, request_bytes("/safe/1"))
        assert answer.status is None
        assert [fields["task"] for fields in failures] == [label]
        await gateway.wait_ready()
        assert (await site.ask("/safe/1")).status == 200


@runs_on_paused_clock
async def test_a_datagram_that_cannot_be_applied_does_not_stop_the_others():
    async with running_site(gateway_count=2, allows_task_failures=True) as site:
        failing = mock.Mock(side_effect=RuntimeError("unexpected"))
        with (
            mock.patch.object(PeerExchange, "_apply", failing),
            FieldsHandler.capture("scaleloom.tasks", "task failed") as failures,
        ):

            async def have_failed() -> bool:
                return len(failures) > 3

            await eventually(have_failed)
        assert {fields["task"] for fields in failures} == {"datagram"}
        assert (await site.ask("/safe/1")).status == 200


@runs_on_paused_clock
async def test_a_task_that_does_not_fail_returns_that():
    state = make_state(gateway_settings(FIRST_GATEWAY_HOST, 1, free_port()))
    assert await run_once(state, "task", trio.sleep, 0.01)
    assert not await run_once(state, "task", mock.AsyncMock(side_effect=OSError))


@runs_on_paused_clock
async def test_a_site_notices_a_task_that_fails():
    failing = mock.AsyncMock(side_effect=RuntimeError("unexpected"))
    try:
        with mock.patch.object(accepting, "_serve_requests", failing):
            async with running_site() as site:
                await site.ask("/safe/1")
    except AssertionError as error:
        assert "unexpected" in str(error)
        return
    raise AssertionError("a task failed unnoticed")
