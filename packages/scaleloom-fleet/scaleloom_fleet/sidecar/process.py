"""The sidecar process: its state, routes, tasks and shutdown."""

import logging
import uuid
from functools import partial

import trio

from scaleloom_core.admission import AdmissionController, AdmissionPolicy
from scaleloom_core.fold import Fold
from scaleloom_core.idempotency import IdempotencyPolicy
from scaleloom_core.ids import Incarnation, ServiceName, TargetId
from scaleloom_core.key_owner import KeyOwner
from scaleloom_core.load_bound import BoundPolicy
from scaleloom_core.membership import Membership
from scaleloom_core.ownership import Claimant, LeasePolicy
from scaleloom_core.target_pools import ServiceTargets
from scaleloom_fleet.conf.loading import parse_optional_address
from scaleloom_fleet.conf.schema import SidecarSettings
from scaleloom_fleet.control.config_store import ConfigStore
from scaleloom_fleet.control.datagrams import DatagramEndpoint
from scaleloom_fleet.control.list_feed import ListFeed
from scaleloom_fleet.control.rpc import ControlClient, ControlHandlers, serve_control
from scaleloom_fleet.http.asgi import ANY_METHOD, Reply, Request, Route, json_reply
from scaleloom_fleet.http.clients import HttpClient
from scaleloom_fleet.http.problems import make_application
from scaleloom_fleet.http.serving import serve_http
from scaleloom_fleet.platform.engine import open_http_engine
from scaleloom_fleet.platform.instance_list import open_http_list
from scaleloom_fleet.platform.log import open_http_log
from scaleloom_fleet.sidecar.cache_events import run_cache_events
from scaleloom_fleet.sidecar.completions import (
    COMPLETIONS_PATH,
    handle_cancel,
    handle_completion,
    handle_resume,
)
from scaleloom_fleet.sidecar.draining import start_draining
from scaleloom_fleet.sidecar.handover import (
    receive_hand_over,
    run_handover,
    wait_handed_over,
)
from scaleloom_fleet.sidecar.key_slot_claims import run_claims, run_owner_updates
from scaleloom_fleet.sidecar.load_orders import run_orders
from scaleloom_fleet.sidecar.load_sampling import handle_datagram, run_sampling
from scaleloom_fleet.sidecar.router_sync import run_sync
from scaleloom_fleet.sidecar.service_calls import handle_call, handle_key_status
from scaleloom_fleet.sidecar.state import SidecarState
from scaleloom_fleet.utils.addresses import Address, parse_address
from scaleloom_fleet.utils.clock import now_s
from scaleloom_fleet.utils.logs import write_lines
from scaleloom_fleet.utils.statsd_metrics import make_statsd_metrics
from scaleloom_fleet.utils.stop_signals import wait_for_stop_signal

ENGINE_KIND = "engine"
DRAIN_POLL_S = 0.05
_logger = logging.getLogger("scaleloom.sidecar")


def build_sidecar(settings: SidecarSettings, nursery: trio.Nursery) -> SidecarState:
    """Return the initial state of a sidecar; no task is started."""
    target_address = parse_address(settings.target.address)
    platform = settings.platform
    name = TargetId(settings.instance.name)
    is_engine = settings.target.kind == ENGINE_KIND
    connect_timeout_s, read_timeout_s = _timeouts(settings)
    platform_client = HttpClient()
    config = ConfigStore(Fold())
    return SidecarState(
        settings=settings,
        name=name,
        target_address=target_address,
        config=config,
        membership=Membership(),
        services=ServiceTargets(config.fold),
        admission=AdmissionController(
            settings.target.capacity, _admission_policy(settings), now_s()
        ),
        owner=None if is_engine else _make_owner(settings),
        engine=(
            open_http_engine(target_address, platform_client, platform.timeout_s)
            if is_engine
            else None
        ),
        client=HttpClient(connect_timeout_s, read_timeout_s),
        unpooled_client=HttpClient(
            connect_timeout_s, read_timeout_s, reuses_connections=False
        ),
        log=open_http_log(
            parse_address(platform.log_address), platform_client, platform.timeout_s
        ),
        datagrams=DatagramEndpoint(name),
        control_client=ControlClient(),
        metrics=make_statsd_metrics(
            parse_optional_address(settings.observe.statsd_address),
            f"scaleloom.{name}",
        ),
        nursery=nursery,
    )


def _timeouts(settings: SidecarSettings) -> tuple[float, float]:
    """Return the connect timeout and the read timeout, in seconds."""
    return settings.limits.connect_timeout_s, settings.limits.answer_pause_s


