"""Discrete-event simulation of a pool of engines under the real admission control.

Only the engines are simulated: a prefix cache and the time that a request takes.
"""

import heapq
import itertools
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from returns.result import Failure

from benchmarks.fake_engine import FakeEngine, Turn
from scaleloom_core.admission import (
    AdmissionController,
    AdmissionPolicy,
    RequestOffer,
    Ticket,
)
from scaleloom_core.ids import TargetId
from scaleloom_core.load_bound import LoadSample
from scaleloom_core.placement import PlacementTable, PoolMember

SAMPLE_INTERVAL_S = 0.25
SAMPLE_PEERS = 8
SAMPLE_DELAY_S = 0.003
WARM_SHARE = 0.8


@dataclass
class Member:
    """One engine of the pool with its admission controller."""

    target: TargetId
    engine: FakeEngine
    admission: AdmissionController
    is_live: bool = True
    joined_at_s: float = -math.inf
    loads: deque[tuple[float, int]] = field(
        default_factory=lambda: deque([(-math.inf, 0)], maxlen=64)
    )

    def record_load(self, now_s: float) -> None:
        """Record the load from `now_s` on."""
        self.loads.append((now_s, self.admission.load))

    def load_at(self, when_s: float) -> int:
        """Return the load at a moment in the recent past."""
        for recorded_at_s, load in reversed(self.loads):
            if recorded_at_s <= when_s:
                return load
        return self.loads[0][1]


@dataclass
class Outcome:
    """Counts and figures of the requests of one run."""

    offered: int = 0
    served: int = 0
    shed: int = 0
    hops: int = 0
    fresh_samples: int = 0
    retried: int = 0
    retried_served: int = 0
    served_in_time: int = 0
    returning: int = 0
    returning_warm: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    bound_checks: int = 0
    bound_breaches: int = 0
    skews: list[float] = field(default_factory=list)
    durations_by_customer: dict[str, list[float]] = field(default_factory=dict)
    shed_by_customer: Counter = field(default_factory=Counter)

    @property
    def reuse(self) -> float:
        """Return the share of returning turns that found their prefix cached."""
        return self.returning_warm / max(1, self.returning)

    @property
    def token_reuse(self) -> float:
        """Return the share of prompt tokens that were found cached."""
        return self.cached_tokens / max(1, self.prompt_tokens)

    def skew_at(self, share: float) -> float:
        """Return a quantile of peak over mean load."""
        if not self.skews:
            return 1.0
        ordered = sorted(self.skews)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


Chooser = Callable[["Pool", Turn, int], "Member | None"]


