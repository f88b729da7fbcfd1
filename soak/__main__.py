"""Plays seeds of the soak and prints which promises were broken."""

import random
import signal
import sys
import tempfile
from pathlib import Path

import click
import trio

from soak.faults import FAULTS
from soak.play import SoakResult, play
from soak.switched_off import MECHANISMS

SHOWN_CASES = 4
KINDS = {fault.__name__: fault for fault in FAULTS}


@click.command()
@click.option("--seed", type=int, help="The first seed; drawn afresh without it.")
@click.option("--seeds", "count", default=5, show_default=True)
@click.option("--seconds", "length_s", default=12.0, show_default=True)
@click.option("--gateways", "gateway_count", default=3, show_default=True)
@click.option("--without", type=click.Choice(list(MECHANISMS)))
@click.option("--only", multiple=True, type=click.Choice(list(KINDS)))
@click.option("--logs", type=click.Path(path_type=Path), help="Where logs are kept.")
def main(
    seed: int | None,
    count: int,
    length_s: float,
    gateway_count: int,
    without: str | None,
    only: tuple[str, ...],
    logs: Path | None,
) -> None:
    """Play faults against real gateways and judge every promise."""
    # Ending in order ends the gateways too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    first = seed if seed is not None else random.SystemRandom().randrange(10**6)
    failed = 0
    for number in range(first, first + count):
        directory = _directory(logs, number)
        kinds = [KINDS[name] for name in only]
        arguments = (number, length_s, directory, gateway_count, without, kinds)
        result = trio.run(play, *arguments)
        failed += bool(result.broken)
        _show(result, directory)
    click.echo(f"{count - failed} seeds held, {failed} broke a promise")
    sys.exit(1 if failed else 0)


def _directory(logs: Path | None, seed: int) -> Path:
    """Return a folder for the settings and logs of one seed."""
    if logs is None:
        return Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    directory = logs / str(seed)
    directory.mkdir(parents=True, exist_ok=True)
    return directory


def _show(result: SoakResult, directory: Path) -> None:
    """Print what one seed showed."""
    state = "held" if not result.broken else "BROKEN"
    click.echo(
        f"seed {result.seed}: {state}, {result.served} of {result.asked} served",
    )
    for promise, cases in result.broken.items():
        click.echo(f"  {promise}: {len(cases)}, logs in {directory}")
        for case in cases[:SHOWN_CASES]:
            click.echo(f"    {case}")


if __name__ == "__main__":
    main()
