"""Construction and main task of a router process."""

import logging
from functools import partial

import trio

from scaleloom_core.fold import Fold
from scaleloom_core.membership import Membership
from scaleloom_core.retry_budget import RetryBudget
from scaleloom_core.target_pools import EnginePools, ServiceTargets
from scaleloom_fleet.conf.loading import parse_optional_address
from scaleloom_fleet.conf.schema import RouterSettings
from scaleloom_fleet.control.config_store import ConfigStore
from scaleloom_fleet.control.datagrams import DatagramEndpoint
from scaleloom_fleet.control.list_feed import ListFeed
from scaleloom_fleet.control.rpc import (
    ControlClient,
    ControlHandlers,
    refuse_hand_over,
    serve_control,
)
from scaleloom_fleet.http.asgi import ANY_METHOD, Reply, Request, Route, json_reply
from scaleloom_fleet.http.clients import HttpClient
from scaleloom_fleet.http.problems import make_application
from scaleloom_fleet.http.serving import serve_http
from scaleloom_fleet.platform.instance_list import open_http_list
from scaleloom_fleet.platform.log import open_http_log
from scaleloom_fleet.router import admin
from scaleloom_fleet.router.chat_handler import handle_chat
from scaleloom_fleet.router.chat_search import COMPLETIONS_PATH
from scaleloom_fleet.router.customers import CustomerIndex
from scaleloom_fleet.router.log_feed import LogFeed
from scaleloom_fleet.router.models import handle_models
from scaleloom_fleet.router.placement_explanation import handle_explain
from scaleloom_fleet.router.service_calls import handle_request_status, handle_service
from scaleloom_fleet.router.state import RouterState
from scaleloom_fleet.router.sync import answer_datagram
from scaleloom_fleet.utils.addresses import Address, parse_address
from scaleloom_fleet.utils.logs import write_lines
from scaleloom_fleet.utils.statsd_metrics import make_statsd_metrics
from scaleloom_fleet.utils.stop_signals import wait_for_stop_signal

SERVICE_UNAVAILABLE = 503
_logger = logging.getLogger("scaleloom.router")


def build_router(settings: RouterSettings) -> RouterState:
    """Return the state of a router whose tasks are not started yet."""
    platform = settings.platform
    config = ConfigStore(Fold())
    membership = Membership()
    client = HttpClient(
        settings.limits.connect_timeout_s, settings.limits.answer_pause_s
    )
    log = open_http_log(
        parse_address(platform.log_address), HttpClient(), platform.timeout_s
    )
    name = settings.instance.name
    log_feed = LogFeed(
        log, config, membership, ControlClient(), name, platform.log_poll_s
    )
    return RouterState(
        settings=settings,
        config=config,
        membership=membership,
        pools=EnginePools(config.fold, membership, settings.instance.data_centre),
        services=ServiceTargets(config.fold),
        customers=CustomerIndex(config.fold),
        client=client,
        log=log,
        log_feed=log_feed,
        datagrams=DatagramEndpoint(name),
        metrics=make_statsd_metrics(
            parse_optional_address(settings.observe.statsd_address),
            f"scaleloom.{name}",
        ),
        retry_budget=RetryBudget(settings.limits.retry_ratio),
    )


def make_routes(state: RouterState) -> list[Route]:
    """Return the HTTP routes of a router."""
    require_operator = partial(admin.require_operator, state)
    return [
        Route("POST", COMPLETIONS_PATH, partial(handle_chat, state)),
        Route("GET", "/v1/models", partial(handle_models, state)),
        Route(
            "GET",
            "/v1/requests/{service}/{key}",
            partial(handle_request_status, state),
        ),
        Route(
            ANY_METHOD, "/services/{service}/{path*}", partial(handle_service, state)
        ),
        Route("GET", "/health", partial(_handle_health, state)),
        Route("GET", "/ready", partial(_handle_ready, state)),
        Route("POST", "/admin/plan", require_operator(admin.handle_plan)),
        Route("POST", "/admin/confirm", require_operator(admin.handle_confirm)),
        Route("GET", "/admin/status", require_operator(admin.handle_status)),
        Route("GET", "/admin/explain", require_operator(handle_explain)),
        Route("GET", "/admin/history", require_operator(admin.handle_history)),
    ]


async def _handle_health(state: RouterState, request: Request) -> Reply:
    """Handle `GET /health`: 200 while the process runs and is not stopping."""
    status = SERVICE_UNAVAILABLE if state.is_stopping else 200
    return json_reply({"is_stopping": state.is_stopping}, status)


async def _handle_ready(state: RouterState, request: Request) -> Reply:
    """
    Handle `GET /ready`: 200 while the router may receive requests.

    For the readiness checks of the load balancer in front of the routers.
    """
    is_ready = state.config.is_loaded and not state.is_stopping
    status = 200 if is_ready else SERVICE_UNAVAILABLE
    version = state.config.fold.version
    return json_reply({"is_ready": is_ready, "version": version}, status)


async def run_router(settings: RouterSettings) -> None:
    """Run a router until it receives a stop signal."""
    state = build_router(settings)
    instance = settings.instance
    state.datagrams.bind(instance.host, instance.control_port)
    list_feed = ListFeed(
        open_http_list(
            parse_address(settings.platform.list_address),
            HttpClient(),
            settings.platform.timeout_s,
        ),
        state.membership,
        settings.platform.list_poll_s,
    )
    handlers = ControlHandlers(state.config.answer_fetch, refuse_hand_over)
    async with trio.open_nursery() as nursery:
        await nursery.start(
            serve_control, handlers, Address(instance.host, instance.grpc_port)
        )
        nursery.start_soon(state.datagrams.run, partial(answer_datagram, state))
        nursery.start_soon(list_feed.run)
        nursery.start_soon(state.log_feed.run)
        nursery.start_soon(
            state.log_feed.run_snapshots, settings.platform.log_retention_s
        )
        nursery.start_soon(state.metrics.run)
        nursery.start_soon(write_lines)
        nursery.start_soon(state.watch.run)
        await _serve_callers(state)
        nursery.cancel_scope.cancel()


async def _serve_callers(state: RouterState) -> None:
    """Serve callers until a stop signal, then wait for requests in flight."""
    settings = state.settings
    application = make_application(make_routes(state), partial(_close_headers, state))
    await serve_http(
        application,
        settings.instance.host,
        settings.instance.http_port,
        partial(_wait_for_stop, state),
        settings.stop.drain_limit_s,
    )


def _close_headers(state: RouterState) -> dict[str, str]:
    """Return headers that make callers reconnect elsewhere during a stop."""
    return {"connection": "close"} if state.is_stopping else {}


async def _wait_for_stop(state: RouterState) -> None:
    """
    Wait for a stop signal, then for the notice period.

    The notice period gives the load balancer in front time to stop sending
    requests to this router.
    """
    await wait_for_stop_signal()
    state.is_stopping = True
    _logger.info("stopping")
    await trio.sleep(state.settings.stop.notice_s)