def _admission_policy(settings: SidecarSettings) -> AdmissionPolicy:
    """
    Return the admission policy from the settings.

    The load bound over the pool applies to engines only. For a plain service the
    floor of the bound equals the number of requests admitted at once.
    """
    bound = settings.bound
    slot_limit = int(settings.target.capacity * bound.queue_factor)
    is_engine = settings.target.kind == ENGINE_KIND
    return AdmissionPolicy(
        bound=BoundPolicy(bound.multiple, bound.floor if is_engine else slot_limit),
        queue_factor=bound.queue_factor,
        reserve=bound.reserve,
        warm_up_s=bound.warm_up_s,
    )


def _make_owner(settings: SidecarSettings) -> KeyOwner:
    """Return the owner of the key slots of this sidecar's service."""
    lease = settings.lease
    name = TargetId(settings.instance.name)
    claimant = Claimant(name, Incarnation(uuid.uuid4().hex))
    return KeyOwner(
        ServiceName(settings.target.service),
        claimant,
        LeasePolicy(lease.lease_s, lease.skew_bound_s, lease.retention_s),
        IdempotencyPolicy(
            retention_s=lease.retention_s,
            entry_limit=lease.entry_limit,
            skew_bound_s=lease.skew_bound_s,
        ),
    )


def make_routes(state: SidecarState) -> list[Route]:
    """Return the HTTP routes of a sidecar."""
    health = Route("GET", "/health", partial(_handle_health, state))
    if state.owner is not None:
        return [
            health,
            Route(ANY_METHOD, "/call/{path*}", partial(handle_call, state)),
            Route("GET", "/once/{key}", partial(handle_key_status, state)),
        ]
    return [
        health,
        Route("POST", COMPLETIONS_PATH, partial(handle_completion, state)),
        Route("GET", "/streams/{attempt}", partial(handle_resume, state)),
        Route("DELETE", "/streams/{attempt}", partial(handle_cancel, state)),
    ]


async def _handle_health(state: SidecarState, request: Request) -> Reply:
    """Answer whether this target is draining, and the volume of control traffic."""
    traffic = state.datagrams.traffic
    return json_reply(
        {
            "is_leaving": state.admission.is_draining,
            "control_sent_bytes": traffic.sent_bytes,
            "control_received_bytes": traffic.received_bytes,
        }
    )


async def run_sidecar(settings: SidecarSettings) -> None:
    """Run a sidecar until it receives a stop signal and has drained."""
    async with trio.open_nursery() as nursery:
        state = build_sidecar(settings, nursery)
        instance = settings.instance
        state.datagrams.bind(instance.host, instance.control_port)
        handlers = ControlHandlers(
            state.config.answer_fetch, partial(receive_hand_over, state)
        )
        await nursery.start(
            serve_control, handlers, Address(instance.host, instance.grpc_port)
        )
        _start_tasks(state, nursery)
        application = make_application(make_routes(state))
        await serve_http(
            application,
            instance.host,
            instance.http_port,
            partial(_drain_on_stop, state),
            settings.stop.drain_limit_s,
        )
        nursery.cancel_scope.cancel()


def _start_tasks(state: SidecarState, nursery: trio.Nursery) -> None:
    """Start the background tasks."""
    platform = state.settings.platform
    read_list = open_http_list(
        parse_address(platform.list_address), HttpClient(), platform.timeout_s
    )
    list_feed = ListFeed(read_list, state.membership, platform.list_poll_s)
    nursery.start_soon(state.datagrams.run, partial(handle_datagram, state))
    nursery.start_soon(list_feed.run)
    nursery.start_soon(run_sync, state)
    nursery.start_soon(run_sampling, state)
    nursery.start_soon(state.metrics.run)
    nursery.start_soon(write_lines)
    nursery.start_soon(state.disconnect_watch.run)
    if state.owner is not None:
        nursery.start_soon(run_claims, state)
        nursery.start_soon(run_owner_updates, state)
        nursery.start_soon(run_handover, state)
    else:
        nursery.start_soon(run_orders, state)
        nursery.start_soon(run_cache_events, state)


async def _drain_on_stop(state: SidecarState) -> None:
    """Wait for the stop signal, then drain the target within the time limits."""
    await wait_for_stop_signal()
    _logger.info("stop signal received; draining the target")
    state.is_stopping = True
    start_draining(state)
    stop = state.settings.stop
    if state.owner is not None:
        await wait_handed_over(state)
    with trio.move_on_after(stop.drain_limit_s):
        while state.admission.load:
            await trio.sleep(DRAIN_POLL_S)
    await trio.sleep(stop.notice_s)
