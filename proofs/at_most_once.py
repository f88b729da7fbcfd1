"""Proofs that a non-repeatable request runs at most once, and "not run" is true."""

from collections import Counter

from proofs.idempotency_model import IdempotencyTrial
from proofs.idempotency_trial_parts import EnabledMechanisms, FaultRates
from proofs.results import Checker, ProofResult

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
WITHOUT_MECHANISM = {
    "waiting out the lease": EnabledMechanisms(waits_out_lease=False),
    "refusing keys older than the tenure": EnabledMechanisms(refuses_older_keys=False),
    "checking the lease at dispatch": EnabledMechanisms(checks_lease_at_dispatch=False),
    "keeping refusals true": EnabledMechanisms(blocks_refused_keys=False),
}


def run_trials(
    rates: FaultRates,
    mechanisms: EnabledMechanisms = EnabledMechanisms(),  # noqa: B008
    seeds: int = SEEDS,
) -> tuple[Checker, Counter]:
    """Return the checks of seeded trials, and the number of requests by outcome."""
    checker = Checker()
    outcomes: Counter = Counter()
    for seed in range(seeds):
        outcomes.update(IdempotencyTrial(seed, rates, mechanisms).run(checker))
    return checker, outcomes


def prove() -> list[ProofResult]:
    """Return one result for each fault."""
    results = []
    for fault, rates in FAULTS.items():
        checker, outcomes = run_trials(rates)
        results.append(
            ProofResult(
                PROMISE,
                fault,
                checker.cases,
                tuple(checker.violations),
                describe_outcomes(outcomes),
            )
        )
    return results


def describe_outcomes(outcomes: Counter) -> str:
    """Return the share of each outcome as text."""
    total = max(1, outcomes.total())
    shares = {name: count / total for name, count in sorted(outcomes.items())}
    return ", ".join(f"{name} {share:.1%}" for name, share in shares.items())
