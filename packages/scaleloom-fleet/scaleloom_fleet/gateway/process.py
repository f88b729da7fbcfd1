"""The gateway process: its tasks and its graceful stop."""

import logging
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import trio

from scaleloom_core.cold_targets import ColdShares
from scaleloom_core.fleet_load import FleetLoad
from scaleloom_core.ids import DataCentreName
from scaleloom_core.list_freshness import ListFreshness
from scaleloom_core.own_limits import OwnLimits
from scaleloom_core.retry_windows import RetryWindows
from scaleloom_core.return_times import ReturnTimes
from scaleloom_core.target_choice import TargetChooser
from scaleloom_core.targets import TargetView
from scaleloom_fleet.conf.gateway_schema import GatewaySettings
from scaleloom_fleet.gateway import accepting, readiness
from scaleloom_fleet.gateway.answer_news import record_signals
from scaleloom_fleet.gateway.choosing import backoff_until_s
from scaleloom_fleet.gateway.config_watch import ConfigWatch
from scaleloom_fleet.gateway.copies import DocumentCopies
from scaleloom_fleet.gateway.crash_log import CrashLog
from scaleloom_fleet.gateway.figures import DEFINITIONS
from scaleloom_fleet.gateway.gauges import add_collectors
from scaleloom_fleet.gateway.holder_copies import HolderCopies
from scaleloom_fleet.gateway.interfaces import load_adapter
from scaleloom_fleet.gateway.limiting import watch_lateness
from scaleloom_fleet.gateway.list_watch import ListWatch
from scaleloom_fleet.gateway.metrics_page import serve_page
from scaleloom_fleet.gateway.peers import PeerExchange
from scaleloom_fleet.gateway.pools import LinkPools
from scaleloom_fleet.gateway.reloading import reload_at_signals
from scaleloom_fleet.gateway.rollout_decisions import RolloutDecisions
from scaleloom_fleet.gateway.rollout_records import measure
from scaleloom_fleet.gateway.start_time import record_start_time
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_access import StoreAccess
from scaleloom_fleet.gateway.waiting import WaitingRoom
from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.utils.exposition import Figures
from scaleloom_fleet.utils.logs import write_lines
from scaleloom_fleet.utils.metrics import FLUSH_INTERVAL_S, make_metrics
from scaleloom_fleet.utils.stopping import wait_signal

IDLE_CHECK_INTERVAL_S = 0.1
STOP_MARGIN_S = 0.3
_logger = logging.getLogger("scaleloom.gateway")


async def run_gateway(
    settings: GatewaySettings,
    wait_stop: Callable[[], Awaitable[None]] = wait_signal,
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
    state.waiting.backoff_until_s = partial(backoff_until_s, state)
    state.given_up.connect(partial(record_signals, state))
    config = ConfigWatch(state, access)
    targets = ListWatch(state, access, config.drop_call)
    peers = PeerExchange(state, access)
    copies = DocumentCopies(state, access)
    holder_copies = HolderCopies(state, access)
    decisions = RolloutDecisions(state, access)
    crash_log = CrashLog(state, access)
    state.crashes.begin_trial = crash_log.begin_trial
    front = sockets.listen(settings.front_address)
    ready = sockets.listen(settings.ready_address)
    documents = peers.bind()
    _logger.info("started")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(accepting.accept_forever, state, front, nursery)
        nursery.start_soon(readiness.answer_forever, state, ready, nursery)
        nursery.start_soon(peers.serve_documents, documents, nursery)
        for task in (
            targets.follow,
            config.follow,
            peers.receive_forever,
            peers.report_forever,
            peers.fetch_forever,
            peers.introduce,
            copies.read_until_known,
            copies.write_forever,
            holder_copies.read,
            holder_copies.write_forever,
            decisions.decide_forever,
            crash_log.follow,
            crash_log.write_forever,
            crash_log.prune_forever,
            state.crashes.checks.probe_forever,
            state.given_up.drain_forever,
            state.pools.sweep_forever,
            state.waiting.dispatch_forever,
            partial(watch_lateness, state),
        ):
            nursery.start_soon(task)
        nursery.start_soon(record_start_time, state)
        nursery.start_soon(write_lines)
        if settings.metrics_address is not None:
            add_collectors(state)
            nursery.start_soon(serve_page, state, settings.metrics_address, nursery)
        if settings.statsd_address is not None:
            nursery.start_soon(_report_metrics, state)
        if settings_path is not None:
            nursery.start_soon(reload_at_signals, state, settings_path)
        await wait_stop()
        await _drain(state)
        nursery.cancel_scope.cancel()
    state.pools.close()
    _logger.info("stopped")


def make_state(settings: GatewaySettings) -> GatewayState:
    """Return the state of a process that has just started."""
    view = TargetView()
    load = FleetLoad()
    data_centre = DataCentreName(settings.instance.data_centre)
    bound = settings.bounds
    returns = ReturnTimes()
    cold = ColdShares(str(settings.peer_address))
    return GatewayState(
        settings=settings,
        adapter=load_adapter(settings.platform.adapter),
        view=view,
        load=load,
        chooser=TargetChooser(view, load, data_centre, bound.load_multiple, cold=cold),
        windows=RetryWindows(
            bound.retry_ratio, bound.retry_extra, bound.retry_window_s
        ),
        waiting=WaitingRoom(load, returns.freed_per_s),
        returns=returns,
        pools=LinkPools(settings.targets),
        freshness=ListFreshness(settings.platform.list_poll_s),
        own_limits=OwnLimits(settings.means),
        metrics=make_metrics(settings.statsd_address, settings.instance.name),
        figures=Figures(DEFINITIONS, settings.metrics_address is not None),
    )


async def _report_metrics(state: GatewayState) -> None:
    """Send counters and gauges to the statsd server once a second."""
    while True:
        await trio.sleep(FLUSH_INTERVAL_S)
        now_s = trio.current_time()
        metrics = state.metrics
        metrics.gauge("connections", len(state.connections))
        metrics.gauge("in_flight", sum(state.load.own.values()))
        metrics.gauge("waiting", state.waiting.size)
        metrics.gauge("routers", state.router_count)
        metrics.gauge("targets", len(state.view.records))
        metrics.gauge("list_age_ms", state.freshness.age_ms(now_s))
        for rollout in state.rollouts.by_service.values():
            measure(metrics, rollout.course, now_s)
        if state.routing is not None:
            metrics.gauge("configuration", state.routing.version)
        metrics.flush()


async def _drain(state: GatewayState) -> None:
    """
    Drain the process.

    Readiness is withdrawn first. After the notice time idle connections are closed,
    and requests that could outlast the grace period are refused.
    """
    state.is_stopping = True
    _logger.info("stopping", extra={"connections": len(state.connections)})
    stop = state.settings.stop
    stopped_s = trio.current_time() + stop.grace_s - STOP_MARGIN_S
    with trio.move_on_at(stopped_s):
        await trio.sleep(stop.notice_s)
        state.last_answer_s = stopped_s
        while state.connections:
            for connection in list(state.connections):
                connection.leave()
            await trio.sleep(IDLE_CHECK_INTERVAL_S)
