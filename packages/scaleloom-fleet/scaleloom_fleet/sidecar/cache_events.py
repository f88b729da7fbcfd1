"""Polling of the engine's cache events, which may arrive late and with gaps."""

import trio

from scaleloom_fleet.platform.engine import CacheEvent
from scaleloom_fleet.sidecar.state import SidecarState
from scaleloom_fleet.utils.clock import now_s

# After a gap in the events, chats last served longer ago than this are removed:
# the missed events may have evicted them.
GAP_RETENTION_S = 60.0
NO_SEQUENCE = -1


async def run_cache_events(state: SidecarState) -> None:
    """Poll the engine for cache events until cancelled."""
    last_sequence = NO_SEQUENCE
    while True:
        await trio.sleep(state.settings.target.event_poll_s)
        batch = await state.engine.read_events(last_sequence)
        last_sequence = apply_events(state, batch.value_or([]), last_sequence)


def apply_events(
    state: SidecarState, events: list[CacheEvent], last_sequence: int
) -> int:
    """Apply one batch of events, and return the last sequence number seen."""
    for event in events:
        if last_sequence != NO_SEQUENCE and event.sequence != last_sequence + 1:
            state.metrics.count("cache_event_gaps")
            state.admission.known.record_event_gap(now_s() - GAP_RETENTION_S)
        last_sequence = event.sequence
        if event.is_evicted:
            state.admission.known.record_evicted(event.chat)
    return last_sequence
