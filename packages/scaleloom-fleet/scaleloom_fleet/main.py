"""The command line of the fleet's processes."""

import gc
import sys
from pathlib import Path

import click
import trio
from returns.result import Failure

from scaleloom_fleet.conf import (
    check_file,
    load_gateway_settings,
    load_router_settings,
    load_sidecar_settings,
)
from scaleloom_fleet.conf.reference import render_reference
from scaleloom_fleet.utils.logs import set_up_logs

EXIT_BAD_SETTINGS = 78
COLLECTOR_THRESHOLD = 20_000
SETTINGS_OPTION = click.option(
    "--settings",
    required=True,
    type=click.Path(path_type=Path),
    help="The INI file with this process's settings.",
)


@click.group()
def main() -> None:
    """Run a process of the scaleloom fleet.

    Exit codes: 0 after a planned stop, 78 if the settings are wrong, 1 after
    any other failure.
    """


@main.command()
@SETTINGS_OPTION
def router(settings: Path) -> None:
    """Run an entry instance."""
    from scaleloom_fleet.router.process import run_router

    loaded = _load_or_exit(load_router_settings, settings)
    _set_up(loaded)
    _set_up_tracing(loaded)
    trio.run(run_router, loaded)


@main.command()
@SETTINGS_OPTION
def sidecar(settings: Path) -> None:
    """Run the process beside a target."""
    from scaleloom_fleet.sidecar.process import run_sidecar

    loaded = _load_or_exit(load_sidecar_settings, settings)
    _set_up(loaded)
    _set_up_tracing(loaded)
    trio.run(run_sidecar, loaded)


@main.command()
@SETTINGS_OPTION
def gateway(settings: Path) -> None:
    """Run an entry instance for plain HTTP routes."""
    from scaleloom_fleet.gateway.process import run_gateway
    from scaleloom_fleet.utils.stopping import wait_signal

    loaded = _load_or_exit(load_gateway_settings, settings)
    _set_up(loaded)
    trio.run(run_gateway, loaded, wait_signal, settings)


@main.command()
@click.argument("role", type=click.Choice(["gateway", "router", "sidecar"]))
@SETTINGS_OPTION
def check(role: str, settings: Path) -> None:
    """Check the settings of ROLE without starting it."""
    messages = check_file(settings, role)
    _report_and_exit(messages)
    click.echo(f"{settings}: no problems found.")


@main.command()
@click.argument("role", type=click.Choice(["gateway", "router", "sidecar"]))
def reference(role: str) -> None:
    """Print every setting of ROLE with its effect and default."""
    click.echo(render_reference(role), nl=False)


def _load_or_exit(load, path: Path):
    """Return the settings at `path`, or report and exit."""
    loaded = load(path)
    if isinstance(loaded, Failure):
        _report_and_exit(loaded.failure())
    return loaded.unwrap()


def _report_and_exit(messages) -> None:
    """Print every message and exit, if there are any."""
    if not messages:
        return
    for message in messages:
        click.echo(str(message), err=True)
    click.echo(f"{len(messages)} problems found.", err=True)
    sys.exit(EXIT_BAD_SETTINGS)


def _set_up(settings) -> None:
    """Set up logs and the collector."""
    set_up_logs(settings.observe.log_level, settings.instance.name)
    _calm_collector()


def _set_up_tracing(settings) -> None:
    """Set up traces; the library is loaded only by processes that trace."""
    from scaleloom_fleet.utils.tracing import set_up_tracing

    set_up_tracing(settings.instance.name)


def _calm_collector() -> None:
    """Keep the collector from walking what lives as long as the process."""
    gc.freeze()
    gc.set_threshold(COLLECTOR_THRESHOLD)
    gc.enable()
