"""Command that runs randomly drawn roll-outs in parallel and prints their results."""

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

from soak.promise_checks import PROMISES
from soak.rollout_checks import (
    ROLLOUT_PROMISES,
    exposure_used,
    is_bad,
    last_request_after_bad_s,
)
from soak.rollout_run import RolloutRun, run_rollout

SHARED_PROMISES = (
    "requests that must not repeat run at most once",
    "a request refused as not run has not run",
    "answers are complete and belong to their request",
    "no gateway exits unexpectedly",
)


class SeedResult(msgspec.Struct):
    """
    Result of one seed, which a child process writes as JSON.

    Parameters
    ----------
    version : str
        The defect of the candidate version and the condition under which it shows.
    trouble : str
        The group of faults that was injected.
    end : str
        The final state of the roll-out, or "no verdict".
    used : float
        Requests to the candidate, as a share of the exposure bound of a bad version.
    late_s : float or None
        From the fiftieth bad answer to the last request to the candidate, in seconds.
        None if there were fewer bad answers.
    broken : dict of str to list of str
        The promises that were broken, each with its cases.
    """

    seed: int
    version: str
    trouble: str
    is_bad: bool
    end: str
    used: float
    late_s: float | None
    broken: dict[str, list[str]]


def evaluate(seed: int, run: RolloutRun) -> SeedResult:
    """Return the result of a roll-out run, with every promise checked."""
    cases_by_promise = {name: check(run) for name, check in ROLLOUT_PROMISES.items()}
    for name in SHARED_PROMISES:
        cases_by_promise[name] = PROMISES[name](run.site, run.observations)
    rollout = run.rollout
    defect = rollout.defect
    version = defect.kind.value
    if is_bad(run):
        version = f"{version} {defect.condition.value}"
    end = rollout.final_state[1] if rollout.final_state else "no verdict"
    if rollout.final_state and rollout.final_state[0] > rollout.deadline_s:
        end = f"{end} late"
    return SeedResult(
        seed,
        version,
        rollout.fault_group,
        is_bad(run),
        end,
        exposure_used(run),
        last_request_after_bad_s(run),
        {name: cases for name, cases in cases_by_promise.items() if cases},
    )


def format_table(results: list[SeedResult]) -> str:
    """Return the results, grouped by version and faults, as a Markdown table."""
    groups: dict[tuple[str, str], list[SeedResult]] = defaultdict(list)
    for result in results:
        groups[(result.version, result.trouble)].append(result)
    lines = [
        "| version | faults | seeds | final states | max share of exposure bound |"
        " last request after 50th bad answer | broken |",
        "|---|---|---|---|---|---|---|",
    ]
    for (version, trouble), group in sorted(groups.items()):
        end_counts = defaultdict(int)
        for result in group:
            end_counts[result.end] += 1
        ends = ", ".join(f"{count} {end}" for end, count in sorted(end_counts.items()))
        max_used = max(result.used for result in group) if group[0].is_bad else None
        late_s = [r.late_s for r in group if r.late_s is not None and r.is_bad]
        cells = (
            version,
            trouble,
            str(len(group)),
            ends,
            "" if max_used is None else f"{max_used:.2f}",
            f"{max(late_s):.1f} s" if late_s else "",
            str(sum(bool(result.broken) for result in group)),
        )
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def _run_in_child(seed: int, logs: Path) -> SeedResult:
    """Run one seed in a child process and return its result."""
    command = [sys.executable, "-m", "soak.drawn_rollouts", "--one", str(seed)]
    process = subprocess.run([*command, "--logs", str(logs)], capture_output=True)
    if process.returncode != 0:
        raise click.ClickException(f"seed {seed}: {process.stderr.decode()[-2000:]}")
    return msgspec.json.decode(process.stdout, type=SeedResult)


@click.command()
@click.option("--seed", type=int, help="First seed; random if omitted.")
@click.option("--seeds", "count", default=24, show_default=True)
@click.option(
    "--jobs", default=6, show_default=True, help="Number of seeds run in parallel."
)
@click.option("--one", type=int, hidden=True)
@click.option("--logs", type=click.Path(path_type=Path), help="Directory for logs.")
def main(
    seed: int | None, count: int, jobs: int, one: int | None, logs: Path | None
) -> None:
    """Run randomly drawn roll-outs on real gateways and check every promise."""
    log_directory = logs or Path(tempfile.mkdtemp(prefix="rollouts-"))
    if one is not None:
        directory = log_directory / str(one)
        directory.mkdir(parents=True, exist_ok=True)
        result = evaluate(one, trio.run(run_rollout, one, directory))
        sys.stdout.write(msgspec.json.encode(result).decode())
        return
    first_seed = seed if seed is not None else random.SystemRandom().randrange(10**6)
    with ThreadPoolExecutor(jobs) as pool:
        seeds = range(first_seed, first_seed + count)
        results = list(
            pool.map(lambda number: _run_in_child(number, log_directory), seeds)
        )
    click.echo(
        f"seeds {first_seed} to {first_seed + count - 1}, logs in {log_directory}"
    )
    click.echo(format_table(results))
    for result in results:
        for promise, cases in result.broken.items():
            click.echo(f"seed {result.seed}: {promise}: {cases[:3]}")
    sys.exit(1 if any(result.broken for result in results) else 0)


if __name__ == "__main__":
    main()
