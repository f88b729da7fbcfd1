"""The gateway process: its tasks and its graceful stop."""

import logging
import socket
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import trio

from scaleloom_core.cold_targets import ColdSendSchedule
from scaleloom_core.fleet_load import FleetLoad
from scaleloom_core.ids import DataCentreName
from scaleloom_core.list_freshness import ListFreshness
from scaleloom_core.retry_after import RetryAfterScheduler
from scaleloom_core.retry_windows import RetryWindows
from scaleloom_core.target_choice import TargetChooser
from scaleloom_core.targets import TargetView
from scaleloom_fleet.conf.gateway_schema import GatewaySettings
from scaleloom_fleet.gateway import accepting, readiness
from scaleloom_fleet.gateway.answer_signals import record_signals
from scaleloom_fleet.gateway.config_watch import ConfigWatch
from scaleloom_fleet.gateway.crash_log import CrashLog
from scaleloom_fleet.gateway.document_copies import DocumentCopies
from scaleloom_fleet.gateway.interfaces import load_adapter
from scaleloom_fleet.gateway.link_pools import LinkPools
from scaleloom_fleet.gateway.list_watch import ListWatch
from scaleloom_fleet.gateway.metric_collectors import add_collectors
from scaleloom_fleet.gateway.metric_definitions import DEFINITIONS
from scaleloom_fleet.gateway.metrics_page import serve_page
from scaleloom_fleet.gateway.overload_refusals import watch_lateness
from scaleloom_fleet.gateway.peer_exchange import PeerExchange
from scaleloom_fleet.gateway.prefix_holder_copies import PrefixHolderCopies
from scaleloom_fleet.gateway.rollout_decider import RolloutDecider
from scaleloom_fleet.gateway.rollout_records import set_gauges
from scaleloom_fleet.gateway.settings_reload import reload_on_sighup
from scaleloom_fleet.gateway.silent_links import watch_links
from scaleloom_fleet.gateway.start_time import record_start_time
from scaleloom_fleet.gateway.state import GatewayState, make_process_limits
from scaleloom_fleet.gateway.store_access import StoreAccess
from scaleloom_fleet.gateway.target_selection import backoff_until_s
from scaleloom_fleet.gateway.task_guard import keep_running
from scaleloom_fleet.gateway.wait_queue import WaitQueue
from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.http1.binding import open_when_free
from scaleloom_fleet.utils.addresses import Address
from scaleloom_fleet.utils.exposition import MetricRegistry
from scaleloom_fleet.utils.logs import write_lines
from scaleloom_fleet.utils.statsd_metrics import FLUSH_INTERVAL_S, make_statsd_metrics
from scaleloom_fleet.utils.stop_signals import wait_for_stop_signal

Task = Callable[..., Awaitable[None]]
IDLE_CHECK_INTERVAL_S = 0.1
STOP_MARGIN_S = 0.3
# Part of the margin; the rest is for the end of the process.
LAST_ANSWERS_S = 0.15
# A connection that has just been accepted is answered within these passes of the loop,
# which are long in a busy process.
LAST_ANSWERS_PASSES = 6
# Callers may count on the rest of the grace for answers that take long.
MAX_MARGIN_SHARE_OF_GRACE = 1 / 6
PASS_CHECK_INTERVAL_S = 0.05
# Shorter passes don't bring the end forward by as much as is worth a log line.
LONG_PASS_S = 0.005
LAST_ANSWERS_CHECK_S = 0.01
_logger = logging.getLogger("scaleloom.gateway")


