"""Proofs for overload: goodput, and the share of customers that do not surge."""

from dataclasses import replace

from benchmarks.choosers import choose_scaleloom
from benchmarks.fake_engine import Turn
from benchmarks.pool_model import Chooser, Member, Outcome, Pool
from benchmarks.workloads import APPRAISAL_DESK, SURGING_CUSTOMER, LoadGenerator, Surge
from proofs.results import Checker, ProofResult
from scaleloom_core.admission import AdmissionPolicy

GOODPUT_PROMISE = "goodput does not collapse"
QUIET_PROMISE = "quiet customers keep their share"
HORIZON_S = 200.0
DEADLINE_S = 12.0
CAPACITY = 8
LOAD_FACTORS = (1.0, 2.0, 4.0, 6.0, 9.0, 12.0)
MIN_GOODPUT_SHARE = 0.9
MIN_QUIET_SERVED_SHARE = 0.9
SURGE_FACTOR = 20.0

# Customers whose baseline traffic is below an equal share of the pool.
QUIET_CUSTOMERS = range(3, 9)


def run_load(factor: float, seed: int, choose: Chooser = choose_scaleloom) -> Outcome:
    """Return the outcome of `factor` times the load of the desk workload."""
    workload = replace(APPRAISAL_DESK, chats_per_s=APPRAISAL_DESK.chats_per_s * factor)
    pool = Pool(
        seed,
        APPRAISAL_DESK.engines,
        CAPACITY,
        AdmissionPolicy(),
        choose,
        APPRAISAL_DESK.cache_tokens,
    )
    LoadGenerator(pool, workload, seed, HORIZON_S, deadline_s=DEADLINE_S)
    return pool.run(HORIZON_S)


def admit_everything(pool: Pool, turn: Turn, router: int) -> Member | None:
    """Place by rendezvous hashing, without admission control."""
    member = pool.members[pool.table(router).candidates(turn.chat)[0]]
    pool.admit_unchecked(member, turn)
    return member


def prove_goodput(seed: int = 1) -> ProofResult:
    """
    Return the result of goodput under growing load.

    Goodput is the rate of answers within their deadline, after Zhong et al.,
    "Throughput is Not All You Need", 2024.
    """
    checker = Checker()
    in_time = {factor: run_load(factor, seed).served_in_time for factor in LOAD_FACTORS}
    peak = max(in_time.values())
    saturation_factor = next(
        load_factor for load_factor, count in in_time.items() if count >= 0.8 * peak
    )
    for factor, count in in_time.items():
        if factor > saturation_factor:
            holds = count >= MIN_GOODPUT_SHARE * peak
            checker.check(
                holds,
                f"load x{factor:g}: {count} of {peak} answered within the deadline",
            )
    summary = ", ".join(
        f"x{factor:g} {count / HORIZON_S:.1f}/s" for factor, count in in_time.items()
    )
    fault = "load past saturation"
    return ProofResult(
        GOODPUT_PROMISE, fault, checker.cases, tuple(checker.violations), summary
    )


def prove_quiet_customers(seed: int = 1) -> ProofResult:
    """Return the result of the quiet customers while one customer surges."""
    checker = Checker()
    surge = Surge(60.0, HORIZON_S, SURGE_FACTOR, one_customer_share=0.95)
    pool = Pool(
        seed,
        APPRAISAL_DESK.engines,
        CAPACITY,
        AdmissionPolicy(),
        choose_scaleloom,
        APPRAISAL_DESK.cache_tokens,
    )
    LoadGenerator(pool, APPRAISAL_DESK, seed, HORIZON_S, surge)
    outcome = pool.run(HORIZON_S)
    shares = {}
    for customer, durations in outcome.durations_by_customer.items():
        served = len(durations)
        shares[customer] = served / (served + outcome.shed_by_customer[customer])
    surging = f"customer-{SURGING_CUSTOMER}"
    quiet_customers = [f"customer-{number}" for number in QUIET_CUSTOMERS]
    for customer in quiet_customers:
        holds = shares[customer] >= MIN_QUIET_SERVED_SHARE
        checker.check(
            holds, f"{customer} served {shares[customer]:.1%} of its attempts"
        )
    quiet = min(shares[customer] for customer in quiet_customers)
    retried_share = outcome.retried_served / max(1, outcome.retried)
    return ProofResult(
        QUIET_PROMISE,
        "one customer surging 20-fold",
        checker.cases,
        tuple(checker.violations),
        f"least served quiet customer {quiet:.1%} of attempts, surging one "
        f"{shares.get(surging, 0):.1%}; served when retrying {retried_share:.1%}",
    )


def prove() -> list[ProofResult]:
    """Return one result for each promise about overload."""
    return [prove_goodput(), prove_quiet_customers()]
