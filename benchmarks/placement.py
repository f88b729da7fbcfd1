"""Prefix reuse and load skew of placement, compared with baselines and an oracle."""

import statistics
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from benchmarks.choosers import CHOOSERS
from benchmarks.measures import Measure
from benchmarks.pool_model import Outcome, Pool
from benchmarks.workloads import (
    APPRAISAL_DESK,
    COOPERATIVE,
    LoadGenerator,
    Surge,
    Workload,
)
from scaleloom_core.admission import AdmissionPolicy
from scaleloom_core.load_bound import BoundPolicy

SEEDS = (1, 2, 3)
HORIZON_S = 400.0
CAPACITY = 8
WORKERS = 8
DEFAULT_MULTIPLE = 1.25
FRONTIER = (1.1, 1.25, 1.5, 2.0, 3.0)


def _leave_undisturbed(pool: Pool) -> None:
    """Do nothing."""


def _change_members(pool: Pool) -> None:
    """Schedule one leaving, one joining and one flapping engine every 60 s."""
    for number in range(6):
        start_s = 40.0 + 60.0 * number
        pool.schedule(
            start_s, lambda: pool.leave(pool.random.choice(pool.live_members()).target)
        )
        pool.schedule(start_s + 15.0, lambda: pool.join())
        pool.schedule(
            start_s + 30.0,
            lambda: pool.hide_from_routers(
                pool.random.choice(pool.live_members()).target, 3.0
            ),
        )


def _restart_all(pool: Pool) -> None:
    """Schedule the replacement of every engine, one after another."""
    for number, member in enumerate(pool.live_members()):
        start_s = 60.0 + 25.0 * number
        pool.schedule(start_s, lambda: pool.join())
        pool.schedule(start_s + 5.0, lambda name=member.target: pool.leave(name))


def _lose_data_centre(pool: Pool) -> None:
    """Schedule the loss of three engines at once; replacements join later."""

    def lose() -> None:
        for member in pool.live_members()[:3]:
            pool.leave(member.target)

    pool.schedule(150.0, lose)
    for number in range(3):
        pool.schedule(200.0 + 5 * number, lambda: pool.join())


SITUATIONS: dict[str, tuple[Callable[[Pool], None], Surge | None]] = {
    "steady": (_leave_undisturbed, None),
    "churn": (_change_members, None),
    "deadline surge": (_leave_undisturbed, Surge(150.0, 250.0, 2.0)),
    "rolling restart": (_restart_all, None),
    "data centre lost": (_lose_data_centre, None),
}


@dataclass(frozen=True)
class Trial:
    """Parameters of one simulation run."""

    chooser: str
    workload: Workload
    situation: str
    seed: int
    multiple: float = DEFAULT_MULTIPLE


@dataclass(frozen=True)
class Figures:
    """Figures of one run, or means over several runs."""

    reuse: float
    token_reuse: float
    skew_median: float
    skew_p99: float
    breaches: float
    shed_share: float
    hops: float


def run_trial(trial: Trial) -> Figures:
    """Return the figures of one run."""
    disturb, surge = SITUATIONS[trial.situation]
    policy = AdmissionPolicy(bound=BoundPolicy(multiple=trial.multiple))
    pool = Pool(
        trial.seed,
        trial.workload.engines,
        CAPACITY,
        policy,
        CHOOSERS[trial.chooser](),
        trial.workload.cache_tokens,
    )
    LoadGenerator(pool, trial.workload, trial.seed, HORIZON_S, surge)
    disturb(pool)
    return _figures(pool.run(HORIZON_S))


def _figures(outcome: Outcome) -> Figures:
    """Return the figures of an outcome."""
    offered = max(1, outcome.offered)
    return Figures(
        reuse=outcome.reuse,
        token_reuse=outcome.token_reuse,
        skew_median=outcome.skew_at(0.5),
        skew_p99=outcome.skew_at(0.99),
        breaches=outcome.bound_breaches / max(1, outcome.bound_checks),
        shed_share=outcome.shed / offered,
        hops=outcome.hops / offered,
    )


def run_trials(trials: list[Trial]) -> dict[Trial, Figures]:
    """Return the figures of `trials`, run in parallel processes."""
    with ProcessPoolExecutor(WORKERS) as executor:
        return dict(zip(trials, executor.map(run_trial, trials, chunksize=2)))