async def run_gateway(
    settings: GatewaySettings,
    wait_stop: Callable[[], Awaitable[None]] = wait_for_stop_signal,
    settings_path: Path | None = None,
) -> None:
    """
    Run a gateway until it is asked to stop.

    Parameters
    ----------
    wait_stop : callable
        Returns when the process is to stop.
    settings_path : Path or None
        The settings file, read again at SIGHUP.
    """
    state = make_state(settings)
    access = StoreAccess(state)
    state.wait_queue.backoff_until_s = partial(backoff_until_s, state)
    state.abandoned_links.connect(partial(record_signals, state))
    config = ConfigWatch(state, access)
    targets = ListWatch(state, access, config.cancel_call)
    peers = PeerExchange(state, access)
    copies = DocumentCopies(state, access)
    holder_copies = PrefixHolderCopies(state, access)
    decisions = RolloutDecider(state, access)
    crash_log = CrashLog(state, access)
    state.crashes.begin_trial = crash_log.begin_trial

    front: socket.socket | None = None

    def start(nursery: trio.Nursery, name: str, task: Task, *arguments) -> None:
        """Start a task that is started again if it fails."""
        nursery.start_soon(keep_running, state, name, partial(task, *arguments))

    async def begin(nursery: trio.Nursery) -> None:
        """Open the ports as they become free, and start the tasks."""
        nonlocal front
        front = await _listen(settings.front_address, "callers")
        start(nursery, "accept", accepting.accept_forever, state, front, nursery)
        ready = await _listen(settings.ready_address, "readiness page")
        start(nursery, "readiness", readiness.answer_forever, state, ready, nursery)
        documents = await peers.bind()
        start(nursery, "documents", peers.serve_documents, documents, nursery)
        state.may_accept_callers.set()
        _logger.info("started")
        for name, task in {
            "targets": targets.follow,
            "configuration": config.follow,
            "datagrams": peers.receive_forever,
            "reports": peers.report_forever,
            "origins": peers.announce_origins_forever,
            "fetches": peers.fetch_forever,
            "registration": peers.register_forever,
            "copy_reads": copies.read_until_loaded,
            "copy_writes": copies.write_forever,
            "holder_reads": holder_copies.read,
            "holder_writes": holder_copies.write_forever,
            "rollouts": decisions.decide_forever,
            "crash_reads": crash_log.follow,
            "crash_writes": crash_log.write_forever,
            "crash_pruning": crash_log.prune_forever,
            "probes": state.crashes.prober.probe_forever,
            "abandoned_links": state.abandoned_links.drain_forever,
            "idle_links": state.link_pools.sweep_forever,
            "silent_links": partial(watch_links, state.link_pools),
            "wait_queue": state.wait_queue.dispatch_forever,
            "lateness": partial(watch_lateness, state),
            "start_time": partial(record_start_time, state),
        }.items():
            start(nursery, name, task)
        if settings.metrics_address is not None:
            add_collectors(state)
            address = settings.metrics_address
            start(nursery, "metrics", serve_page, state, address, nursery)
        if settings.statsd_address is not None:
            start(nursery, "statsd", _report_metrics, state)

    async def accept_rest() -> None:
        """Accept the callers that wait at the port, and close it."""
        if front is not None:
            await accepting.accept_rest(state, front, nursery)

    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(begin, nursery)
            start(nursery, "log", write_lines)
            if settings_path is not None:
                start(nursery, "settings", reload_on_sighup, state, settings_path)
            await wait_stop()
            await _drain(state, accept_rest)
            nursery.cancel_scope.cancel()
    finally:
        # Not before the tasks that use the socket have ended.
        peers.close()
    state.link_pools.close()
    _logger.info("stopped")


async def _listen(address: Address, purpose: str) -> socket.socket:
    """Return a listener at `address`, as soon as its port is free."""
    return await open_when_free(partial(sockets.listen, address), address, purpose)


def make_state(settings: GatewaySettings) -> GatewayState:
    """Return the state of a process that has just started."""
    view = TargetView()
    load = FleetLoad()
    data_centre = DataCentreName(settings.instance.data_centre)
    bound = settings.bounds
    returns = RetryAfterScheduler()
    cold = ColdSendSchedule(str(settings.peer_address))
    return GatewayState(
        settings=settings,
        adapter=load_adapter(settings.platform.adapter),
        view=view,
        load=load,
        chooser=TargetChooser(
            view, load, data_centre, bound.load_multiple, cold_schedule=cold
        ),
        retry_windows=RetryWindows(
            bound.retry_ratio, bound.retry_extra, bound.retry_window_s
        ),
        wait_queue=WaitQueue(load, returns.freed_per_s),
        retry_after_scheduler=returns,
        link_pools=LinkPools(settings.targets),
        freshness=ListFreshness(settings.platform.list_poll_s),
        process_limits=make_process_limits(settings),
        statsd=make_statsd_metrics(settings.statsd_address, settings.instance.name),
        metrics_registry=MetricRegistry(
            DEFINITIONS, settings.metrics_address is not None
        ),
    )


