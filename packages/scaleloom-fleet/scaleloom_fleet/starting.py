"""How a process begins: its settings, logs and collector."""

import gc
import sys
from collections.abc import Awaitable, Callable, Iterator, Sequence
from pathlib import Path

import trio
from returns.result import Failure

from scaleloom_fleet.conf import CheckMessage, load_gateway_settings
from scaleloom_fleet.http1.binding import AddressUnusable
from scaleloom_fleet.utils import early_signals
from scaleloom_fleet.utils.clock import make_clock
from scaleloom_fleet.utils.logs import set_up_logs

EXIT_BAD_SETTINGS = 78
COLLECTOR_THRESHOLD = 20_000


def start_gateway(path: Path) -> None:
    """Run a gateway with the settings at `path` until it is asked to stop."""
    from scaleloom_fleet.gateway.interfaces import check_adapter
    from scaleloom_fleet.gateway.process import run_gateway
    from scaleloom_fleet.utils.stop_signals import wait_for_stop_signal

    settings = load_or_exit(load_gateway_settings, path)
    report_and_exit(check_adapter(settings.platform.adapter))
    set_up(settings)
    run(run_gateway, settings, wait_for_stop_signal, path)


def run(main: Callable[..., Awaitable[None]], *arguments: object) -> None:
    """
    Run `main` until it returns; exit if an address can't be used.

    Signals that arrive afterwards change nothing.
    """
    unusable: list[AddressUnusable] = []
    try:
        trio.run(main, *arguments, clock=make_clock())
    except* AddressUnusable as group:
        unusable.extend(_find_leaves(group))
    finally:
        early_signals.ignore()
    if unusable:
        print(*unusable, sep="\n", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)


def _find_leaves(error: BaseException) -> Iterator[BaseException]:
    """Return the exceptions in nested groups."""
    if not isinstance(error, BaseExceptionGroup):
        yield error
        return
    for part in error.exceptions:
        yield from _find_leaves(part)


def load_or_exit(load, path: Path):
    """Return the settings at `path`, or report and exit."""
    loaded = load(path)
    if isinstance(loaded, Failure):
        report_and_exit(loaded.failure())
    return loaded.unwrap()


def report_and_exit(messages: Sequence[CheckMessage]) -> None:
    """Print every message and exit, if there are any."""
    if not messages:
        return
    for message in messages:
        print(message, file=sys.stderr)
    print(f"{len(messages)} problems found.", file=sys.stderr)
    sys.exit(EXIT_BAD_SETTINGS)


def set_up(settings) -> None:
    """Set up logs and the collector."""
    set_up_logs(settings.observe.log_level, settings.instance.name)
    _calm_collector()


def _calm_collector() -> None:
    """Keep the collector from walking what lives as long as the process."""
    gc.freeze()
    gc.set_threshold(COLLECTOR_THRESHOLD)
    gc.enable()
