"""Proofs that no engine admits more than the allowed multiple of the mean load."""

from collections.abc import Callable

from benchmarks.choosers import choose_rendezvous, choose_scaleloom
from benchmarks.pool_model import Chooser, Outcome, Pool
from benchmarks.workloads import APPRAISAL_DESK, LoadGenerator, Surge
from proofs.results import ProofResult
from scaleloom_core.admission import AdmissionPolicy

PROMISE = "load bound"
SEEDS = 3
HORIZON_S = 300.0
CAPACITY = 8
InjectFault = Callable[[Pool], None]


def _inject_nothing(pool: Pool) -> None:
    """Inject no fault."""


def _remove_half(pool: Pool) -> None:
    """Remove half of the engines at once, and add as many new ones later."""

    def remove() -> None:
        for member in pool.live_members()[::2]:
            pool.leave(member.target)

    def add() -> None:
        for _ in range(APPRAISAL_DESK.engines // 2):
            pool.join()

    pool.schedule(100.0, remove)
    pool.schedule(180.0, add)


def _delay_views(pool: Pool) -> None:
    """Delay changes to the routers, up to 20 s apart, while engines change."""
    pool.view_lag_s = 10.0
    for number in range(12):
        pool.schedule(20.0 * number, lambda: _replace_and_unlist(pool))


def _replace_and_unlist(pool: Pool) -> None:
    """Remove one engine, add another, and unlist a third for 5 s."""
    if len(pool.live_members()) > APPRAISAL_DESK.engines // 2:
        pool.leave(pool.random.choice(pool.live_members()).target)
    pool.join()
    pool.hide_from_routers(pool.random.choice(pool.live_members()).target, 5.0)


def _lose_samples(pool: Pool) -> None:
    """Lose seven in ten of the load samples between engines."""
    pool.sample_loss = 0.7


def _suspend_samples(pool: Pool) -> None:
    """Suspend all load samples for a minute."""

    def suspend(is_suspended: bool) -> None:
        pool.is_sampling_stopped = is_suspended

    pool.schedule(100.0, lambda: suspend(True))
    pool.schedule(160.0, lambda: suspend(False))


ONE_CUSTOMER_SURGE = Surge(60.0, 240.0, 3.0, one_customer_share=0.8)
ALL_CUSTOMERS_SURGE = Surge(60.0, 240.0, 3.0)
CASES: dict[str, tuple[InjectFault, Surge | None]] = {
    "none": (_inject_nothing, None),
    "one customer surging to 80 %": (_inject_nothing, ONE_CUSTOMER_SURGE),
    "all customers at once": (_inject_nothing, ALL_CUSTOMERS_SURGE),
    "routers with different memberships": (_delay_views, None),
    "seven samples in ten lost": (_lose_samples, None),
    "samples cut off for a minute": (_suspend_samples, None),
    "half of the engines leaving": (_remove_half, None),
    "surge and half leaving": (_remove_half, ALL_CUSTOMERS_SURGE),
    "surge and samples cut off": (_suspend_samples, ALL_CUSTOMERS_SURGE),
}


def run_case(
    inject_fault: InjectFault,
    surge: Surge | None,
    seed: int,
    choose: Chooser = choose_scaleloom,
) -> Outcome:
    """Return the outcome of one run under a fault, reproducible from `seed`."""
    pool = Pool(
        seed,
        APPRAISAL_DESK.engines,
        CAPACITY,
        AdmissionPolicy(),
        choose,
        APPRAISAL_DESK.cache_tokens,
    )
    LoadGenerator(pool, APPRAISAL_DESK, seed, HORIZON_S, surge)
    inject_fault(pool)
    return pool.run(HORIZON_S)


def prove(seeds: int = SEEDS) -> list[ProofResult]:
    """Return one result for each fault, each over `seeds` runs."""
    return [
        _run_fault(fault, inject_fault, surge, seeds)
        for fault, (inject_fault, surge) in CASES.items()
    ]


def _run_fault(
    fault: str, inject_fault: InjectFault, surge: Surge | None, seeds: int
) -> ProofResult:
    """Return the result of one fault over `seeds` runs."""
    outcomes = [run_case(inject_fault, surge, seed) for seed in range(seeds)]
    breaches = sum(item.bound_breaches for item in outcomes)
    offered = sum(item.offered for item in outcomes)
    served = sum(item.served for item in outcomes)
    peak = max(item.skew_at(1.0) for item in outcomes)
    median = sum(item.skew_at(0.5) for item in outcomes) / len(outcomes)
    return ProofResult(
        PROMISE,
        fault,
        sum(item.bound_checks for item in outcomes),
        tuple(f"{fault}: load bound exceeded" for _ in range(breaches)),
        f"served {served / offered:.1%}; peak/mean median {median:.2f}, max {peak:.2f}",
    )


def count_breaches_without_admission(seed: int = 1) -> int:
    """Return how often rendezvous hashing without admission breaks the bound."""
    return run_case(_inject_nothing, None, seed, choose_rendezvous).bound_breaches