async def _report_metrics(state: GatewayState) -> None:
    """Send counters and gauges to the statsd server once a second."""
    while True:
        await trio.sleep(FLUSH_INTERVAL_S)
        now_s = trio.current_time()
        metrics = state.statsd
        metrics.gauge("connections", len(state.connections))
        metrics.gauge("in_flight", sum(state.load.local.values()))
        metrics.gauge("waiting", state.wait_queue.size)
        metrics.gauge("routers", state.router_count)
        metrics.gauge("targets", len(state.view.records))
        metrics.gauge("list_age_ms", state.freshness.age_ms(now_s))
        for rollout in state.rollouts.by_service.values():
            set_gauges(metrics, rollout.state, now_s)
        if state.routing is not None:
            metrics.gauge("configuration", state.routing.version)
        metrics.flush()


async def _drain(
    state: GatewayState, accept_rest: Callable[[], Awaitable[None]]
) -> None:
    """
    Drain the process.

    Readiness is withdrawn first. After the notice time idle connections are closed,
    and requests that could outlast the grace period are refused. When no connection
    is left, the port is closed, and who waited there is served or refused. Requests
    that are still in flight at the end of the grace period are answered as at their
    deadlines; this begins earlier in a busy process, which takes longer for it.

    Parameters
    ----------
    accept_rest : callable
        Accepts the callers that wait at the port, and closes it.
    """
    state.is_stopping = True
    # Callers that wait at the port are served or refused also if the start is not over.
    state.may_accept_callers.set()
    _logger.info("stopping", extra={"connections": len(state.connections)})
    stop = state.settings.stop
    stopped_s = trio.current_time() + stop.grace_s - STOP_MARGIN_S
    more_s = 0.0
    with trio.CancelScope(deadline=stopped_s) as scope:
        pass_s = await _sleep_and_measure(stop.notice_s)
        more_s = _margin_for_passes(pass_s, stop.grace_s)
        stopped_s -= more_s
        state.shutdown_deadline_s = scope.deadline = stopped_s
        await _close_connections(state, IDLE_CHECK_INTERVAL_S)
        await accept_rest()
        await _close_connections(state, IDLE_CHECK_INTERVAL_S)
    state.shutdown_deadline_s = stopped_s
    for connection in list(state.connections):
        connection.end_request()
    with trio.move_on_after(LAST_ANSWERS_S + more_s):
        await accept_rest()
        await _close_connections(state, LAST_ANSWERS_CHECK_S)


async def _sleep_and_measure(duration_s: float) -> float:
    """Sleep, and return how long a pass of the loop took in the mean, in seconds."""
    end_s = trio.current_time() + duration_s
    sum_s, count = 0.0, 0
    while (now_s := trio.current_time()) < end_s:
        await trio.sleep_until(min(end_s, now_s + PASS_CHECK_INTERVAL_S))
        begun_s = trio.current_time()
        await trio.lowlevel.checkpoint()
        sum_s += trio.current_time() - begun_s
        count += 1
    return sum_s / count if count else 0.0


def _margin_for_passes(pass_s: float, grace_s: float) -> float:
    """Return by how much earlier the last answers of a busy process begin, in s."""
    limit_s = MAX_MARGIN_SHARE_OF_GRACE * grace_s - STOP_MARGIN_S
    more_s = min(LAST_ANSWERS_PASSES * pass_s, max(0.0, limit_s))
    if pass_s > LONG_PASS_S:
        fields = {"pass_ms": int(pass_s * 1000), "earlier_ms": int(more_s * 1000)}
        _logger.warning("stop ends earlier, as the process is busy", extra=fields)
    return more_s


async def _close_connections(state: GatewayState, interval_s: float) -> None:
    """Close connections as they become idle, until none is left or being refused."""
    while state.connections or state.refusals_in_progress:
        for connection in list(state.connections):
            connection.close_when_idle()
        await trio.sleep(interval_s)
