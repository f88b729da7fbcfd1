"""Plays drawn roll-outs, several at once, and prints a table of what came of them."""

import random
import subprocess
import sys
import tempfile
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click
import msgspec
import trio

from soak.judging import PROMISES
from soak.rollout_judging import (
    ROLLOUT_PROMISES,
    exposure_used,
    is_bad,
    last_after_bad_s,
)
from soak.rollouts import PlayedRollout, play

GENERAL = (
    "nothing runs twice that may not",
    "a refusal that says not run is true",
    "answers are whole and the caller's own",
    "no process ends by itself",
)


class SeedResult(msgspec.Struct):
    """
    What one seed showed.

    Parameters
    ----------
    end : str
        The final state, or why there is none.
    used : float
        Of the bound on what a bad version may get.
    late_s : float or None
        From the fiftieth bad answer to the last request at the version.
    """

    seed: int
    version: str
    trouble: str
    is_bad: bool
    end: str
    used: float
    late_s: float | None
    broken: dict[str, list[str]]


def judge(seed: int, played: PlayedRollout) -> SeedResult:
    """Return what a roll-out showed."""
    found = {name: check(played) for name, check in ROLLOUT_PROMISES.items()}
    for name in GENERAL:
        found[name] = PROMISES[name](played.site, played.seen)
    rollout = played.rollout
    fault = rollout.fault
    version = fault.badness.value
    if is_bad(played):
        version = f"{version} {fault.moment.value}"
    end = rollout.end[1] if rollout.end else "no verdict"
    if rollout.end and rollout.end[0] > rollout.deadline_s:
        end = f"{end} late"
    return SeedResult(
        seed,
        version,
        rollout.trouble,
        is_bad(played),
        end,
        exposure_used(played),
        last_after_bad_s(played),
        {name: cases for name, cases in found.items() if cases},
    )


def table(results: list[SeedResult]) -> str:
    """Return the results by version and trouble, as a table."""
    rows: dict[tuple[str, str], list[SeedResult]] = defaultdict(list)
    for result in results:
        rows[(result.version, result.trouble)].append(result)
    lines = [
        "| version | trouble | seeds | ends | most of the bound | last after 50th bad |"
        " broken |",
        "|---|---|---|---|---|---|---|",
    ]
    for (version, trouble), group in sorted(rows.items()):
        ends = defaultdict(int)
        for result in group:
            ends[result.end] += 1
        ended = ", ".join(f"{count} {end}" for end, count in sorted(ends.items()))
        used = max(result.used for result in group) if group[0].is_bad else None
        late_s = [r.late_s for r in group if r.late_s is not None and r.is_bad]
        cells = (
            version,
            trouble,
            str(len(group)),
            ended,
            "" if used is None else f"{used:.2f}",
            f"{max(late_s):.1f} s" if late_s else "",
            str(sum(bool(result.broken) for result in group)),
        )
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def _play_apart(seed: int, logs: Path) -> SeedResult:
    """Play one seed in a process of its own."""
    command = [sys.executable, "-m", "soak.drawn_rollouts", "--one", str(seed)]
    played = subprocess.run([*command, "--logs", str(logs)], capture_output=True)
    if played.returncode != 0:
        raise click.ClickException(f"seed {seed}: {played.stderr.decode()[-2000:]}")
    return msgspec.json.decode(played.stdout, type=SeedResult)


@click.command()
@click.option("--seed", type=int, help="The first seed; drawn afresh without it.")
@click.option("--seeds", "count", default=24, show_default=True)
@click.option("--jobs", default=6, show_default=True, help="Seeds played at once.")
@click.option("--one", type=int, hidden=True)
@click.option("--logs", type=click.Path(path_type=Path), help="Where logs are kept.")
def main(
    seed: int | None, count: int, jobs: int, one: int | None, logs: Path | None
) -> None:
    """Play drawn roll-outs against real gateways and judge every promise."""
    folder = logs or Path(tempfile.mkdtemp(prefix="rollouts-"))
    if one is not None:
        directory = folder / str(one)
        directory.mkdir(parents=True, exist_ok=True)
        result = judge(one, trio.run(play, one, directory))
        sys.stdout.write(msgspec.json.encode(result).decode())
        return
    first = seed if seed is not None else random.SystemRandom().randrange(10**6)
    with ThreadPoolExecutor(jobs) as pool:
        seeds = range(first, first + count)
        results = list(pool.map(lambda number: _play_apart(number, folder), seeds))
    click.echo(f"seeds {first} to {first + count - 1}, logs in {folder}")
    click.echo(table(results))
    for result in results:
        for promise, cases in result.broken.items():
            click.echo(f"seed {result.seed}: {promise}: {cases[:3]}")
    sys.exit(1 if any(result.broken for result in results) else 0)


if __name__ == "__main__":
    main()
