"""How long this process took from exec until it could serve."""

import logging

import trio

from scaleloom_fleet.gateway.state import GatewayState, StartTime
from scaleloom_fleet.utils import own_process

MS_PER_S = 1000.0
_logger = logging.getLogger("scaleloom.gateway")


async def tell_when_ready(state: GatewayState) -> None:
    """Note and log the time of the start once enough is known."""
    begun_s = trio.current_time()
    age_s, origin = own_process.age_s()
    await state.known.wait()
    took_s = age_s + trio.current_time() - begun_s
    state.start = StartTime(took_s, origin)
    fields = {"took_ms": int(took_s * MS_PER_S), "since": origin}
    _logger.info("ready", extra=fields)
