"""Placement policies for a turn: that of the router, baselines and an oracle."""

import math
from collections.abc import Callable

from returns.result import Failure

from benchmarks.fake_engine import Turn
from benchmarks.pool_model import Chooser, Member, Pool
from scaleloom_core.errors import ErrorKind
from scaleloom_core.placement import CandidateRole, CandidateSearch

HOP_LIMIT = 5
DEFAULT_WAIT_S = 1.0
REPORT_INTERVAL_S = 1.0


def choose_scaleloom(pool: Pool, turn: Turn, router: int) -> Member | None:
    """Place a turn as the router does."""
    search = CandidateSearch(pool.table(router).candidates(turn.chat), HOP_LIMIT)
    waits_s: list[float] = []
    while (offer := search.next_offer()) is not None:
        member = pool.members[offer.target]
        result = pool.offer(member, turn, offer.is_final, offer.role)
        if not isinstance(result, Failure):
            _notify_home(pool, turn, router, member)
            return member
        error = result.failure()
        if error.retry_after_s is not None:
            waits_s.append(error.retry_after_s)
        if error.kind is ErrorKind.REDIRECT:
            search.apply_redirect(offer, error.alternative)
        elif error.kind is ErrorKind.PEER_LESS_LOADED:
            search.apply_deferral(offer, error.alternative)
        else:
            search.apply_refusal(error.alternative)
    pool.retry_after_s = min(waits_s, default=DEFAULT_WAIT_S)
    return None


def _notify_home(pool: Pool, turn: Turn, router: int, member: Member) -> None:
    """Report to a chat's home which other member admitted the chat."""
    home = pool.members[pool.table(router).candidates(turn.chat)[0]]
    if home is not member:
        home.admission.record_placement(
            turn.customer, turn.chat, member.target, pool.now_s
        )


def choose_bounded_rendezvous(pool: Pool, turn: Turn, router: int) -> Member | None:
    """Place by rendezvous hashing under the load bound, without a record of chats."""
    for target in pool.table(router).candidates(turn.chat):
        member = pool.members[target]
        result = pool.offer(member, turn, True, CandidateRole.HOME)
        if not isinstance(result, Failure):
            return member
    return None


def choose_rendezvous(pool: Pool, turn: Turn, router: int) -> Member | None:
    """Place by rendezvous hashing without a load bound."""
    candidates = pool.table(router).candidates(turn.chat)
    return _place(pool, turn, pool.members[candidates[0]]) if candidates else None


def choose_random(pool: Pool, turn: Turn, router: int) -> Member | None:
    """Place at random."""
    view = pool.view(router)
    return _place(pool, turn, pool.random.choice(view)) if view else None


def make_round_robin() -> Chooser:
    """Return a chooser that cycles through the members at each router."""
    turns: dict[int, int] = {}

    def choose(pool: Pool, turn: Turn, router: int) -> Member | None:
        view = pool.view(router)
        turns[router] = turns.get(router, router * 3) + 1
        return _place(pool, turn, view[turns[router] % len(view)]) if view else None

    return choose


def make_least_reported_load(sample_size: int | None) -> Chooser:
    """
    Return a chooser of the least reported load; reports are up to 1 s old.

    Parameters
    ----------
    sample_size : int or None
        Number of random members that are compared; None compares all.
    """
    reports: dict[int, tuple[float, dict[str, int]]] = {}

    def choose(pool: Pool, turn: Turn, router: int) -> Member | None:
        read_at_s, loads = reports.get(router, (-math.inf, {}))
        if pool.now_s - read_at_s >= REPORT_INTERVAL_S:
            loads = {
                member.target: member.admission.load for member in pool.live_members()
            }
            reports[router] = (pool.now_s, loads)
        view = pool.view(router)
        if not view:
            return None
        compared = pool.random.sample(view, min(sample_size or len(view), len(view)))
        best = min(compared, key=lambda member: loads.get(member.target, 0))
        return _place(pool, turn, best)

    return choose


def choose_oracle(pool: Pool, turn: Turn, router: int) -> Member | None:
    """Place with exact knowledge of caches and loads, under the same load bound."""
    live = pool.live_members()
    bound = pool.policy.bound
    total = sum(member.admission.load for member in live) + 1
    allowed = max(bound.floor, math.ceil(bound.multiple * total / len(live)))
    slots = int(pool.capacity * pool.policy.queue_factor)
    available = [
        item for item in live if item.admission.load + 1 <= min(allowed, slots)
    ]
    if not available:
        return None
    best = max(
        available,
        key=lambda item: (item.engine.cached_tokens(turn.chat), -item.admission.load),
    )
    return _place(pool, turn, best)


def _place(pool: Pool, turn: Turn, member: Member) -> Member | None:
    """Place a turn without admission control, unless the member has no free slot."""
    slots = int(pool.capacity * pool.policy.queue_factor)
    if member.admission.load >= slots or not member.is_live:
        return None
    pool.admit_unchecked(member, turn)
    return member


CHOOSERS: dict[str, Callable[[], Chooser]] = {
    "scaleloom": lambda: choose_scaleloom,
    "bounded, no memory": lambda: choose_bounded_rendezvous,
    "plain rendezvous": lambda: choose_rendezvous,
    "random": lambda: choose_random,
    "round robin": make_round_robin,
    "least known load": lambda: make_least_reported_load(None),
    "two choices": lambda: make_least_reported_load(2),
    "oracle": lambda: choose_oracle,
}