class Pool:
    """
    The pool, its simulated clock and its event queue.

    Parameters
    ----------
    seed : int
        Seed of all random choices of the pool.
    size : int
        Number of engines at the start.
    capacity : int
        Requests that an engine serves at full speed at once.
    policy : AdmissionPolicy
        Policy of the engines' admission controllers.
    choose : callable
        Placement policy that is simulated.
    cache_tokens : int
        Capacity of each engine's prefix cache, in tokens.
    router_count : int
        Number of routers, each with its own view of the pool.
    """

    def __init__(
        self,
        seed: int,
        size: int,
        capacity: int,
        policy: AdmissionPolicy,
        choose: Chooser,
        cache_tokens: int = 60_000,
        router_count: int = 3,
    ) -> None:
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.outcome = Outcome()
        self.policy = policy
        self.capacity = capacity
        self.members: dict[TargetId, Member] = {}
        self.is_sampling_stopped = False
        self.sample_loss = 0.0
        self.retry_after_s: float | None = None
        self.view_lag_s = 1.0
        self._choose = choose
        self._cache_tokens = cache_tokens
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._engine_numbers = itertools.count()
        self._views: list[list[TargetId]] = [[] for _ in range(router_count)]
        self._tables: list[PlacementTable | None] = [None] * router_count
        for _ in range(size):
            self.join(is_initial=True)
        self.refresh_views()

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule `action` to run `delay_s` from now."""
        entry = (self.now_s + delay_s, next(self._event_numbers), action)
        heapq.heappush(self._queue, entry)

    def run(self, until_s: float) -> Outcome:
        """Run the events up to `until_s` and return the outcome."""
        self.schedule(SAMPLE_INTERVAL_S, self._sample_loads)
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._queue)
            action()
        return self.outcome

    def live_members(self) -> list[Member]:
        """Return the members that accept new requests."""
        return [member for member in self.members.values() if member.is_live]

    def join(self, is_initial: bool = False) -> Member:
        """Add an engine, newly started unless it belongs to the initial pool."""
        target = TargetId(f"engine-{next(self._engine_numbers)}")
        started_s = -1e9 if is_initial else self.now_s
        controller = AdmissionController(self.capacity, self.policy, started_s)
        engine = FakeEngine(self._cache_tokens, self.capacity)
        member = Member(target, engine, controller, joined_at_s=started_s)
        self.members[target] = member
        if not is_initial:
            self._schedule_view_updates()
        return member

    def leave(self, target: TargetId) -> None:
        """Drain an engine: it finishes its requests and accepts no new ones."""
        self.members[target].is_live = False
        self.members[target].admission.start_draining()
        for member in self.live_members():
            self.schedule(
                SAMPLE_DELAY_S,
                lambda member=member: member.admission.mean.remove_peer(target),
            )
        self._schedule_view_updates()

    def hide_from_routers(self, target: TargetId, for_s: float) -> None:
        """Remove an engine from the routers' views for `for_s` seconds."""
        for number, view in enumerate(self._views):
            self._set_view(number, [name for name in view if name != target])
        self.schedule(for_s, self.refresh_views)

    def refresh_views(self) -> None:
        """Give every router the current view of the pool."""
        names = [member.target for member in self.live_members()]
        for number in range(len(self._views)):
            self._set_view(number, names)

    def table(self, router: int) -> PlacementTable:
        """Return a router's placement table."""
        table = self._tables[router]
        if table is None:
            table = PlacementTable([PoolMember(name) for name in self._views[router]])
            self._tables[router] = table
        return table

    def view(self, router: int) -> list[Member]:
        """Return the members in a router's view."""
        return [self.members[name] for name in self._views[router]]

    def submit(self, turn: Turn, on_end: Callable[[bool], None]) -> None:
        """Place one turn through a random router; `on_end` is called at its end."""
        router = self.random.randrange(len(self._views))
        self.outcome.offered += 1
        member = self._choose(self, turn, router)
        if member is None:
            self.outcome.shed += 1
            self.outcome.shed_by_customer[turn.customer] += 1
            on_end(False)
            return
        self._serve(member, turn, on_end)

    def offer(
        self, member: Member, turn: Turn, is_final: bool, role
    ) -> Ticket | Failure:
        """Offer a turn to a member's admission controller."""
        self.outcome.hops += 1
        offer = RequestOffer(
            customer=turn.customer,
            chat=turn.chat,
            is_returning=turn.number > 0,
            is_final=is_final,
            role=role,
            time_left_s=turn.time_left_s,
        )
        if (
            member.admission.needs_fresh_mean(self.now_s)
            and not self.is_sampling_stopped
        ):
            self.outcome.fresh_samples += 1
            self._sample_pool(member)
        decision = member.admission.decide(offer, self.now_s)
        if isinstance(decision, Failure):
            return decision
        member.record_load(self.now_s)
        self._check_bound(member)
        return decision.unwrap()

    def admit_unchecked(self, member: Member, turn: Turn) -> None:
        """Record a turn that a baseline places without admission control."""
        member.admission.shares.admit(turn.customer)
        member.record_load(self.now_s)
        self._check_bound(member)

    def _check_bound(self, member: Member) -> None:
        """
        Check an admission against the true loads.

        An engine that has just joined is included after one round of samples;
        before that, no other engine can know its load.
        """
        visible_since_s = self.now_s - SAMPLE_INTERVAL_S - SAMPLE_DELAY_S
        visible = [
            item for item in self.live_members() if item.joined_at_s <= visible_since_s
        ]
        loads = [item.admission.load for item in visible]
        bound = self.policy.bound
        true_mean = sum(loads) / max(1, len(loads))
        allowed = max(bound.floor, -(-bound.multiple * true_mean // 1))
        self.outcome.bound_checks += 1
        if member.admission.load > allowed:
            self.outcome.bound_breaches += 1

    def _serve(
        self, member: Member, turn: Turn, on_end: Callable[[bool], None]
    ) -> None:
        """Serve an admitted turn at a member."""
        cached, duration_s = member.engine.serve(turn, member.admission.load)
        self._record_served(turn, cached)
        started_s = self.now_s

        is_in_time = turn.time_left_s is None or duration_s <= turn.time_left_s
        self.outcome.served_in_time += is_in_time
        durations = self.outcome.durations_by_customer
        durations.setdefault(turn.customer, []).append(duration_s)

        def finish() -> None:
            ticket = Ticket(RequestOffer(turn.customer, turn.chat), started_s)
            member.admission.finish(ticket, self.now_s, is_served=True)
            member.record_load(self.now_s)
            for chat in member.engine.store(turn):
                member.admission.known.record_evicted(chat)
            on_end(True)

        self.schedule(duration_s, finish)

    def _record_served(self, turn: Turn, cached: int) -> None:
        """Record the cache use of one served turn."""
        self.outcome.served += 1
        if turn.number == 0:
            return
        self.outcome.returning += 1
        self.outcome.prompt_tokens += turn.prompt_tokens
        self.outcome.cached_tokens += cached
        is_warm = cached >= WARM_SHARE * turn.prompt_tokens
        self.outcome.returning_warm += is_warm

    def _sample_loads(self) -> None:
        """Record the load skew and sample the load of some peers for every member."""
        live = self.live_members()
        loads = [member.admission.load for member in live]
        mean = sum(loads) / max(1, len(loads))
        if mean >= 2:
            self.outcome.skews.append(max(loads) / mean)
        for member in live:
            if not self.is_sampling_stopped:
                self._sample(member, live)
        self.schedule(SAMPLE_INTERVAL_S, self._sample_loads)

    def _sample(self, member: Member, live: list[Member]) -> None:
        """Sample the load of some peers for one member."""
        peers = [other for other in live if other is not member]
        member.admission.mean.keep_only({peer.target for peer in peers})
        for peer in self.random.sample(peers, min(len(peers), SAMPLE_PEERS)):
            if self.random.random() < self.sample_loss:
                continue
            sample = LoadSample(
                peer.admission.load,
                peer.admission.finishes_per_s(self.now_s),
                self.now_s,
            )
            self.schedule(
                SAMPLE_DELAY_S,
                lambda member=member, peer=peer, sample=sample: (
                    member.admission.mean.add_sample(peer.target, sample)
                ),
            )

    def _sample_pool(self, member: Member) -> None:
        """Sample the loads of the pool `SAMPLE_DELAY_S` ago for one member."""
        live = self.live_members()
        member.admission.mean.keep_only(
            {peer.target for peer in live if peer is not member}
        )
        for peer in live:
            if peer is member or self.random.random() < self.sample_loss:
                continue
            taken_at_s = self.now_s - SAMPLE_DELAY_S
            rate_per_s = peer.admission.finishes_per_s(self.now_s)
            sample = LoadSample(peer.load_at(taken_at_s), rate_per_s, taken_at_s)
            member.admission.mean.add_sample(peer.target, sample)

    def _schedule_view_updates(self) -> None:
        """Schedule the update of each view, with a random lag for each router."""
        for number in range(len(self._views)):
            lag_s = self.random.uniform(0, 2 * self.view_lag_s)
            self.schedule(lag_s, lambda number=number: self._update_view(number))

    def _update_view(self, number: int) -> None:
        """Give one router the current view of the pool."""
        self._set_view(number, [member.target for member in self.live_members()])

    def _set_view(self, number: int, names: list[TargetId]) -> None:
        """Replace the view of one router."""
        self._views[number] = list(names)
        self._tables[number] = None
