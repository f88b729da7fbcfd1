"""Proofs that what may not be repeated runs once, and "not run" is true."""

from collections import Counter

from proofs.once_model import OnceTrial
from proofs.once_parts import FaultRates, Switches
from proofs.results import Judge, ProofResult

PROMISE = "at most once; not run is true"
SEEDS = 60
FAULTS = {
    "none": FaultRates(),
    "owners frozen past their lease": FaultRates(freezes=0.2),
    "owners killed and restarted": FaultRates(kills=0.15),
    "takeovers of living owners": FaultRates(false_takeovers=0.2),
    "hand-overs, some half way": FaultRates(handovers=0.2),
    "log outages": FaultRates(outages=0.08),
    "answers lost": FaultRates(lost_answers=0.2),
    "attempts delayed by seconds": FaultRates(slow_network=True),
    "log outage and owner killed": FaultRates(outages=0.08, kills=0.15),
    "freeze and takeover, slow network": FaultRates(
        freezes=0.2, false_takeovers=0.2, slow_network=True
    ),
    "everything together": FaultRates(
        freezes=0.15,
        kills=0.1,
        false_takeovers=0.15,
        handovers=0.15,
        outages=0.05,
        lost_answers=0.1,
        slow_network=True,
    ),
}
SWITCHED_OFF = {
    "waiting out the lease": Switches(waits_out_lease=False),
    "refusing keys older than the tenure": Switches(refuses_older_keys=False),
    "checking the lease at dispatch": Switches(checks_lease_at_dispatch=False),
    "keeping refusals true": Switches(keeps_refusals_true=False),
}


def run_trials(
    rates: FaultRates, switches: Switches = Switches(), seeds: int = SEEDS  # noqa: B008
) -> tuple[Judge, Counter]:
    """Return the judgement of seeded trials, and how requests ended."""
    judge = Judge()
    ends: Counter = Counter()
    for seed in range(seeds):
        ends.update(OnceTrial(seed, rates, switches).run(judge))
    return judge, ends


def prove() -> list[ProofResult]:
    """Return one row for each fault."""
    rows = []
    for fault, rates in FAULTS.items():
        judge, ends = run_trials(rates)
        rows.append(
            ProofResult(
                PROMISE,
                fault,
                judge.cases,
                tuple(judge.violations),
                describe_ends(ends),
            )
        )
    return rows


def describe_ends(ends: Counter) -> str:
    """Return the shares of how requests ended."""
    total = max(1, ends.total())
    shares = {name: count / total for name, count in sorted(ends.items())}
    return ", ".join(f"{name} {share:.1%}" for name, share in shares.items())
