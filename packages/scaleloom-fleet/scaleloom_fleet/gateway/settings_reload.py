"""Reloads the settings while the process runs."""

import logging
from pathlib import Path

import trio
from returns.result import Failure

from scaleloom_fleet.conf import load_gateway_settings
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.utils import early_signals
from scaleloom_fleet.utils.early_signals import RELOAD_SIGNAL

_logger = logging.getLogger("scaleloom.settings")


async def reload_on_sighup(state: GatewayState, path: Path) -> None:
    """Reload the settings on each SIGHUP, also if one came before this."""
    with trio.open_signal_receiver(RELOAD_SIGNAL) as signals:
        if early_signals.pop_received(RELOAD_SIGNAL):
            reload_settings(state, path)
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
