"""Collectors that set the gauges of the metrics page from the gateway's state."""

from collections import Counter

import trio

from scaleloom_core.cause_digests import is_prompt_part
from scaleloom_core.crash_history import SendPermission
from scaleloom_core.ids import ServiceName
from scaleloom_core.rollouts.state import RolloutState
from scaleloom_core.rollouts.versions import Track
from scaleloom_core.target_records import TargetRecord
from scaleloom_fleet.gateway import metric_definitions
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.http1.answer_heads import fault_counts
from scaleloom_fleet.http1.input_pace import process_budget
from scaleloom_fleet.http1.link_gate import Direction
from scaleloom_fleet.utils import process_info
from scaleloom_fleet.utils.logs import find_line_handler

# One target takes about 2 us; after each batch the event loop can run other tasks.
TARGET_BATCH = 128
MS_PER_S = 1000.0


def add_collectors(state: GatewayState) -> None:
    """Register the collectors of this module."""

    async def collect_documents() -> None:
        _set_requests(state)
        _set_documents(state, trio.current_time())
        _set_suspects(state)

    async def collect_process() -> None:
        _set_process(state)
        _set_input(state)
        _set_link(state, trio.current_time())
        _set_logs(state)

    async def collect_targets() -> None:
        await _set_targets(state, trio.current_time())
        await _set_services(state)

    async def collect_rollouts() -> None:
        for rollout in list(state.rollouts.by_service.values()):
            _set_rollout(state, rollout.state, trio.current_time())

    state.metrics_registry.collectors += [
        collect_documents,
        collect_process,
        collect_targets,
        collect_rollouts,
    ]


def _set_rollout(
    state: GatewayState, rollout_state: RolloutState, now_s: float
) -> None:
    """Set the gauges of one roll-out."""
    names = (rollout_state.service, rollout_state.order.version)
    summary = rollout_state.evidence.summary(now_s)
    registry, budget = state.metrics_registry, rollout_state.budget
    registry.set(metric_definitions.ROLLOUT_STAGE, rollout_state.stage.value, *names)
    registry.set(
        metric_definitions.ROLLOUT_ELAPSED, rollout_state.elapsed_s(now_s), *names
    )
    current, candidate = Track.CURRENT.value, Track.CANDIDATE.value
    sent = budget.requests - budget.exposed
    registry.set(metric_definitions.ROLLOUT_REQUESTS, sent, *names, current)
    registry.set(metric_definitions.ROLLOUT_REQUESTS, budget.exposed, *names, candidate)
    registry.set(
        metric_definitions.ROLLOUT_BAD_ANSWERS, summary.current.bad, *names, current
    )
    registry.set(
        metric_definitions.ROLLOUT_BAD_ANSWERS, summary.candidate.bad, *names, candidate
    )


def _set_requests(state: GatewayState) -> None:
    """Set the gauges of requests and connections."""
    registry = state.metrics_registry
    registry.set(metric_definitions.REQUESTS_WAITING, state.wait_queue.size)
    registry.set(metric_definitions.REQUESTS_IN_FLIGHT, state.load.local.total())
    registry.set(metric_definitions.CONNECTIONS, len(state.connections))
    budgets = state.retry_windows.remaining(trio.current_time(), state.router_count)
    for service, retries in budgets.items():
        registry.set(metric_definitions.RETRY_BUDGET_LEFT, retries, service)


def _set_documents(state: GatewayState, now_s: float) -> None:
    """Set the gauges of the configuration, the list of targets and the fleet."""
    registry = state.metrics_registry
    if state.routing is not None and state.config_applied_s is not None:
        registry.set(metric_definitions.CONFIG_VERSION, state.routing.version)
        registry.set(metric_definitions.CONFIG_AGE, now_s - state.config_applied_s)
    registry.set(metric_definitions.LIST_AGE, state.freshness.age_ms(now_s) / MS_PER_S)
    registry.set(metric_definitions.ROUTERS, state.router_count)
    registry.set(metric_definitions.READY, int(state.is_ready))
    registry.set(metric_definitions.FOLLOWS_STORE, int(state.follows_store))
    registry.set(metric_definitions.ENTRIES_UNREADABLE, state.unreadable_entry_count)
    registry.set(metric_definitions.TARGETS_CRASHED, state.crashes.prober.crash_count)


def _set_suspects(state: GatewayState) -> None:
    """Set the gauges of suspected requests and prompt parts."""
    registry, tracker = state.metrics_registry, state.crashes
    suspects = tracker.table.suspects()
    parts = [cause for cause in suspects if is_prompt_part(cause)]
    requests = len(suspects) - len(parts)
    registry.set(metric_definitions.SUSPECTED_REQUESTS, requests)
    permissions = Counter(tracker.send_decision(part).permission for part in parts)
    for permission in (SendPermission.TRIAL_ONLY, SendPermission.QUARANTINED):
        count = permissions[permission]
        registry.set(metric_definitions.SUSPECTED_PARTS, count, permission.value)


