"""Cost of a gateway's request metrics, its metrics page and its log lines."""

import logging
import os
import time
import tracemalloc
from collections.abc import Callable

import trio
from pythonjsonlogger.json import JsonFormatter

from benchmarks.measures import Measure
from scaleloom_core.ids import DataCentreName, ServiceName, TargetId
from scaleloom_core.target_entries import ListedTarget
from scaleloom_fleet.conf.gateway_schema import (
    GatewayInstanceSection,
    GatewayObserveSection,
    GatewaySettings,
    ListenSection,
    StoreSection,
)
from scaleloom_fleet.gateway import metric_definitions
from scaleloom_fleet.gateway.metric_collectors import add_collectors
from scaleloom_fleet.gateway.process import make_state
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.utils.exposition import MAX_LABEL_SETS, MetricRegistry, MetricType
from scaleloom_fleet.utils.log_writer import LineWriter
from scaleloom_fleet.utils.logs import LineHandler

REQUESTS = 50_000
PAGES = 50
LINES = 5_000
# Rounded numbers of models and accelerators in a data centre of the users.
SERVICES = 29
TARGETS = 600
MICROSECONDS_PER_S = 1e6
MILLISECONDS_PER_S = 1e3
BYTES_PER_KB = 1000.0
ADDRESS = "127.0.0.1:1"


async def measure_observing() -> list[Measure]:
    """Return every measure of this module."""
    state = _make_state()
    counting_s = _cpu_s_per_call(
        lambda: _count_request(state.metrics_registry), REQUESTS
    )
    started_s = time.process_time()
    for _ in range(PAGES):
        await state.metrics_registry.collect()
        state.metrics_registry.render()
    page_s = (time.process_time() - started_s) / PAGES
    return [
        Measure("observing.request.cpu", counting_s * MICROSECONDS_PER_S, "us"),
        Measure("observing.page.cpu", page_s * MILLISECONDS_PER_S, "ms"),
        Measure("observing.figures.memory", _registry_bytes() / BYTES_PER_KB, "KB"),
        Measure("observing.log_line.cpu", _log_line_s() * MICROSECONDS_PER_S, "us"),
    ]


def _make_state() -> GatewayState:
    """Return the state of a gateway that lists the targets of many services."""
    settings = GatewaySettings(
        instance=GatewayInstanceSection(name="g-1", data_centre="a"),
        listen=ListenSection(front=ADDRESS, ready=ADDRESS, peer_port=1),
        platform=StoreSection(adapter="scaleloom_platform", store=ADDRESS),
        observe=GatewayObserveSection(metrics_address=ADDRESS),
    )
    state = make_state(settings)
    listed = [
        ListedTarget(
            id=TargetId(f"t-{number}"),
            service=ServiceName(f"s-{number % SERVICES}"),
            host="127.0.0.1",
            port=1,
            data_centre=DataCentreName("a"),
            slots=8,
        )
        for number in range(TARGETS)
    ]
    state.view.apply_list(listed, 0)
    add_collectors(state)
    return state


def _cpu_s_per_call(action: Callable[[], None], times: int) -> float:
    """Return the mean processor time of a call of `action`, in seconds."""
    started_s = time.process_time()
    for _ in range(times):
        action()
    return (time.process_time() - started_s) / times


def _count_request(registry: MetricRegistry) -> None:
    """Record the metrics of one served request with one attempt."""
    registry.observe(
        metric_definitions.FIRST_BYTE_SECONDS, trio.current_time() % 1.0, "safe"
    )
    registry.add(metric_definitions.ATTEMPTS, "answered")
    registry.add(metric_definitions.REQUESTS, metric_definitions.SERVED, "safe")
    registry.observe(
        metric_definitions.REQUEST_SECONDS, trio.current_time() % 1.0, "safe"
    )


def _registry_bytes() -> int:
    """Return the memory of a registry in which every metric has all its label sets."""
    tracemalloc.start()
    registry = MetricRegistry(metric_definitions.DEFINITIONS, is_enabled=True)
    for definition in metric_definitions.DEFINITIONS:
        if not definition.labels:
            continue
        for number in range(2 * MAX_LABEL_SETS):
            labels = tuple(f"{label}-{number}" for label in definition.labels)
            if definition.metric_type is MetricType.HISTOGRAM:
                registry.observe(definition, 0.5, *labels)
            elif definition.metric_type is MetricType.COUNTER:
                registry.add(definition, *labels)
            else:
                registry.set(definition, 0.5, *labels)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size_bytes


def _log_line_s() -> float:
    """Return the mean processor time of writing a log line, in seconds."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    try:
        ticks = iter(range(2 * LINES))
        handler = LineHandler(LineWriter(descriptor), lambda: float(next(ticks)))
        handler.setFormatter(JsonFormatter("%(asctime)s %(name)s %(message)s"))
        logger = logging.Logger("scaleloom.benchmark")
        logger.addHandler(handler)
        fields = {"request": "r-1", "kind": "overloaded", "tried": ["i-1", "i-2"]}
        return _cpu_s_per_call(
            lambda: logger.info("request not served", extra=fields), LINES
        )
    finally:
        os.close(descriptor)
