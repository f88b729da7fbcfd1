"""
Measure the error rates of the roll-out verdict on versions in simulated trials.

Run with `python -m benchmarks.rollout_verdict [TRIALS [NAME ...]]`. The rates are in
`docs/design/rollout-verdict.md`.
"""

import sys
import time

from scaleloom_core.rollouts.evidence import Assessment
from tests.fixtures.simulated_answers import (
    HEALTHY_SHARE,
    RARE_ROUTE,
    Outcome,
    Trial,
    always,
    at_targets,
    from_then_on,
    in_waves,
    on_route,
    play,
)

TRIALS = 100
FIRST_SEED = 1000
# The candidate gives about 2,000 answers.
LONG = {"current_per_s": 60.0, "candidate_per_s": 20.0, "duration_s": 100.0}
# Most traffic has been switched to the candidate.
MOVED = {"current_per_s": 5.0, "candidate_per_s": 70.0, "targets": 29}
CHANGE_S = 10.0

CASES = {
    "good-long-0.00": Trial(always(0.0), always(0.0), **LONG),
    "good-long-0.02": Trial(always(0.02), always(0.02), **LONG),
    "good-long-0.14": Trial(always(0.14), always(0.14), **LONG),
    "good-long-waves-0.14": Trial(in_waves(0.14), in_waves(0.14), **LONG),
    "good-long-step-0.14": Trial(
        from_then_on(CHANGE_S, 0.14), from_then_on(CHANGE_S, 0.14), **LONG
    ),
    "good-long-grey": Trial(always(0.02), at_targets(1, 0.6, 0.02), **LONG),
    "good-long-dead": Trial(always(0.02), at_targets(1, 1.0, 0.02), **LONG),
    "good-long-grey-0.10": Trial(always(0.1), at_targets(1, 0.6, 0.1), **LONG),
    "good-moved-grey-2": Trial(
        always(HEALTHY_SHARE), at_targets(2, 0.6), duration_s=20.0, **MOVED
    ),
    "good-short-0.00": Trial(always(0.0), always(0.0)),
    "good-short-0.02": Trial(always(0.02), always(0.02)),
    "good-short-0.05": Trial(always(0.05), always(0.05)),
    "good-short-2-routes": Trial(always(0.0), always(0.0), routes=(0.9, 0.1)),
    "good-short-grey": Trial(always(HEALTHY_SHARE), at_targets(1, 0.6)),
    "bad-short-0.40": Trial(always(HEALTHY_SHARE), always(0.4)),
    "bad-short-slow": Trial(always(HEALTHY_SHARE), always(1.0)),
    "bad-short-slow-thin-route": Trial(
        always(HEALTHY_SHARE), on_route(RARE_ROUTE, 1.0)
    ),
    "bad-short-0.40-thin-route": Trial(
        always(HEALTHY_SHARE), on_route(RARE_ROUTE, 0.4)
    ),
    "bad-0.40": Trial(always(HEALTHY_SHARE), always(0.4), duration_s=30.0),
    "bad-0.20": Trial(always(HEALTHY_SHARE), always(0.2), duration_s=30.0),
    "bad-0.40-thin-route": Trial(
        always(HEALTHY_SHARE),
        on_route(RARE_ROUTE, 0.4),
        candidate_per_s=10.0,
        duration_s=30.0,
    ),
    "bad-slow-thin-route": Trial(
        always(HEALTHY_SHARE),
        on_route(RARE_ROUTE, 1.0),
        candidate_per_s=10.0,
        duration_s=30.0,
    ),
    "bad-moved-at-0.40": Trial(
        always(HEALTHY_SHARE), from_then_on(CHANGE_S, 0.4), duration_s=15.0, **MOVED
    ),
    "bad-moved-at-slow": Trial(
        always(HEALTHY_SHARE), from_then_on(CHANGE_S, 1.0), duration_s=15.0, **MOVED
    ),
}


def main() -> None:
    """Simulate the cases given on the command line and print a line for each."""
    trials = int(sys.argv[1]) if len(sys.argv) > 1 else TRIALS
    for name in sys.argv[2:] or CASES:
        started_s = time.perf_counter()
        seeds = range(FIRST_SEED, FIRST_SEED + trials)
        outcomes = [play(CASES[name], seed) for seed in seeds]
        took_s = time.perf_counter() - started_s
        print(_format_line(name, outcomes, took_s), flush=True)


def _format_line(name: str, outcomes: list[Outcome], took_s: float) -> str:
    """Return the printed line for the trials of one case."""
    found = [outcome for outcome in outcomes if outcome.last is Assessment.BAD]
    was_good = sum(outcome.was_good for outcome in outcomes)
    ended_good = sum(outcome.last is Assessment.GOOD for outcome in outcomes)
    text = (
        f"{name}: {len(outcomes)} trials, {len(found)} found bad, "
        f"{was_good} once good, {ended_good} good at the end, {took_s:.0f} s"
    )
    if not found:
        return text
    return (
        text
        + "; "
        + ", ".join(
            f"{what} {_median(values)} ({_ninth_decile(values)} in 9 of 10,"
            f" {max(values)} at most)"
            for what, values in (
                ("answers", [outcome.answered for outcome in found]),
                ("on the thin route", [o.by_route.get(RARE_ROUTE, 0) for o in found]),
                ("bad ones", [outcome.bad for outcome in found]),
            )
        )
    )


def _median(values: list[int]) -> int:
    """Return the median."""
    return sorted(values)[len(values) // 2]


def _ninth_decile(values: list[int]) -> int:
    """Return the ninth decile."""
    return sorted(values)[len(values) * 9 // 10]


if __name__ == "__main__":
    main()