def _set_process(state: GatewayState) -> None:
    """Set the gauges of the process, as far as the system reports them."""
    descriptors = process_info.open_descriptor_count()
    if descriptors is not None:
        state.metrics_registry.set(metric_definitions.OPEN_DESCRIPTORS, descriptors)
    resident_bytes = process_info.resident_bytes()
    if resident_bytes is not None:
        state.metrics_registry.set(metric_definitions.RESIDENT_BYTES, resident_bytes)
    for use, size_bytes in state.memory.reserved.items():
        state.metrics_registry.set(
            metric_definitions.RESERVED_BYTES, size_bytes, use.value
        )
    if state.start is not None:
        state.metrics_registry.set(
            metric_definitions.START_TO_READY_SECONDS,
            state.start.duration_s,
            state.start.origin,
        )


def _set_input(state: GatewayState) -> None:
    """Set the counters of input that was slowed, broken off or refused."""
    registry, budget = state.metrics_registry, process_budget()
    registry.set(metric_definitions.INPUTS_SLOWED, budget.slowed_count)
    for bound, count in budget.exceeded_counts.items():
        registry.set(metric_definitions.INPUT_BOUNDS_EXCEEDED, count, bound.value)
    for fault, count in fault_counts().items():
        registry.set(metric_definitions.ANSWERS_REFUSED, count, fault.value)


def _set_link(state: GatewayState, now_s: float) -> None:
    """Set the metrics of the network link and of long transfers."""
    registry, gate = state.metrics_registry, state.link_gate
    for direction in Direction:
        slowed_count = gate.slowed_counts[direction]
        registry.set(metric_definitions.TRANSFERS_SLOWED, slowed_count, direction.value)
        registry.set(
            metric_definitions.TRANSFER_WAIT_SECONDS,
            gate.waited_s[direction],
            direction.value,
        )
    registry.set(metric_definitions.LONG_TRANSFERS, gate.share.long_count)
    registry.set(
        metric_definitions.LINK_WAIT_SECONDS, state.process_limits.link.wait_s(now_s)
    )


def _set_logs(state: GatewayState) -> None:
    """Set the metrics of log lines and of dropped label sets."""
    registry = state.metrics_registry
    registry.set(metric_definitions.LABEL_SETS_FOLDED, registry.folded_count)
    handler = find_line_handler()
    if handler is not None:
        registry.set(metric_definitions.LOG_LINES, handler.accepted_count, "taken")
        registry.set(metric_definitions.LOG_LINES, handler.suppressed_count, "left_out")
        registry.set(metric_definitions.LOG_LINES, handler.writer.lost_count, "lost")
        registry.set(metric_definitions.LOG_WAITING_BYTES, handler.writer.waiting_bytes)


async def _set_targets(state: GatewayState, now_s: float) -> None:
    """Count the listed targets by state."""
    counts = dict.fromkeys(
        ("ready", "cold", "left_out", "resting", "away", "evacuated", "draining"), 0
    )
    records = list(state.view.records.values())
    for begin in range(0, len(records), TARGET_BATCH):
        for record in records[begin : begin + TARGET_BATCH]:
            counts[_target_state(state, record, now_s)] += 1
        await trio.lowlevel.checkpoint()
    for name, count in counts.items():
        state.metrics_registry.set(metric_definitions.TARGETS, count, name)


def _target_state(state: GatewayState, record: TargetRecord, now_s: float) -> str:
    """Return the first reason not to send requests to a target, else "ready"."""
    if not record.is_ready:
        return "draining"
    if record.listed.data_centre in state.view.evacuated:
        return "evacuated"
    if not record.is_reachable(now_s):
        return "away"
    if record.signals.is_backing_off(now_s):
        return "resting"
    if record.failure_ejected_until_s > now_s:
        return "left_out"
    return "cold" if record.cold_until_s > now_s else "ready"


async def _set_services(state: GatewayState) -> None:
    """Set the load gauges of each service."""
    for service, records in list(state.view.tracks.ready.items()):
        if not records:
            continue
        await _set_service(state, service, records)


async def _set_service(
    state: GatewayState, service: ServiceName, records: list[TargetRecord]
) -> None:
    """Set the load gauges of `service`."""
    in_flight = max_count = slots = 0
    for begin in range(0, len(records), TARGET_BATCH):
        for record in records[begin : begin + TARGET_BATCH]:
            count = state.load.in_flight(record.listed.id)
            in_flight += count
            max_count = max(max_count, count)
            slots += record.listed.slots
        await trio.lowlevel.checkpoint()
    registry = state.metrics_registry
    registry.set(metric_definitions.SERVICE_IN_FLIGHT, in_flight, service)
    registry.set(metric_definitions.SERVICE_SLOTS, slots, service)
    registry.set(metric_definitions.FULLEST_TARGET, max_count, service)
    bound = state.settings.bounds.load_multiple * in_flight / len(records)
    registry.set(metric_definitions.SERVICE_LOAD_BOUND, bound, service)
