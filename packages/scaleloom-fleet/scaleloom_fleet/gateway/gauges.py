"""What the metrics page reads from the gateway's state when it is made."""

import trio

from scaleloom_core.ids import ServiceName
from scaleloom_core.rollouts.course import RolloutCourse
from scaleloom_core.rollouts.versions import Track
from scaleloom_core.target_records import TargetRecord
from scaleloom_fleet.gateway import figures
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.utils import own_process
from scaleloom_fleet.utils.logs import find_line_handler

# Looking at one target takes about 2 us; requests go on after a batch of them.
TARGET_BATCH = 128
MS_PER_S = 1000.0


def add_collectors(state: GatewayState) -> None:
    """Let the page read all that stands here."""

    async def collect_knowledge() -> None:
        _set_requests(state)
        _set_knowledge(state, trio.current_time())

    async def collect_process() -> None:
        _set_process(state)
        _set_logs(state)

    async def collect_targets() -> None:
        await _set_targets(state, trio.current_time())
        await _set_services(state)

    async def collect_rollouts() -> None:
        for rollout in list(state.rollouts.by_service.values()):
            _set_rollout(state, rollout.course, trio.current_time())

    state.figures.collectors += [
        collect_knowledge,
        collect_process,
        collect_targets,
        collect_rollouts,
    ]


def _set_rollout(state: GatewayState, course: RolloutCourse, now_s: float) -> None:
    """Set the gauges of one roll-out."""
    names = (course.service, course.order.version)
    summary = course.evidence.summary(now_s)
    told, budget = state.figures, course.budget
    told.set(figures.ROLLOUT_STAGE, course.stage.value, *names)
    told.set(figures.ROLLOUT_ELAPSED, course.elapsed_s(now_s), *names)
    current, candidate = Track.CURRENT.value, Track.CANDIDATE.value
    sent = budget.requests - budget.exposed
    told.set(figures.ROLLOUT_SENT, sent, *names, current)
    told.set(figures.ROLLOUT_SENT, budget.exposed, *names, candidate)
    told.set(figures.ROLLOUT_BAD, summary.current.bad, *names, current)
    told.set(figures.ROLLOUT_BAD, summary.candidate.bad, *names, candidate)


def _set_requests(state: GatewayState) -> None:
    """Set the gauges of requests and connections."""
    told = state.figures
    told.set(figures.WAITING, state.waiting.size)
    told.set(figures.IN_FLIGHT, state.load.own.total())
    told.set(figures.CONNECTIONS, len(state.connections))
    left = state.windows.left(trio.current_time(), state.router_count)
    for service, repeats in left.items():
        told.set(figures.RETRIES_LEFT, repeats, service)


def _set_knowledge(state: GatewayState, now_s: float) -> None:
    """Set the gauges of what this router knows."""
    told = state.figures
    if state.routing is not None and state.configured_s is not None:
        told.set(figures.CONFIG_VERSION, state.routing.version)
        told.set(figures.CONFIG_AGE, now_s - state.configured_s)
    told.set(figures.LIST_AGE, state.freshness.age_ms(now_s) / MS_PER_S)
    told.set(figures.ROUTERS, state.router_count)
    told.set(figures.READY, int(state.is_ready))
    told.set(figures.FOLLOWS_STORE, int(state.follows_store))
    told.set(figures.ENTRIES_UNREADABLE, state.entries_unreadable)
    told.set(figures.SUSPECTS, state.crashes.table.suspect_count)
    told.set(figures.TARGETS_ENDED, state.crashes.checks.ended_count)


def _set_process(state: GatewayState) -> None:
    """Set the gauges of the process, as far as the system tells them."""
    descriptors = own_process.open_descriptors()
    if descriptors is not None:
        state.figures.set(figures.DESCRIPTORS, descriptors)
    resident_bytes = own_process.resident_bytes()
    if resident_bytes is not None:
        state.figures.set(figures.RESIDENT, resident_bytes)
    if state.start is not None:
        state.figures.set(figures.START_SECONDS, state.start.took_s, state.start.origin)


def _set_logs(state: GatewayState) -> None:
    """Set what became of the log lines."""
    told = state.figures
    told.set(figures.LABELS_FOLDED, told.folded_count)
    handler = find_line_handler()
    if handler is not None:
        told.set(figures.LOG_LINES, handler.taken_count, "taken")
        told.set(figures.LOG_LINES, handler.left_out_count, "left_out")
        told.set(figures.LOG_LINES, handler.writer.lost_count, "lost")
        told.set(figures.LOG_WAITING, handler.writer.waiting_bytes)


async def _set_targets(state: GatewayState, now_s: float) -> None:
    """Count the listed targets by what this router makes of them."""
    counts = dict.fromkeys(
        ("ready", "cold", "left_out", "resting", "away", "evacuated", "draining"), 0
    )
    records = list(state.view.records.values())
    for begin in range(0, len(records), TARGET_BATCH):
        for record in records[begin : begin + TARGET_BATCH]:
            counts[_target_state(state, record, now_s)] += 1
        await trio.lowlevel.checkpoint()
    for name, count in counts.items():
        state.figures.set(figures.TARGETS, count, name)


def _target_state(state: GatewayState, record: TargetRecord, now_s: float) -> str:
    """Return what keeps work from a target, or that nothing does."""
    if not record.is_ready:
        return "draining"
    if record.listed.data_centre in state.view.evacuated:
        return "evacuated"
    if not record.is_reachable(now_s):
        return "away"
    if record.news.is_resting(now_s):
        return "resting"
    if record.failing_until_s > now_s:
        return "left_out"
    return "cold" if record.cold_until_s > now_s else "ready"


async def _set_services(state: GatewayState) -> None:
    """Set how full the targets of each service are."""
    for service, records in list(state.view.tracks.ready.items()):
        if not records:
            continue
        await _set_service(state, service, records)


async def _set_service(
    state: GatewayState, service: ServiceName, records: list[TargetRecord]
) -> None:
    """Set how full the targets of `service` are."""
    held = most = slots = 0
    for begin in range(0, len(records), TARGET_BATCH):
        for record in records[begin : begin + TARGET_BATCH]:
            count = state.load.held(record.listed.id)
            held += count
            most = max(most, count)
            slots += record.listed.slots
        await trio.lowlevel.checkpoint()
    told = state.figures
    told.set(figures.SERVICE_HELD, held, service)
    told.set(figures.SERVICE_SLOTS, slots, service)
    told.set(figures.FULLEST, most, service)
    bound = state.settings.bounds.load_multiple * held / len(records)
    told.set(figures.LOAD_BOUND, bound, service)
