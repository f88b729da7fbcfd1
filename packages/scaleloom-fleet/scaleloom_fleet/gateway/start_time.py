"""Time from the start of the process until it could serve."""

import logging

import trio

from scaleloom_fleet.gateway.state import GatewayState, StartTime
from scaleloom_fleet.utils import process_info

MS_PER_S = 1000.0
_logger = logging.getLogger("scaleloom.gateway")


async def record_start_time(state: GatewayState) -> None:
    """Record and log the start time once the router knows enough to serve."""
    started_s = trio.current_time()
    age_s, origin = process_info.age_s()
    await state.config_and_targets_loaded.wait()
    took_s = age_s + trio.current_time() - started_s
    state.start = StartTime(took_s, origin)
    fields = {"took_ms": int(took_s * MS_PER_S), "since": origin}
    _logger.info("ready", extra=fields)
