"""The command line of the fleet's processes."""

from pathlib import Path

import click

from scaleloom_fleet.conf import (
    check_file,
    load_router_settings,
    load_sidecar_settings,
)
from scaleloom_fleet.conf.reference import render_reference
from scaleloom_fleet.starting import (
    load_or_exit,
    report_and_exit,
    run,
    set_up,
    start_gateway,
)

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

    loaded = load_or_exit(load_router_settings, settings)
    set_up(loaded)
    _set_up_tracing(loaded)
    run(run_router, loaded)


@main.command()
@SETTINGS_OPTION
def sidecar(settings: Path) -> None:
    """Run the process beside a target."""
    from scaleloom_fleet.sidecar.process import run_sidecar

    loaded = load_or_exit(load_sidecar_settings, settings)
    set_up(loaded)
    _set_up_tracing(loaded)
    run(run_sidecar, loaded)


@main.command()
@SETTINGS_OPTION
def gateway(settings: Path) -> None:
    """Run an entry instance for plain HTTP routes."""
    start_gateway(settings)


@main.command()
@click.argument("role", type=click.Choice(["gateway", "router", "sidecar"]))
@SETTINGS_OPTION
def check(role: str, settings: Path) -> None:
    """Check the settings of ROLE without starting it."""
    messages = check_file(settings, role)
    report_and_exit(messages)
    click.echo(f"{settings}: no problems found.")


@main.command()
@click.argument("role", type=click.Choice(["gateway", "router", "sidecar"]))
def reference(role: str) -> None:
    """Print every setting of ROLE with its effect and default."""
    click.echo(render_reference(role), nl=False)


def _set_up_tracing(settings) -> None:
    """Set up traces; the library is loaded only by processes that trace."""
    from scaleloom_fleet.utils.tracing import set_up_tracing

    set_up_tracing(settings.instance.name)
