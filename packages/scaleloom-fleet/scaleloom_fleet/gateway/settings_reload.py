"""Reloads the settings while the process runs."""

import logging
import signal
from pathlib import Path

import trio
from returns.result import Failure

from scaleloom_fleet.conf import load_gateway_settings
from scaleloom_fleet.gateway.state import GatewayState

_logger = logging.getLogger("scaleloom.settings")


async def reload_on_sighup(state: GatewayState, path: Path) -> None:
    """Reload the settings on each SIGHUP."""
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            reload_settings(state, path)


def reload_settings(state: GatewayState, path: Path) -> bool:
    """
    Load the settings at `path` and apply them if they are valid.

    Returns
    -------
    bool
        Whether they were applied; if not, the former settings stay in force.
    """
    loaded = load_gateway_settings(path)
    if isinstance(loaded, Failure):
        problems = [str(message) for message in loaded.failure()]
        _logger.error("invalid settings not applied", extra={"problems": problems})
        return False
    settings = loaded.unwrap()
    if settings.listen != state.settings.listen:
        _logger.warning("changed [listen] settings require a restart")
    state.apply_settings(settings)
    logging.getLogger().setLevel(settings.observe.log_level)
    _logger.info("settings applied")
    return True