def mean_figures(items: list[Figures]) -> Figures:
    """Return the means of the figures of several runs."""
    names = Figures.__dataclass_fields__
    return Figures(
        **{
            name: statistics.mean(getattr(item, name) for item in items)
            for name in names
        }
    )


def table_trials() -> list[Trial]:
    """Return the runs of the comparison table."""
    return [
        Trial(chooser, workload, situation, seed)
        for workload in (APPRAISAL_DESK, COOPERATIVE)
        for situation in SITUATIONS
        for chooser in CHOOSERS
        for seed in SEEDS
    ]


def frontier_trials() -> list[Trial]:
    """Return the runs that show the trade-off between reuse and skew by load bound."""
    return [
        Trial("scaleloom", workload, "churn", seed, multiple)
        for workload in (APPRAISAL_DESK, COOPERATIVE)
        for multiple in FRONTIER
        for seed in SEEDS
    ]


def average_seeds(figures: dict[Trial, Figures]) -> dict[tuple, Figures]:
    """Return the means over the seeds, by workload, situation, chooser and multiple."""
    gathered: dict[tuple, list[Figures]] = {}
    for trial, item in figures.items():
        key = (trial.workload.name, trial.situation, trial.chooser, trial.multiple)
        gathered.setdefault(key, []).append(item)
    return {key: mean_figures(items) for key, items in gathered.items()}


def measure_placement() -> list[Measure]:
    """Return the measures that have regression bounds."""
    trials = [
        Trial(chooser, workload, situation, seed)
        for workload in (APPRAISAL_DESK, COOPERATIVE)
        for situation in ("steady", "churn")
        for chooser in ("scaleloom", "oracle", "bounded, no memory")
        for seed in SEEDS
    ]
    means = average_seeds(run_trials(trials))
    measures = []
    for workload in (APPRAISAL_DESK, COOPERATIVE):
        for situation in ("steady", "churn"):
            measures += _measures_of(means, workload.name, situation)
    return measures


def _measures_of(
    means: dict[tuple, Figures], workload: str, situation: str
) -> list[Measure]:
    """Return the measures of one workload in one situation."""

    def figures_of(chooser: str) -> Figures:
        return means[(workload, situation, chooser, DEFAULT_MULTIPLE)]

    title = f"placement.{workload.replace(' ', '_')}.{situation}"
    ours, oracle = figures_of("scaleloom"), figures_of("oracle")
    return [
        Measure(f"{title}.reuse", ours.reuse, "ratio"),
        Measure(f"{title}.reuse_of_oracle", ours.reuse / oracle.reuse, "ratio"),
        Measure(
            f"{title}.reuse_over_bounded",
            ours.reuse / figures_of("bounded, no memory").reuse,
            "ratio",
        ),
        Measure(f"{title}.skew_p99", ours.skew_p99, "ratio"),
        Measure(f"{title}.bound_breaches", ours.breaches, "ratio"),
    ]


def markdown_table(means: dict[tuple, Figures]) -> str:
    """Return the comparison as a table for the docs."""
    lines = [
        "| workload | situation | placement | turns reused | tokens reused "
        "| peak/mean median | peak/mean 99 % | bound broken | shed |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for (workload, situation, chooser, _), item in means.items():
        lines.append(
            f"| {workload} | {situation} | {chooser} | {item.reuse:.3f} "
            f"| {item.token_reuse:.3f} | {item.skew_median:.2f} | {item.skew_p99:.2f} "
            f"| {item.breaches:.2%} | {item.shed_share:.2%} |"
        )
    return "\n".join(lines)


def frontier_table(means: dict[tuple, Figures]) -> str:
    """Return the frontier as a table for the docs."""
    lines = [
        "| workload | bound | turns reused | peak/mean median "
        "| peak/mean 99 % | shed |",
        "|---|---|---|---|---|---|",
    ]
    for (workload, _, _, multiple), item in means.items():
        lines.append(
            f"| {workload} | {multiple:g} | {item.reuse:.3f} "
            f"| {item.skew_median:.2f} | {item.skew_p99:.2f} | {item.shed_share:.2%} |"
        )
    return "\n".join(lines)
