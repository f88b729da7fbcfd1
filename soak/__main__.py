"""Command that runs seeds of the fault soak and prints the broken promises."""

import random
import signal
import sys
import tempfile
from pathlib import Path

import click
import trio

from soak.faults import FAULT_SEQUENCE_COUNT, FAULTS, draw_faults
from soak.seed_run import run_seed
from soak.switched_off import MECHANISMS

FAULTS_BY_NAME = {fault.__name__: fault for fault in FAULTS}


@click.command()
@click.option("--seed", type=int, help="First seed; random if omitted.")
@click.option("--seeds", "count", default=5, show_default=True)
@click.option("--seconds", "length_s", default=12.0, show_default=True)
@click.option("--gateways", "gateway_count", default=3, show_default=True)
@click.option("--without", type=click.Choice(list(MECHANISMS)))
@click.option(
    "--sequences",
    "sequence_count",
    default=FAULT_SEQUENCE_COUNT,
    show_default=True,
    help="How many faults are injected at once.",
)
@click.option(
    "--first-kinds",
    type=click.IntRange(2, len(FAULTS)),
    default=len(FAULTS),
    help="Draw from the first kinds only, as when there were no others.",
)
@click.option("--only", multiple=True, type=click.Choice(list(FAULTS_BY_NAME)))
@click.option("--logs", type=click.Path(path_type=Path), help="Directory for logs.")
def main(
    seed: int | None,
    count: int,
    length_s: float,
    gateway_count: int,
    without: str | None,
    sequence_count: int,
    first_kinds: int,
    only: tuple[str, ...],
    logs: Path | None,
) -> None:
    """Inject faults around real gateways and check every promise."""
    # An interrupt unwinds the run, which also kills the gateway processes.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    first_seed = seed if seed is not None else random.SystemRandom().randrange(10**6)
    failed = 0
    for current_seed in range(first_seed, first_seed + count):
        directory = _make_directory(logs, current_seed)
        kinds = [FAULTS_BY_NAME[name] for name in only]
        if not kinds:
            kinds = draw_faults(random.Random(current_seed), FAULTS[:first_kinds])
        arguments = (current_seed, length_s, directory, gateway_count, without, kinds)
        result = trio.run(run_seed, *arguments, sequence_count)
        failed += bool(result.broken)
        click.echo(result.describe())
        if result.broken:
            click.echo(f"  logs in {directory}")
    click.echo(f"{count - failed} seeds passed, {failed} broke a promise")
    sys.exit(1 if failed else 0)


def _make_directory(logs: Path | None, seed: int) -> Path:
    """Return the directory for the settings and logs of one seed, and create it."""
    if logs is None:
        return Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    directory = logs / str(seed)
    directory.mkdir(parents=True, exist_ok=True)
    return directory


if __name__ == "__main__":
    main()
