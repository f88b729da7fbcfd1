"""Settings that change while the process runs."""

import logging
import signal
from pathlib import Path

import trio
from returns.result import Failure

from scaleloom_fleet.conf import load_gateway_settings
from scaleloom_fleet.gateway.state import GatewayState

_logger = logging.getLogger("scaleloom.settings")


async def reload_at_signals(state: GatewayState, path: Path) -> None:
    """Read the settings again at each hang-up signal."""
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            reload_settings(state, path)


def reload_settings(state: GatewayState, path: Path) -> bool:
    """
    Take the settings at `path` into force, if nothing is wrong with them.

    Returns
    -------
    bool
        False if the settings in force stay as they are.
    """
    loaded = load_gateway_settings(path)
    if isinstance(loaded, Failure):
        problems = [str(message) for message in loaded.failure()]
        _logger.error("settings not taken", extra={"problems": problems})
        return False
    settings = loaded.unwrap()
    if settings.listen != state.settings.listen:
        _logger.warning("a changed listener needs a restart")
    state.apply_settings(settings)
    logging.getLogger().setLevel(settings.observe.log_level)
    _logger.info("settings in force")
    return True
